import { copyEndToEndHeaders } from '@dotterelpass/proxy';
import type { AttemptFailure, Cancellation } from '@dotterelpass/proxy';
import type { RetryBudget } from '@dotterelpass/retries';
import type { Metrics } from '@dotterelpass/telemetry';
import type { Verdict } from '@dotterelpass/values';
import { match } from 'ts-pattern';
import type { Admission, CallAdmission } from './admission.js';
import { createCutFailure, readResponseBody } from './body.js';
import { createCancelledFailure, combineVerdicts } from './call.js';
import type { CallResponse, AttemptRecord, Call, CallResult, CallFailure } from './call.js';
import type { HeaderCodec } from './codec.js';
import type { AttemptEnding, Endpoint } from './endpoint.js';
import { calculateHedgeDelayMs, isSlowerThan, selectResult } from './hedge.js';
import { hasSpareCapacity } from './picker.js';
import type { Pick, Picker } from './picker.js';
import type { LatencyEstimator } from './latency.js';

/**
 * Maximum attempts per call that failed to reach an endpoint. They do not count towards the
 * `maxAttempts` of the route.
 */
const maxUnreachedAttempts = 4;

/** Minimum time before the deadline for a further attempt, relative to the estimated latency. */
const minRemainingShare = 0.8;

/**
 * Share of the retry budget that hedged requests may use. The rest is reserved for calls that have
 * failed, which have no answer at all without a retry.
 */
const hedgeBudgetShare = 0.5;

/**
 * Share of the retry budget that calls may use whose service also has more urgent ones. When an
 * endpoint fails many calls, the budget is spent at once, whatever the calls are worth.
 */
const deferrableBudgetShare = 0.8;

export interface CallSenderOptions {
  readonly headerCodec: HeaderCodec;
  readonly admission: CallAdmission;
  readonly picker: Picker;
  readonly latency: LatencyEstimator;
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
  /** Called when a connection was reset while the endpoint may have been running a call. */
  onConnectionReset(call: Call, endpoint: Endpoint): void;
}

/** Sends calls to endpoints, with retries and hedged requests where these are safe. */
export class CallSender {
  readonly #options: CallSenderOptions;

  /**
   * Request headers that are not copied from the caller because the instance sets them. A second
   * Content-Length would allow request smuggling.
   */
  readonly #omittedRequestHeaders: ReadonlySet<string>;

  constructor(options: CallSenderOptions) {
    this.#options = options;
    this.#omittedRequestHeaders = new Set([
      ...options.headerCodec.replacedRequestHeaders,
      'content-length',
    ]);
  }

  /**
   * Sends a call, and retries it until it is answered or no further attempt is allowed.
   *
   * @param call - The call.
   * @param records - Receives a record of each attempt.
   */
  async sendCall(call: Call, records: AttemptRecord[]): Promise<CallResult> {
    const { budget } = this.#options;
    budget.recordCall([call.service]);
    let worstVerdict: Verdict = 'not-run';
    let lastFailure: CallFailure = {
      kind: 'failed',
      verdict: 'not-run',
      reason: 'no-endpoint',
      message: '',
    };
    while (mayAttempt(call, records)) {
      const isRetry = countSent(records) > 0;
      if (isRetry && !this.#mayRetry(call, worstVerdict))
        return { ...lastFailure, verdict: worstVerdict };
      const pick = await this.#options.admission.admitCall(call, records);
      if (call.incoming.cancellation.aborted)
        return { ...createCancelledFailure(), verdict: worstVerdict };
      if (pick === undefined || pick === 'overload') {
        return isRetry
          ? { ...lastFailure, verdict: worstVerdict }
          : createUnsentFailure(call, pick);
      }
      if (isRetry) this.#recordExtraAttempt(call, 'retry');
      const result = await this.#sendHedged(call, pick, records);
      if (result.kind === 'answer') {
        if (!this.#shouldRetryResponse(call, result, records)) return result;
        result.finish('failed');
        const { statusCode } = result.response;
        lastFailure = {
          kind: 'failed',
          verdict: 'ran',
          reason: 'invalid',
          message: `endpoint answered with status ${statusCode}`,
        };
      } else lastFailure = result;
      worstVerdict = combineVerdicts(worstVerdict, lastFailure.verdict);
    }
    return { ...lastFailure, verdict: worstVerdict };
  }

  async #pick(call: Call, records: readonly AttemptRecord[]): Promise<Pick | undefined> {
    return this.#options.picker.pick({
      service: call.service,
      route: call.route,
      tried: records.map(({ endpoint }) => endpoint),
    });
  }

  /** A 5xx response to an idempotent call is retried; the last one is passed to the caller. */
  #shouldRetryResponse(
    call: Call,
    result: CallResponse,
    records: readonly AttemptRecord[],
  ): boolean {
    const status = result.response.statusCode ?? 0;
    return status >= 500 && mayAttempt(call, records) && this.#mayRetry(call, 'ran');
  }

  #mayRetry(call: Call, verdict: Verdict, usableShare = 1): boolean {
    const { budget, latency } = this.#options;
    if (verdict !== 'not-run' && call.route.repeat !== 'idempotent') return false;
    if (call.body.kind === 'stream') return false;
    const remainingMs = call.deadlineAt - performance.now();
    if (remainingMs < minRemainingShare * latency.estimateMs(call.route)) return false;
    const budgetShare = call.isDeferrable ? deferrableBudgetShare : 1;
    return budget.allowsExtraAttempt([call.service], usableShare * budgetShare);
  }

  #recordExtraAttempt(call: Call, event: 'retry' | 'hedge'): void {
    this.#options.budget.recordExtraAttempt([call.service]);
    this.#options.metrics.recordEvent(event, call.service);
  }

  /** Sends a call, and hedges it on a second endpoint when it is idempotent and takes long. */
  async #sendHedged(call: Call, pick: Pick, records: AttemptRecord[]): Promise<CallResult> {
    const { route, body, incoming } = call;
    const canHedge = route.repeat === 'idempotent' && body.kind !== 'stream';
    const firstCancellation = incoming.cancellation.makeChild();
    const first = this.#sendAttempt(call, pick, records, firstCancellation);
    if (!canHedge) return first;
    const delayMs = calculateHedgeDelayMs(
      this.#options.latency.estimateMs(route),
      route.targetLatencyMs,
    );
    if (!(await isSlowerThan(first, delayMs))) return first;
    if (!mayAttempt(call, records)) return first;
    if (!this.#mayRetry(call, 'may-have-run', hedgeBudgetShare)) return first;
    const secondPick = await this.#pick(call, records);
    if (!secondPick || !hasSpareCapacity(secondPick.endpoint) || incoming.cancellation.aborted)
      return first;
    this.#recordExtraAttempt(call, 'hedge');
    const secondCancellation = incoming.cancellation.makeChild();
    const second = this.#sendAttempt(call, secondPick, records, secondCancellation);
    return selectResult(
      { result: first, cancellation: firstCancellation },
      { result: second, cancellation: secondCancellation },
    );
  }

  async #sendAttempt(
    call: Call,
    { endpoint, expectedMs, reportAgeMs, slowdown }: Pick,
    records: AttemptRecord[],
    cancellation: Cancellation,
  ): Promise<CallResult> {
    const { headerCodec, latency, admission } = this.#options;
    const startedAt = performance.now();
    const { id } = endpoint.registration;
    const record: AttemptRecord = {
      endpoint: id,
      expectedMs: Math.round(expectedMs),
      reportAgeMs: Math.round(reportAgeMs),
      load: endpoint.load,
      slowdown,
      outcome: 'sent',
      ms: 0,
    };
    records.push(record);
    endpoint.startCall();
    const remainingMs = Math.max(1, call.deadlineAt - startedAt);
    const isOnce = call.route.repeat === 'once';
    const sentResult = await endpoint.pool.send({
      method: call.method,
      path: call.incoming.target.pathAndQuery,
      headers: [
        ...copyEndToEndHeaders(call.incoming.request.rawHeaders, this.#omittedRequestHeaders),
        ...headerCodec.buildAttemptHeaders(id, remainingMs),
      ],
      body: call.body,
      timeoutMs: remainingMs,
      // A `once` call that has been sent is never cancelled. It cannot be retried after a reset, so
      // it does not use a connection that the endpoint may have dropped while it was idle.
      cancellation: isOnce ? undefined : cancellation,
      requiresFreshConnection: isOnce,
    });
    const finish = (outcome: string, ending: AttemptEnding) => {
      record.outcome = outcome;
      record.ms = Math.round(performance.now() - startedAt);
      endpoint.endCall(ending);
      admission.notifyCapacity(call.service);
    };
    if (sentResult.isErr()) return this.#convertFailure(call, endpoint, sentResult.error, finish);
    const response = sentResult.value;
    const { headers } = response;
    const head = { status: response.statusCode ?? 0, headers };
    const classification = headerCodec.classifyResponse(head, call.id);
    const report = headerCodec.parseLoadReport(headers);
    if (classification.kind === 'invalid') {
      response.on('error', () => undefined);
      response.destroy();
      finish('invalid', 'failed');
      const { message } = classification;
      return { kind: 'failed', verdict: 'may-have-run', reason: 'invalid', message };
    }
    const body = await readResponseBody(
      response,
      Math.max(1, call.deadlineAt - performance.now()),
      call.incoming.turn,
    );
    if (classification.kind === 'not-run') {
      if (body.kind === 'large') response.destroy();
      finish(classification.reason, 'shed');
      if (report) endpoint.recordReport(report);
      if (classification.reason === 'other-endpoint') endpoint.recordUnreachable();
      const message = `endpoint ${id} did not run the call: ${classification.reason}`;
      return { kind: 'failed', verdict: 'not-run', reason: 'shed', message };
    }
    if (body.kind === 'cut') {
      const isCancelled = cancellation.aborted;
      finish(isCancelled ? 'cancelled' : 'cut', isCancelled ? 'cancelled' : 'failed');
      if (isCancelled) return { ...createCancelledFailure(), verdict: 'may-have-run' };
      return createCutFailure(body);
    }
    const idleTimeoutMs = parseIdleTimeoutMs(headers['keep-alive']);
    if (idleTimeoutMs !== undefined) endpoint.setIdleTimeout(idleTimeoutMs);
    const isFailed = head.status >= 500;
    if (!isFailed && record.load < endpoint.registration.slots) {
      latency.recordCall(call.route, performance.now() - startedAt, slowdown);
    }
    if (report) {
      endpoint.recordReport(report, 1);
      latency.recordSlowdown(call.service, report.slowdown);
    }
    if (body.kind === 'large') {
      const finishStream = (ending: AttemptEnding) => finish('streamed', ending);
      return {
        kind: 'answer',
        response,
        bufferedBody: undefined,
        isSuccess: classification.isSuccess,
        finish: finishStream,
      };
    }
    finish(String(head.status), isFailed ? 'failed' : 'answered');
    const { bytes: bufferedBody } = body;
    return {
      kind: 'answer',
      response,
      bufferedBody,
      isSuccess: classification.isSuccess,
      finish: () => undefined,
    };
  }

  #convertFailure(
    call: Call,
    endpoint: Endpoint,
    { kind, verdict, message }: AttemptFailure,
    finish: (outcome: string, ending: AttemptEnding) => void,
  ): CallFailure {
    if (kind === 'cancelled') {
      finish('cancelled', 'cancelled');
      return { ...createCancelledFailure(), verdict };
    }
    if (verdict === 'not-run') {
      finish('unreachable', 'unreachable');
      return { kind: 'failed', verdict, reason: 'no-endpoint', message };
    }
    finish(kind, kind === 'bad-body' ? 'cancelled' : 'failed');
    if (kind === 'reset') this.#options.onConnectionReset(call, endpoint);
    const reason = match(kind)
      .with('timeout', () => 'timeout' as const)
      .with('bad-answer', () => 'invalid' as const)
      .otherwise(() => 'reset' as const);
    return { kind: 'failed', verdict, reason, message };
  }
}

/** Counts the attempts that reached an endpoint, or may have. */
function countSent(records: readonly AttemptRecord[]): number {
  return records.filter(({ outcome }) => outcome !== 'unreachable').length;
}

function mayAttempt({ route, incoming }: Call, records: readonly AttemptRecord[]): boolean {
  if (incoming.cancellation.aborted) return false;
  const sentCount = countSent(records);
  return sentCount < route.maxAttempts && records.length - sentCount <= maxUnreachedAttempts;
}

function createUnsentFailure({ service }: Call, pick: Exclude<Admission, Pick>): CallFailure {
  const verdict = 'not-run';
  return pick === 'overload'
    ? {
        kind: 'failed',
        verdict,
        reason: 'overload',
        message: `service ${service} is overloaded: the call would miss its target latency`,
      }
    : {
        kind: 'failed',
        verdict,
        reason: 'no-endpoint',
        message: `service ${service} has no reachable endpoint`,
      };
}

/** @returns The idle timeout in a `Keep-Alive` header, in milliseconds. */
function parseIdleTimeoutMs(header: string | string[] | undefined): number | undefined {
  const seconds = /(?:^|[\s,;])timeout=(\d{1,6})/i.exec(String(header ?? ''))?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1000;
}
