import { setTimeout as sleep } from 'node:timers/promises';
import { readBody } from '@dotterelpass/proxy';
import type { IncomingCall, Refusal } from '@dotterelpass/proxy';
import { Hedger, RetryBudget, RetryPolicy } from '@dotterelpass/retries';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { findRule, findService, ruleSchema, systemClock, systemRandom } from '@dotterelpass/values';
import type { Rule, Service } from '@dotterelpass/values';
import { serveAnswer, serveRefusal, serveReplay } from './answers.js';
import type { Ending } from './answers.js';
import { Attempts } from './attempts.js';
import type { Balancer } from './balancer.js';
import { findTenant, findTimeoutMs, hashRequest, timeoutHeader } from './call.js';
import type { Call } from './call.js';
import type { ConfigWatcher } from './config.js';
import { makePreLookupRefusal } from './refusal.js';
import { Flights } from './flights.js';
import type { OnceGate, OnceOutcome, SuspectGate } from './gates.js';

/** Parts of the call path that an instance may do without. */
export interface CallHandlerOptions {
  readonly once?: OnceGate | undefined;
  readonly suspects?: SuspectGate | undefined;
  /** Whether a `once` call needs an `Idempotency-Key`. */
  readonly requireKey?: boolean;
  /** Bounds retries and hedges. */
  readonly budget?: RetryBudget;
}

const defaultDeadlineMs = ruleSchema.parse({ name: 'default', repeat: 'once' }).deadlineMs;
const endStepMs = 10;
const ticketPath = '/.well-known/dotterelpass/ticket';
/** Visible ASCII of at most 255 characters; a pair of quotes around it is no part of the key. */
const keyForm = /^(?:"([\x21\x23-\x7e]{1,253})"|([\x21\x23-\x7e]{1,255}))$/;

const keyMissing: Refusal = {
  status: 400,
  verdict: 'not-run',
  message: 'the call needs an Idempotency-Key',
};

const ticketsMissing: Refusal = {
  status: 404,
  verdict: 'not-run',
  message: 'this instance issues no tickets',
};

const keyMalformed: Refusal = {
  status: 400,
  verdict: 'not-run',
  message: 'the Idempotency-Key is not 1 to 255 visible ASCII characters',
};

/** Takes calls from callers to endpoints. */
export class CallHandler {
  readonly #config: Pick<ConfigWatcher, 'inForce'>;

  readonly #log: Logger;

  readonly #metrics: Metrics;

  readonly #options: CallHandlerOptions;

  readonly #attempts: Attempts;

  #active = 0;

  constructor(
    config: Pick<ConfigWatcher, 'inForce'>,
    balancer: Pick<Balancer, 'acquire'>,
    log: Logger,
    metrics: Metrics,
    options: CallHandlerOptions = {},
  ) {
    this.#config = config;
    this.#log = log;
    this.#metrics = metrics;
    this.#options = options;
    this.#attempts = new Attempts({
      balancer,
      policy: new RetryPolicy(systemRandom),
      budget: options.budget ?? new RetryBudget(systemClock),
      hedger: new Hedger(systemClock),
      flights: new Flights(options.suspects),
      suspects: options.suspects,
      metrics,
    });
  }

  /** Calls that are being served, among them `once` calls whose caller has left. */
  get activeCalls(): number {
    return this.#active;
  }

  /** Longest deadline of the rules in force, in milliseconds, with the default of calls without. */
  get longestDeadlineMs(): number {
    const rules = [...this.#config.inForce.services].flatMap(({ rules: list }) => list);
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
    const end = performance.now() + maxMs;
    while (this.#active > 0 && performance.now() < end) await sleep(endStepMs);
  }

  /**
   * Answers one call.
   *
   * @param incoming - The call as it came.
   */
  async serve(incoming: IncomingCall): Promise<void> {
    const startedAt = performance.now();
    const { request, id, target } = incoming;
    if (target.path === ticketPath) {
      this.#serveTicket(incoming);
      return;
    }
    const service = findService(this.#config.inForce.services, target.host, target.path);
    if (!service) {
      const message = `no service has a route for ${target.path}`;
      const refusal = { status: 404, verdict: 'not-run', message } as const;
      serveRefusal(incoming, makePreLookupRefusal(request, refusal));
      return;
    }
    const rule = findRule(service, request.method ?? '', target.path);
    this.#active += 1;
    try {
      const ending = await this.#run(incoming, service, rule, startedAt);
      const seconds = (performance.now() - startedAt) / 1000;
      const { verdict, status } = ending;
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
      this.#active -= 1;
    }
  }

  async #run(
    incoming: IncomingCall,
    service: Service,
    rule: Rule,
    startedAt: number,
  ): Promise<Ending> {
    const { request, target } = incoming;
    const method = request.method ?? '';
    const timeoutMs = findTimeoutMs(rule, request.headers[timeoutHeader]);
    const body = await readBody(request, rule.maxBodyBytes, timeoutMs, incoming.acceptBody);
    if (body.isErr()) return serveRefusal(incoming, makePreLookupRefusal(request, body.error));
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
    return rule.repeat === 'once' ? this.#runOnce(call) : this.#runAttempts(call, false);
  }

  /** Runs a `once` call when its key has not been used before. */
  async #runOnce(call: Call): Promise<Ending> {
    const header = call.request.headers['idempotency-key'];
    const key = header === undefined ? undefined : findKey(String(header));
    if (header !== undefined && key === undefined) return serveRefusal(call, keyMalformed);
    const { once, requireKey } = this.#options;
    if (key === undefined && requireKey) return serveRefusal(call, keyMissing);
    if (key === undefined || !once) return this.#runAttempts(call, false);
    const leave = await once.admit({
      requestId: call.id,
      service: call.service.name,
      tenant: call.tenant,
      key,
      requestDigest: call.fingerprint,
      deadlineAt: call.deadlineAt,
      signal: call.gone.signal,
    });
    if (leave.kind === 'refuse') return serveRefusal(call, leave.refusal);
    if (leave.kind === 'replay') return serveReplay(call, leave.answer);
    let outcome: OnceOutcome = { verdict: 'may-have-run' };
    try {
      const ending = await this.#runAttempts(call, true);
      outcome = ending.outcome;
      return ending;
    } finally {
      leave.settle(outcome);
    }
  }

  async #runAttempts(call: Call, keep: boolean): Promise<Ending> {
    const end = await this.#attempts.run(call);
    if (end.kind === 'refused') return serveRefusal(call, end.refusal);
    return serveAnswer(call, end, keep);
  }

  #serveTicket({ request, response, id }: IncomingCall): void {
    const { once } = this.#options;
    const refusal = findTicketRefusal(request.method, once !== undefined);
    if (refusal || !once) {
      serveRefusal({ response, id }, refusal ?? ticketsMissing);
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

function findTicketRefusal(method: string | undefined, hasTickets: boolean): Refusal | undefined {
  if (!hasTickets) return ticketsMissing;
  if (method === 'GET') return undefined;
  return { status: 405, verdict: 'not-run', message: 'tickets are fetched with GET' };
}

function findKey(header: string): string | undefined {
  const match = keyForm.exec(header);
  return match?.[1] ?? match?.[2];
}
