import { setTimeout as sleep } from 'node:timers/promises';
import { readBody } from '@dotterelpass/proxy';
import type { IncomingCall, Refusal } from '@dotterelpass/proxy';
import { Hedger, RetryBudget, RetryPolicy } from '@dotterelpass/retries';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { findRule, findService, ruleSchema, systemClock, systemRandom } from '@dotterelpass/values';
import type { Rule, Service } from '@dotterelpass/values';
import { forwardResponse, replayResponse, sendRefusal } from './responses.js';
import type { CallResult } from './responses.js';
import { AttemptRunner } from './attempts.js';
import type { Balancer } from './balancer.js';
import { findTenant, findTimeoutMs, hashRequest, timeoutHeader } from './call.js';
import type { Call } from './call.js';
import type { ConfigWatcher } from './config.js';
import { makePreLookupRefusal } from './refusal.js';
import { InFlightRequests } from './inflight.js';
import type { OnceGate, OnceOutcome, SuspectGate } from './gates.js';

/** Optional dependencies and settings of a `CallHandler`. */
export interface CallHandlerOptions {
  readonly once?: OnceGate | undefined;
  readonly suspects?: SuspectGate | undefined;
  /** Whether a `once` call needs an `Idempotency-Key`. */
  readonly requireKey?: boolean;
  /** Limits retries and hedged requests. */
  readonly budget?: RetryBudget;
}

const defaultDeadlineMs = ruleSchema.parse({ name: 'default', repeat: 'once' }).deadlineMs;
const idlePollMs = 10;
const ticketPath = '/.well-known/dotterelpass/ticket';
/** 1 to 255 visible ASCII characters; a surrounding pair of quotes is not part of the key. */
const keyPattern = /^(?:"([\x21\x23-\x7e]{1,253})"|([\x21\x23-\x7e]{1,255}))$/;

const keyMissing: Refusal = {
  status: 400,
  verdict: 'not-run',
  message: 'the call needs an Idempotency-Key',
};

const ticketsUnavailable: Refusal = {
  status: 404,
  verdict: 'not-run',
  message: 'this instance issues no tickets',
};

const keyMalformed: Refusal = {
  status: 400,
  verdict: 'not-run',
  message: 'the Idempotency-Key is not 1 to 255 visible ASCII characters',
};

/** Serves the calls of callers by forwarding them to endpoints. */
export class CallHandler {
  readonly #config: Pick<ConfigWatcher, 'activeConfiguration'>;

  readonly #log: Logger;

  readonly #metrics: Metrics;

  readonly #options: CallHandlerOptions;

  readonly #attempts: AttemptRunner;

  #activeCalls = 0;

  constructor(
    config: Pick<ConfigWatcher, 'activeConfiguration'>,
    balancer: Pick<Balancer, 'acquire'>,
    log: Logger,
    metrics: Metrics,
    options: CallHandlerOptions = {},
  ) {
    this.#config = config;
    this.#log = log;
    this.#metrics = metrics;
    this.#options = options;
    this.#attempts = new AttemptRunner({
      balancer,
      policy: new RetryPolicy(systemRandom),
      budget: options.budget ?? new RetryBudget(systemClock),
      hedger: new Hedger(systemClock),
      inFlight: new InFlightRequests(options.suspects),
      suspects: options.suspects,
      metrics,
    });
  }

  /** Number of calls being served, including `once` calls whose caller has disconnected. */
  get activeCalls(): number {
    return this.#activeCalls;
  }

  /** Longest deadline of the default rule and of all configured rules, in milliseconds. */
  get longestDeadlineMs(): number {
    const rules = [...this.#config.activeConfiguration.services].flatMap(({ rules: list }) => list);
    return rules.reduce(
      (longest, { deadlineMs }) => Math.max(longest, deadlineMs),
      defaultDeadlineMs,
    );
  }

  /**
   * Waits until no call is being served.
   *
   * @param maxMs - Longest wait, in milliseconds.
   */
  async waitUntilIdle(maxMs: number): Promise<void> {
    const endAt = performance.now() + maxMs;
    while (this.#activeCalls > 0 && performance.now() < endAt) await sleep(idlePollMs);
  }

  /**
   * Serves one call and records its metrics.
   *
   * @param incoming - The call as received from the caller.
   */
  async serve(incoming: IncomingCall): Promise<void> {
    const startedAt = performance.now();
    const { request, id, target } = incoming;
    if (target.path === ticketPath) {
      this.#serveTicket(incoming);
      return;
    }
    const service = findService(
      this.#config.activeConfiguration.services,
      target.host,
      target.path,
    );
    if (!service) {
      const message = `no service has a route for ${target.path}`;
      const refusal = { status: 404, verdict: 'not-run', message } as const;
      sendRefusal(incoming, makePreLookupRefusal(request, refusal));
      return;
    }
    const rule = findRule(service, request.method ?? '', target.path);
    this.#activeCalls += 1;
    try {
      const result = await this.#serveService(incoming, service, rule, startedAt);
      const seconds = (performance.now() - startedAt) / 1000;
      const { verdict, status } = result;
      const tenant = findTenant(service, request.headers['x-tenant-id']);
      const { name } = service;
      this.#metrics.recordCall({
        service: name,
        tenant,
        class: rule.name,
        seconds,
        verdict,
        status,
      });
      this.#log.debug('call', { requestId: id, service: name, seconds, verdict, status });
    } finally {
      this.#activeCalls -= 1;
    }
  }

  async #serveService(
    incoming: IncomingCall,
    service: Service,
    rule: Rule,
    startedAt: number,
  ): Promise<CallResult> {
    const { request, target } = incoming;
    const method = request.method ?? '';
    const timeoutMs = findTimeoutMs(rule, request.headers[timeoutHeader]);
    const body = await readBody(request, rule.maxBodyBytes, timeoutMs, incoming.acceptBody);
    if (body.isErr()) return sendRefusal(incoming, makePreLookupRefusal(request, body.error));
    const { once, suspects } = this.#options;
    const needsHash = suspects !== undefined || (once !== undefined && rule.repeat === 'once');
    const call: Call = {
      ...incoming,
      method,
      service,
      rule,
      tenant: findTenant(service, request.headers['x-tenant-id']),
      deadlineAt: startedAt + timeoutMs,
      body: body.value,
      fingerprint: needsHash ? hashRequest(method, target.pathAndQuery, body.value) : '',
    };
    return rule.repeat === 'once' ? this.#serveOnce(call) : this.#forward(call, false);
  }

  /** Forwards a `once` call only if its idempotency key has not been used before. */
  async #serveOnce(call: Call): Promise<CallResult> {
    const header = call.request.headers['idempotency-key'];
    const key = header === undefined ? undefined : parseKey(String(header));
    if (header !== undefined && key === undefined) return sendRefusal(call, keyMalformed);
    const { once, requireKey } = this.#options;
    if (key === undefined && requireKey) return sendRefusal(call, keyMissing);
    if (key === undefined || !once) return this.#forward(call, false);
    const admission = await once.admit({
      requestId: call.id,
      service: call.service.name,
      tenant: call.tenant,
      key,
      requestDigest: call.fingerprint,
      deadlineAt: call.deadlineAt,
      signal: call.cancellation.signal,
    });
    if (admission.kind === 'refuse') return sendRefusal(call, admission.refusal);
    if (admission.kind === 'replay') return replayResponse(call, admission.answer);
    let outcome: OnceOutcome = { verdict: 'may-have-run' };
    try {
      const result = await this.#forward(call, true);
      outcome = result.outcome;
      return result;
    } finally {
      admission.settle(outcome);
    }
  }

  async #forward(call: Call, keepResponse: boolean): Promise<CallResult> {
    const end = await this.#attempts.sendWithRetries(call);
    if (end.kind === 'refused') return sendRefusal(call, end.refusal);
    return forwardResponse(call, end, keepResponse);
  }

  #serveTicket({ request, response, id }: IncomingCall): void {
    const { once } = this.#options;
    const refusal = findTicketRefusal(request.method, once !== undefined);
    if (refusal || !once) {
      sendRefusal({ response, id }, refusal ?? ticketsUnavailable);
      return;
    }
    const body = JSON.stringify({ ticket: once.issueTicket() });
    response
      .writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        'cache-control': 'no-store',
        'x-request-id': id,
      })
      .end(body);
  }
}

function findTicketRefusal(
  method: string | undefined,
  issuesTickets: boolean,
): Refusal | undefined {
  if (!issuesTickets) return ticketsUnavailable;
  if (method === 'GET') return undefined;
  return { status: 405, verdict: 'not-run', message: 'tickets are issued on GET only' };
}

function parseKey(header: string): string | undefined {
  const match = keyPattern.exec(header);
  return match?.[1] ?? match?.[2];
}
