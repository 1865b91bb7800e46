import { createHash, hash as hashWhole } from 'node:crypto';
import { copyEndToEndHeaders, forwardResponseBody, readBody, refuse } from '@dotterelpass/proxy';
import type { RequestBody, IncomingCall, Refusal } from '@dotterelpass/proxy';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { match } from 'ts-pattern';
import type { CallSender } from './sender.js';
import type { AttemptRecord, Call, CallResult } from './call.js';
import { getCallClass } from './catalog.js';
import type { CallerBounds, Route } from './catalog.js';
import type { CrashTable } from './crashes.js';
import type { HeaderCodec } from './codec.js';
import type { CallerTimeouts } from './timeouts.js';
import type { RecentFailures } from './failures.js';
import type { RouteTable } from './routes.js';

/** Time that a refusal asks callers to wait when the instance has no configuration yet. */
const noConfigRetryAfterMs = 300;

/** Time that a refusal asks callers to wait when no endpoint can be reached. */
const unreachableRetryAfterMs = 100;

/** The same when endpoints refused the call although they have room. */
const shedRetryAfterMs = 10;

/** The same when the service has more calls than it can answer in time. */
const overloadRetryAfterMs = 250;

/** Time that a refusal asks callers to wait whose request crashes endpoints. */
const banRetryAfterMs = 60_000;

/** Time before the caller's own deadline at which it gets its answer, in milliseconds. */
const deadlineMarginMs = 10;

const minCallMs = 1;

export interface CallHandlerOptions {
  readonly headerCodec: HeaderCodec;
  readonly routes: RouteTable;
  readonly sender: CallSender;
  readonly crashes: CrashTable;
  readonly callerTimeouts: CallerTimeouts;
  readonly recentFailures: RecentFailures;
  readonly log: Logger;
  readonly metrics: Metrics;
  readCallerBounds(): CallerBounds;
}

type CallTimes = Pick<Call, 'targetDeadlineAt' | 'deadlineAt'>;

/** What is told of a call when it has ended. */
interface CallOutcome {
  readonly status: number;
  readonly verdict: 'not-run' | 'may-have-run' | 'ran';
  readonly reason: string;
}

/** Answers calls. */
export class CallHandler {
  readonly #options: CallHandlerOptions;

  constructor(options: CallHandlerOptions) {
    this.#options = options;
  }

  /**
   * Answers one call.
   *
   * @param incoming - The call as it came.
   */
  async handleCall(incoming: IncomingCall): Promise<void> {
    const startedAt = performance.now();
    const { routes, headerCodec: dialect, callerTimeouts: patience } = this.#options;
    const { request, target } = incoming;
    const { id, timeoutMs: patienceMs } = dialect.parseRequestHeaders(request.headers);
    if (routes.version < 0) {
      const message = 'this instance has no configuration yet';
      this.#refuseUnrouted(
        incoming,
        { status: 503, verdict: 'not-run', message },
        noConfigRetryAfterMs,
      );
      return;
    }
    const { version } = routes;
    const route = routes.findRoute(target.host, target.path);
    if (!route) {
      const message = `no route for ${target.host}${target.path}`;
      this.#refuseUnrouted(incoming, { status: 404, verdict: 'not-run', message });
      return;
    }
    const limitMs = Math.min(
      route.timeoutMs,
      patienceMs === undefined ? Infinity : patienceMs - deadlineMarginMs,
    );
    const deadlineAt = startedAt + Math.max(minCallMs, limitMs);
    const waitedMs = patience.estimateWaitedMs(route.name, patienceMs);
    const targetAt = startedAt + route.targetLatencyMs - waitedMs;
    const records: AttemptRecord[] = [];
    const ending = await this.#sendThroughRoute(
      incoming,
      id,
      route,
      { targetDeadlineAt: targetAt, deadlineAt },
      records,
    );
    const ms = performance.now() - startedAt;
    const inputs = { configVersion: version, patienceMs, waitedMs };
    this.#recordOutcome(incoming, id, route, inputs, ending, ms, records);
  }

  async #sendThroughRoute(
    incoming: IncomingCall,
    id: Call['id'],
    route: Route,
    { targetDeadlineAt: targetAt, deadlineAt }: CallTimes,
    records: AttemptRecord[],
  ): Promise<CallOutcome> {
    const { routes, sender: attempts, crashes } = this.#options;
    const { request, target } = incoming;
    const leftMs = deadlineAt - performance.now();
    const read = await readBody(
      request,
      this.#options.readCallerBounds().maxBodyBytes,
      leftMs,
      incoming.acceptBody,
    );
    if (read.isErr()) return this.#respondWithRefusal(incoming, read.error, 'body');
    const method = request.method ?? '';
    const fingerprint = hashRequest(method, target.host, target.pathAndQuery, read.value);
    if (crashes.isBanned(fingerprint)) {
      const message = 'earlier sendings of this request crashed endpoints';
      const refusal = { status: 503, verdict: 'not-run', message } as const;
      return this.#respondWithRefusal(incoming, refusal, 'banned', banRetryAfterMs);
    }
    const service = routes.pickService(route);
    if (service === undefined) {
      const message = `route ${route.name} has no service with a weight`;
      const refusal = { status: 503, verdict: 'not-run', message } as const;
      return this.#respondWithRefusal(incoming, refusal, 'no-service', unreachableRetryAfterMs);
    }
    const call: Call = {
      incoming,
      id,
      method,
      route,
      service,
      className: getCallClass(route),
      isUrgent: routes.isUrgent(route, service),
      body: read.value,
      targetDeadlineAt: targetAt,
      deadlineAt,
      fingerprint,
    };
    return this.#respondWithResult(call, await attempts.sendCall(call, records));
  }

  async #respondWithResult(call: Call, end: CallResult): Promise<CallOutcome> {
    const { incoming } = call;
    if (end.kind === 'answer') return this.#respondWithUpstream(call, end);
    if (incoming.response.destroyed || end.reason === 'cancelled') {
      incoming.response.destroy();
      return { status: 0, verdict: end.verdict, reason: 'caller-left' };
    }
    const { verdict, message, reason } = end;
    if (verdict === 'not-run') {
      const waitMs = match(reason)
        .with('overload', () => overloadRetryAfterMs)
        .with('shed', () => shedRetryAfterMs)
        .otherwise(() => unreachableRetryAfterMs);
      return this.#respondWithRefusal(incoming, { status: 503, verdict, message }, reason, waitMs);
    }
    const status = match(reason)
      .with('timeout', () => 504)
      .otherwise(() => 502);
    return this.#respondWithRefusal(incoming, { status, verdict, message }, reason);
  }

  async #respondWithUpstream(
    call: Call,
    { answer, bufferedBody: bytes, finish: release }: Extract<CallResult, { kind: 'answer' }>,
  ): Promise<CallOutcome> {
    const { response } = call.incoming;
    const status = answer.statusCode ?? 0;
    const claimsNotRun = status === 503 || status === 429 || status === 408 || status === 421;
    if (claimsNotRun) {
      // Callers take these for a promise that the call has not run, which the endpoint did not give.
      release('failed');
      if (bytes === undefined) answer.destroy();
      const message = `the endpoint answered ${status} and may have run the call`;
      const refusal = { status: 502, verdict: 'may-have-run', message } as const;
      return this.#respondWithRefusal(call.incoming, refusal, 'endpoint-failed');
    }
    if (response.destroyed) {
      release('cancelled');
      if (bytes === undefined) answer.destroy();
      return { status: 0, verdict: 'ran', reason: 'caller-left' };
    }
    const headers = copyEndToEndHeaders(
      answer.rawHeaders,
      this.#options.headerCodec.internalResponseHeaders,
    );
    const reason = status < 400 ? 'served' : 'endpoint-failed';
    if (bytes !== undefined) {
      const hasLength = answer.headers['content-length'] !== undefined;
      const isBodiless = call.method === 'HEAD' || status === 204 || status === 304;
      if (!hasLength && !isBodiless) headers.push('content-length', String(bytes.length));
      response.writeHead(status, headers).end(bytes);
      return { status, verdict: 'ran', reason };
    }
    response.writeHead(status, headers);
    const { result } = await forwardResponseBody(answer, response, {
      maxKeptBytes: 0,
      readAfterDisconnect: false,
      timeoutMs: Math.max(minCallMs, call.deadlineAt - performance.now()),
    });
    release(result === 'cut' ? 'failed' : 'answered');
    return { status, verdict: 'ran', reason: result === 'whole' ? reason : `answer-${result}` };
  }

  #respondWithRefusal(
    { response, id }: IncomingCall,
    refusal: Refusal,
    reason: string,
    waitMs?: number,
  ): CallOutcome {
    const timed = waitMs === undefined ? refusal : { ...refusal, retryAfterSeconds: waitMs / 1000 };
    if (!response.destroyed) refuse(response, id, timed);
    return { status: refusal.status, verdict: refusal.verdict, reason };
  }

  #refuseUnrouted(incoming: IncomingCall, refusal: Refusal, waitMs?: number): void {
    const { log, metrics, headerCodec: dialect } = this.#options;
    const ending = this.#respondWithRefusal(incoming, refusal, 'early', waitMs);
    metrics.recordEvent(`refused-${ending.status}`);
    log.info('request-failed', {
      requestId: dialect.parseRequestHeaders(incoming.request.headers).id,
      status: ending.status,
      verdict: ending.verdict,
      reason: refusal.message,
    });
  }

  #recordOutcome(
    { target }: IncomingCall,
    id: Call['id'],
    route: Route,
    inputs: Readonly<Record<string, unknown>>,
    { status, verdict, reason }: CallOutcome,
    ms: number,
    records: readonly AttemptRecord[],
  ): void {
    const { log, metrics } = this.#options;
    const [first] = route.targets;
    metrics.recordCall({
      service: first?.service ?? 'none',
      tenant: target.host,
      class: getCallClass(route),
      seconds: ms / 1000,
      verdict,
      status,
    });
    const line = {
      requestId: id,
      route: route.name,
      ...inputs,
      status,
      verdict,
      reason,
      ms: Math.round(ms),
      attempts: records,
    };
    if (reason === 'served') log.info('request', line);
    else {
      log.info('request-failed', line);
      if (id !== undefined) this.#options.recentFailures.add(id, line);
    }
  }
}

/** Identifies requests that are the same but for who sends them and when. */
function hashRequest(
  method: string,
  host: string,
  pathAndQuery: string,
  body: RequestBody,
): string {
  // One call of the library takes less than half the time of a hash object.
  if (body.kind === 'none') return hashWhole('sha256', `${method} ${host}${pathAndQuery}\n`);
  const hash = createHash('sha256').update(`${method} ${host}${pathAndQuery}\n`);
  return hash.update(body.kind === 'whole' ? body.bytes : body.head).digest('hex');
}
