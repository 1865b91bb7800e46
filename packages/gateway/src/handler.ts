import {
  copyEndToEndHeaders,
  forwardResponseBody,
  hasFraming,
  readBody,
  refuse,
  StreamTable,
} from '@dotterelpass/proxy';
import type { IncomingCall, Refusal } from '@dotterelpass/proxy';
import type { LogFields } from '@dotterelpass/telemetry';
import type { CrashTable } from '@dotterelpass/suspects';
import type { Random } from '@dotterelpass/values';
import type { RejectionCause } from '@dotterelpass/workspaces';
import { match } from 'ts-pattern';
import { readAfterTurn } from './body.js';
import { discardAnswer } from './call.js';
import type { CallHandover } from './handover.js';
import { omitTrailers } from './forwarding.js';
import { rejectionMessages } from './identity.js';
import type { CallIdentity, CallerIdentifier } from './identity.js';
import { refusalReasonHeader } from './mark.js';
import type { Call, CallFailure, CallResponse, CallResult, CallTrace } from './call.js';
import { getCallClass, getCallPriority } from './catalog.js';
import type { CallerBounds, Route } from './catalog.js';
import type { HeaderCodec } from './codec.js';
import type { CallerTimeouts } from './timeouts.js';
import type { LatencyEstimator } from './latency.js';
import type { CallOutcome, CallRecorder, LoggedTiming } from './recorder.js';
import type { RouteTable } from './routes.js';
import { RequestScreen } from './screen.js';
import { UploadMemory } from './uploads.js';

/** `Retry-After` of a refusal while the instance has no configuration. */
const noConfigRetryAfterMs = 300;

/** `Retry-After` of a refusal when no endpoint is reachable. */
const unreachableRetryAfterMs = 100;

/** `Retry-After` of a refusal when endpoints shed the call although they have capacity. */
const shedRetryAfterMs = 10;

/** `Retry-After` of a refusal when the service is overloaded. */
const overloadRetryAfterMs = 250;

/** `Retry-After` of a refusal when the request is banned because it crashes endpoints. */
const banRetryAfterMs = 60_000;

/** `Retry-After` of a refusal because this instance stops; another one can serve the call. */
const stoppingRetryAfterMs = 10;

/**
 * Time that a call must have before this instance stops, relative to its estimated latency. Some
 * calls take several times as long as most.
 */
const stopSafetyFactor = 5;

/** Time between the deadline of a call and the stop, in which its response is sent. */
const stopMarginMs = 20;

/**
 * Share of a time for which endpoints want no requests that is added at random to `Retry-After`, so
 * that callers do not return all at once.
 */
const returnSpread = 0.2;

/** `Retry-After` of a refusal to another instance whose configuration is newer. */
const olderConfigRetryAfterMs = 100;

/** Margin between the deadline of a call and the end of its caller's timeout. */
const deadlineMarginMs = 10;

const minCallMs = 1;

/** Maximum size of a response without a length, in bytes; a longer one may have no end. */
const maxStreamedBytes = 64 * 1024 * 1024;

export interface CallHandlerOptions {
  readonly headerCodec: HeaderCodec;
  readonly routes: RouteTable;
  readonly sender: Pick<CallHandover, 'sendCall'>;
  readonly identifier: CallerIdentifier;
  readonly crashes: CrashTable;
  readonly callerTimeouts: CallerTimeouts;
  readonly latency: LatencyEstimator;
  readonly random: Random;
  readonly recorder: CallRecorder;
  readCallerBounds(): CallerBounds;
  /** Returns the planned stop of this instance, if it is stopping. */
  getStop(): PlannedStop | undefined;
}

/** A stop of this instance; times are monotonic, in milliseconds. */
export interface PlannedStop {
  /**
   * Time from which only calls are accepted whose deadlines come before the end: by then, callers
   * have other instances, and no estimate is safe for calls that take very long.
   */
  readonly lateFrom: number;
  /** Time at which calls in flight are cut off. */
  readonly endsAt: number;
}

type CallOrigin = Pick<Call, 'targetDeadlineAt' | 'deadlineAt' | 'handedOverBy' | 'isReturning'> &
  CallIdentity;

/** Handles the calls of callers: finds their route, sends them and writes the response. */
export class CallHandler {
  readonly #options: CallHandlerOptions;

  readonly #screen: RequestScreen;

  readonly #streams = new StreamTable();

  readonly #uploads = new UploadMemory();

  constructor(options: CallHandlerOptions) {
    this.#options = options;
    this.#screen = new RequestScreen(options.crashes, this.#uploads);
  }

  /**
   * Handles one call.
   *
   * @param incoming - The call as received from the caller.
   */
  async handleCall(incoming: IncomingCall): Promise<void> {
    // The time behind earlier calls of the connection counts towards the deadline.
    const startedAt = incoming.receivedAt;
    const { routes, headerCodec, callerTimeouts, identifier } = this.#options;
    const { request, target } = incoming;
    const { id, timeoutMs: callerTimeoutMs } = headerCodec.parseRequestHeaders(request.headers);
    if (routes.version < 0) {
      const message = 'this instance has not loaded a configuration yet';
      this.#refuseEarly(
        incoming,
        { status: 503, verdict: 'not-run', message },
        noConfigRetryAfterMs,
      );
      return;
    }
    if (this.#streams.isFull) {
      const message = 'too many callers are still reading their responses';
      const refusal = { status: 503, verdict: 'not-run', message } as const;
      this.#refuseEarly(incoming, refusal, overloadRetryAfterMs);
      return;
    }
    const { version } = routes;
    const handover = identifier.readMark(incoming, id);
    if (handover && handover.configVersion > version) {
      const message = `configuration ${version} is older than ${handover.configVersion} of the sender`;
      const refusal = { status: 503, verdict: 'not-run', message } as const;
      this.#refuseEarly(incoming, refusal, olderConfigRetryAfterMs);
      return;
    }
    const route = routes.findRoute(target.host, target.path);
    if (!route) {
      const message = `no route matches ${target.host}${target.path}`;
      this.#refuseEarly(incoming, { status: 404, verdict: 'not-run', message });
      return;
    }
    const identity = identifier.identifyCall(incoming, route, handover);
    if (identity.isErr()) {
      this.#refuseUnidentified(incoming, route, identity.error);
      return;
    }
    const { workspace } = identity.value;
    const callerLimitMs =
      callerTimeoutMs === undefined ? Infinity : callerTimeoutMs - deadlineMarginMs;
    const limitMs = Math.min(route.timeoutMs, callerLimitMs);
    const timeLimit = callerLimitMs < route.timeoutMs ? 'caller-timeout' : 'route-timeout';
    const deadlineAt = startedAt + Math.max(minCallMs, limitMs);
    if (!this.#canFinish(route, deadlineAt)) {
      const message = 'this instance stops before the call could be answered';
      const refusal = { status: 503, verdict: 'not-run', message } as const;
      this.#refuseEarly(incoming, refusal, stoppingRetryAfterMs);
      return;
    }
    const waitedMs = callerTimeouts.estimateWaitedMs(route.name, callerTimeoutMs);
    const targetDeadlineAt = startedAt + route.targetLatencyMs - waitedMs;
    const trace: CallTrace = { attempts: [], handovers: [] };
    const outcome = await this.#sendThroughRoute(
      incoming,
      id,
      route,
      {
        targetDeadlineAt,
        deadlineAt,
        handedOverBy: handover?.instance,
        isReturning: waitedMs > 0,
        ...identity.value,
      },
      trace,
    );
    const ms = performance.now() - startedAt;
    const timing: LoggedTiming = {
      configVersion: version,
      patienceMs: callerTimeoutMs,
      waitedMs,
      ...(handover ? { handedOverBy: handover.instance } : {}),
      ...(outcome.timedOutIn === undefined ? {} : { timeLimit }),
    };
    const call = { id, route, workspace };
    this.#options.recorder.recordOutcome(incoming, call, timing, outcome, ms, trace);
  }

  /** Whether a call that arrives now is answered before this instance stops. */
  #canFinish(route: Route, deadlineAt: number): boolean {
    const stop = this.#options.getStop();
    if (!stop || deadlineAt + stopMarginMs <= stop.endsAt) return true;
    const now = performance.now();
    const usualMs = this.#options.latency.estimateMs(route);
    return now < stop.lateFrom && now + stopSafetyFactor * usualMs <= stop.endsAt;
  }

  async #sendThroughRoute(
    incoming: IncomingCall,
    id: Call['id'],
    route: Route,
    origin: CallOrigin,
    trace: CallTrace,
  ): Promise<CallOutcome> {
    const { request, target } = incoming;
    const remainingMs = origin.deadlineAt - performance.now();
    if (remainingMs <= 0) {
      const message = 'the deadline passed behind earlier calls of the connection';
      const refusal = { status: 503, verdict: 'not-run', message } as const;
      const outcome = this.#respondWithRefusal(incoming, refusal, 'timeout');
      return { ...outcome, timedOutIn: 'earlier-calls' };
    }
    const body = await readBody(
      request,
      this.#options.readCallerBounds().maxBodyBytes,
      remainingMs,
      incoming.acceptBody,
    );
    if (body.isErr()) return this.#refuseBody(incoming, body.error);
    const leftMs = Math.max(minCallMs, origin.deadlineAt - performance.now());
    const head = `${request.method ?? ''} ${target.host}${target.pathAndQuery}\n`;
    const screened = await this.#screen.check(head, body.value, leftMs);
    if (screened.isErr()) {
      if (screened.error !== 'banned') return this.#refuseBody(incoming, screened.error);
      const message = 'request is banned because endpoints crashed while running it';
      const refusal = { status: 503, verdict: 'not-run', message } as const;
      return this.#respondWithRefusal(incoming, refusal, 'banned', banRetryAfterMs);
    }
    const { digest, release } = screened.value;
    const kept = this.#uploads.readAhead(screened.value.body);
    try {
      const screenedRequest = { body: kept.body, digest };
      return await this.#sendScreened(incoming, id, route, origin, trace, screenedRequest);
    } finally {
      kept.release();
      release();
    }
  }

  async #sendScreened(
    incoming: IncomingCall,
    id: Call['id'],
    route: Route,
    origin: CallOrigin,
    trace: CallTrace,
    { body, digest }: Pick<Call, 'body' | 'digest'>,
  ): Promise<CallOutcome> {
    const { routes, sender, headerCodec } = this.#options;
    const { workspace, hidesCredentials } = origin;
    const service = routes.pickService(route);
    if (service === undefined) {
      const message = `route ${route.name} has no target with a positive weight`;
      const refusal = { status: 503, verdict: 'not-run', message } as const;
      return this.#respondWithRefusal(incoming, refusal, 'no-service', unreachableRetryAfterMs);
    }
    const priority = getCallPriority({ route, workspace });
    const call: Call = {
      ...origin,
      incoming,
      id,
      method: incoming.request.method ?? '',
      route,
      service,
      className: getCallClass({ route, workspace }),
      isUrgent: routes.isUrgent({ priority }, service),
      isDeferrable: routes.isDeferrable({ priority }, service),
      body: hidesCredentials ? omitTrailers(body, headerCodec.credentialHeaders) : body,
      digest,
    };
    return this.#respondWithResult(call, await sender.sendCall(call, trace));
  }

  #refuseBody(incoming: IncomingCall, refusal: Refusal): CallOutcome {
    const outcome = this.#respondWithRefusal(incoming, refusal, 'body');
    return refusal.status === 408 ? { ...outcome, timedOutIn: 'request-body' } : outcome;
  }

  async #respondWithResult(call: Call, result: CallResult): Promise<CallOutcome> {
    const { retryBlock } = result;
    if (result.kind === 'failed') {
      const { timedOutIn, wait } = result;
      return { ...this.#respondWithFailure(call, result), timedOutIn, retryBlock, wait };
    }
    const isLeftUnread = result.bufferedBody === undefined && !call.incoming.turn.hasCome;
    if (isLeftUnread) return this.#respondWithResult(call, await readAfterTurn(call, result));
    return { ...(await this.#respondWithUpstream(call, result)), retryBlock };
  }

  #respondWithFailure({ incoming, handedOverBy }: Call, result: CallFailure): CallOutcome {
    if (incoming.response.destroyed || result.reason === 'cancelled') {
      incoming.response.destroy();
      return { status: 0, verdict: result.verdict, reason: 'caller-left' };
    }
    const { verdict, message, reason, retryAfterMs } = result;
    if (reason === 'quota') {
      // The limiter has spread the time already.
      const refusal = { status: 429, verdict, message };
      return this.#respondWithRefusal(incoming, refusal, reason, retryAfterMs);
    }
    if (verdict === 'not-run') {
      if (handedOverBy !== undefined) incoming.response.setHeader(refusalReasonHeader, reason);
      const usualMs = match(reason)
        .with('overload', () => overloadRetryAfterMs)
        .with('shed', () => shedRetryAfterMs)
        .otherwise(() => unreachableRetryAfterMs);
      const waitMs = retryAfterMs === undefined ? usualMs : this.#spreadReturn(retryAfterMs);
      return this.#respondWithRefusal(incoming, { status: 503, verdict, message }, reason, waitMs);
    }
    const status = match(reason)
      .with('timeout', () => 504)
      .otherwise(() => 502);
    return this.#respondWithRefusal(incoming, { status, verdict, message }, reason);
  }

  #spreadReturn(waitMs: number): number {
    return waitMs * (1 + returnSpread * this.#options.random.next());
  }

  async #respondWithUpstream(call: Call, answer: CallResponse): Promise<CallOutcome> {
    const { response: upstreamResponse, bufferedBody, finish } = answer;
    const { response } = call.incoming;
    const status = upstreamResponse.statusCode ?? 0;
    const claimsNotRun = status === 503 || status === 429 || status === 408 || status === 421;
    if (claimsNotRun) {
      // Callers treat these statuses as a guarantee that the call has not run, which an endpoint
      // does not give with them.
      discardAnswer(answer, 'failed');
      const message = `the endpoint answered ${status} and may have run the call`;
      const refusal = { status: 502, verdict: 'may-have-run', message } as const;
      return this.#respondWithRefusal(call.incoming, refusal, 'endpoint-failed');
    }
    if (response.destroyed) {
      discardAnswer(answer, 'cancelled');
      return { status: 0, verdict: 'ran', reason: 'caller-left' };
    }
    const headers = copyEndToEndHeaders(
      upstreamResponse.rawHeaders,
      this.#options.headerCodec.internalResponseHeaders,
    );
    const reason = status < 400 ? 'served' : 'endpoint-failed';
    if (bufferedBody !== undefined) {
      const hasLength = upstreamResponse.headers['content-length'] !== undefined;
      const isBodiless = call.method === 'HEAD' || status === 204 || status === 304;
      if (!hasLength && !isBodiless) headers.push('content-length', String(bufferedBody.length));
      response.writeHead(status, headers).end(bufferedBody);
      call.incoming.turn.reduceTo(bufferedBody.length);
      return { status, verdict: 'ran', reason };
    }
    response.writeHead(status, headers);
    const { result, isExpired } = await forwardResponseBody(upstreamResponse, response, {
      maxKeptBytes: 0,
      readAfterDisconnect: false,
      maxUnboundedBytes: maxStreamedBytes,
      streams: this.#streams,
      timeoutMs: Math.max(minCallMs, call.deadlineAt - performance.now()),
    });
    const isBroken = result === 'cut' && !isExpired;
    if (result === 'whole')
      finish('answered', hasFraming(upstreamResponse) ? 'answered' : 'closed');
    else finish(result === 'cut' ? 'failed' : 'answered', isBroken ? 'broken' : 'abandoned');
    if (result === 'whole') return { status, verdict: 'ran', reason };
    const timedOutIn = isExpired ? 'response-body' : undefined;
    return { status, verdict: 'ran', reason: `answer-${result}`, timedOutIn };
  }

  #respondWithRefusal(
    { response, turn, id }: IncomingCall,
    refusal: Refusal,
    reason: string,
    waitMs?: number,
  ): CallOutcome {
    const refusalWithRetry =
      waitMs === undefined ? refusal : { ...refusal, retryAfterSeconds: waitMs / 1000 };
    if (!response.destroyed) refuse(response, id, refusalWithRetry);
    turn.reduceTo(0);
    return { status: refusal.status, verdict: refusal.verdict, reason };
  }

  #refuseUnidentified(incoming: IncomingCall, route: Route, cause: RejectionCause): void {
    incoming.response.setHeader('www-authenticate', this.#options.headerCodec.challenge);
    const message = rejectionMessages[cause];
    const refusal = { status: 401, verdict: 'not-run', message } as const;
    this.#refuseEarly(incoming, refusal, undefined, { route: route.name, cause });
  }

  #refuseEarly(
    incoming: IncomingCall,
    refusal: Refusal,
    waitMs?: number,
    details?: LogFields,
  ): void {
    this.#respondWithRefusal(incoming, refusal, 'early', waitMs);
    this.#options.recorder.recordRefusal(refusal, incoming.request, details);
  }
}
