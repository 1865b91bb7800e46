import { createHash, hash as hashWhole } from 'node:crypto';
import { copyEndToEndHeaders, forwardResponseBody, readBody, refuse } from '@dotterelpass/proxy';
import type { RequestBody, IncomingCall, Refusal } from '@dotterelpass/proxy';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { match } from 'ts-pattern';
import type { Attempts } from './attempts.js';
import type { AttemptRecord, Call, CallEnd } from './call.js';
import { toClass } from './catalog.js';
import type { CallerBounds, Route } from './catalog.js';
import type { CrashTable } from './crashes.js';
import type { HeaderCodec } from './dialect.js';
import type { PatienceTable } from './patience.js';
import type { RecentFailures } from './recent.js';
import type { RouteTable } from './routes.js';

/** Time that a refusal asks callers to wait when the instance has no configuration yet. */
const startRetryAfterMs = 300;

/** Time that a refusal asks callers to wait when no endpoint can be reached. */
const retryAfterMs = 100;

/** The same when endpoints refused the call although they have room. */
const shedRetryAfterMs = 10;

/** The same when the service has more calls than it can answer in time. */
const overloadRetryAfterMs = 250;

/** Time that a refusal asks callers to wait whose request crashes endpoints. */
const banRetryAfterMs = 60_000;

/** Time before the caller's own deadline at which it gets its answer, in milliseconds. */
const deadlineMarginMs = 10;

const minCallMs = 1;

export interface CallPathOptions {
  readonly dialect: HeaderCodec;
  readonly routes: RouteTable;
  readonly attempts: Attempts;
  readonly crashes: CrashTable;
  readonly patience: PatienceTable;
  readonly recent: RecentFailures;
  readonly log: Logger;
  readonly metrics: Metrics;
  bounds(): CallerBounds;
}

type Times = Pick<Call, 'targetAt' | 'deadlineAt'>;

/** What is told of a call when it has ended. */
interface Ending {
  readonly status: number;
  readonly verdict: 'not-run' | 'may-have-run' | 'ran';
  readonly reason: string;
}

/** Answers calls. */
export class CallPath {
  readonly #options: CallPathOptions;

  constructor(options: CallPathOptions) {
    this.#options = options;
  }

  /**
   * Answers one call.
   *
   * @param incoming - The call as it came.
   */
  async serve(incoming: IncomingCall): Promise<void> {
    const startedAt = performance.now();
    const { routes, dialect, patience } = this.#options;
    const { request, target } = incoming;
    const { id, timeoutMs: patienceMs } = dialect.parseRequestHeaders(request.headers);
    if (routes.version < 0) {
      const message = 'this instance has no configuration yet';
      this.#refuseEarly(incoming, { status: 503, verdict: 'not-run', message }, startRetryAfterMs);
      return;
    }
    const { version } = routes;
    const route = routes.find(target.host, target.path);
    if (!route) {
      const message = `no route for ${target.host}${target.path}`;
      this.#refuseEarly(incoming, { status: 404, verdict: 'not-run', message });
      return;
    }
    const limitMs = Math.min(
      route.timeoutMs,
      patienceMs === undefined ? Infinity : patienceMs - deadlineMarginMs,
    );
    const deadlineAt = startedAt + Math.max(minCallMs, limitMs);
    const waitedMs = patience.findWaitedMs(route.name, patienceMs);
    const targetAt = startedAt + route.targetLatencyMs - waitedMs;
    const records: AttemptRecord[] = [];
    const ending = await this.#run(incoming, id, route, { targetAt, deadlineAt }, records);
    const ms = performance.now() - startedAt;
    const inputs = { configVersion: version, patienceMs, waitedMs };
    this.#report(incoming, id, route, inputs, ending, ms, records);
  }

  async #run(
    incoming: IncomingCall,
    id: Call['id'],
    route: Route,
    { targetAt, deadlineAt }: Times,
    records: AttemptRecord[],
  ): Promise<Ending> {
    const { routes, attempts, crashes } = this.#options;
    const { request, target } = incoming;
    const leftMs = deadlineAt - performance.now();
    const read = await readBody(
      request,
      this.#options.bounds().maxBodyBytes,
      leftMs,
      incoming.acceptBody,
    );
    if (read.isErr()) return this.#serveRefusal(incoming, read.error, 'body');
    const method = request.method ?? '';
    const fingerprint = hashRequest(method, target.host, target.pathAndQuery, read.value);
    if (crashes.isBanned(fingerprint)) {
      const message = 'earlier sendings of this request crashed endpoints';
      const refusal = { status: 503, verdict: 'not-run', message } as const;
      return this.#serveRefusal(incoming, refusal, 'banned', banRetryAfterMs);
    }
    const service = routes.pickService(route);
    if (service === undefined) {
      const message = `route ${route.name} has no service with a weight`;
      const refusal = { status: 503, verdict: 'not-run', message } as const;
      return this.#serveRefusal(incoming, refusal, 'no-service', retryAfterMs);
    }
    const call: Call = {
      incoming,
      id,
      method,
      route,
      service,
      className: toClass(route),
      isUrgent: routes.isUrgent(route, service),
      body: read.value,
      targetAt,
      deadlineAt,
      fingerprint,
    };
    return this.#serveEnd(call, await attempts.run(call, records));
  }

  async #serveEnd(call: Call, end: CallEnd): Promise<Ending> {
    const { incoming } = call;
    if (end.kind === 'answer') return this.#serveAnswer(call, end);
    if (incoming.response.destroyed || end.reason === 'cancelled') {
      incoming.response.destroy();
      return { status: 0, verdict: end.verdict, reason: 'caller-left' };
    }
    const { verdict, message, reason } = end;
    if (verdict === 'not-run') {
      const waitMs = match(reason)
        .with('overload', () => overloadRetryAfterMs)
        .with('shed', () => shedRetryAfterMs)
        .otherwise(() => retryAfterMs);
      return this.#serveRefusal(incoming, { status: 503, verdict, message }, reason, waitMs);
    }
    const status = match(reason)
      .with('timeout', () => 504)
      .otherwise(() => 502);
    return this.#serveRefusal(incoming, { status, verdict, message }, reason);
  }

  async #serveAnswer(
    call: Call,
    { answer, bytes, release }: Extract<CallEnd, { kind: 'answer' }>,
  ): Promise<Ending> {
    const { response } = call.incoming;
    const status = answer.statusCode ?? 0;
    const claimsNotRun = status === 503 || status === 429 || status === 408 || status === 421;
    if (claimsNotRun) {
      // Callers take these for a promise that the call has not run, which the endpoint did not give.
      release('failed');
      if (bytes === undefined) answer.destroy();
      const message = `the endpoint answered ${status} and may have run the call`;
      const refusal = { status: 502, verdict: 'may-have-run', message } as const;
      return this.#serveRefusal(call.incoming, refusal, 'endpoint-failed');
    }
    if (response.destroyed) {
      release('cancelled');
      if (bytes === undefined) answer.destroy();
      return { status: 0, verdict: 'ran', reason: 'caller-left' };
    }
    const headers = copyEndToEndHeaders(
      answer.rawHeaders,
      this.#options.dialect.internalResponseHeaders,
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

  #serveRefusal(
    { response, id }: IncomingCall,
    refusal: Refusal,
    reason: string,
    waitMs?: number,
  ): Ending {
    const timed = waitMs === undefined ? refusal : { ...refusal, retryAfterSeconds: waitMs / 1000 };
    if (!response.destroyed) refuse(response, id, timed);
    return { status: refusal.status, verdict: refusal.verdict, reason };
  }

  #refuseEarly(incoming: IncomingCall, refusal: Refusal, waitMs?: number): void {
    const { log, metrics, dialect } = this.#options;
    const ending = this.#serveRefusal(incoming, refusal, 'early', waitMs);
    metrics.recordEvent(`refused-${ending.status}`);
    log.info('request-failed', {
      requestId: dialect.parseRequestHeaders(incoming.request.headers).id,
      status: ending.status,
      verdict: ending.verdict,
      reason: refusal.message,
    });
  }

  #report(
    { target }: IncomingCall,
    id: Call['id'],
    route: Route,
    inputs: Readonly<Record<string, unknown>>,
    { status, verdict, reason }: Ending,
    ms: number,
    records: readonly AttemptRecord[],
  ): void {
    const { log, metrics } = this.#options;
    const [first] = route.targets;
    metrics.recordCall({
      service: first?.service ?? 'none',
      tenant: target.host,
      class: toClass(route),
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
      if (id !== undefined) this.#options.recent.add(id, line);
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
