import { setTimeout as sleep } from 'node:timers/promises';
import { copyEndToEndHeaders } from '@dotterelpass/proxy';
import type { AttemptFailure, Cancellation } from '@dotterelpass/proxy';
import type { RetryBudget } from '@dotterelpass/retries';
import type { Metrics } from '@dotterelpass/telemetry';
import type { Verdict } from '@dotterelpass/values';
import { match } from 'ts-pattern';
import { readResponseBody } from './body.js';
import { createCancelledFailure, combineVerdicts } from './call.js';
import type { CallResponse, AttemptRecord, Call, CallResult, CallFailure } from './call.js';
import type { HeaderCodec } from './codec.js';
import type { AttemptEnding, Endpoint } from './endpoint.js';
import { calculateHedgeDelayMs, isSlowerThan, selectResult } from './hedge.js';
import { hasSpareCapacity } from './picker.js';
import type { Pick, Picker } from './picker.js';
import type { LatencyEstimator } from './latency.js';

/** Attempts that never reached an endpoint and so do not count for the route's limit. */
const maxUnreachedAttempts = 4;

/** Time that must be left for another attempt, as a share of the work's usual time. */
const minRemainingShare = 0.8;

/** Share of the target latency for which a call waits for room before it is refused. */
const capacityWaitShare = 0.1;

export interface CallSenderOptions {
  readonly headerCodec: HeaderCodec;
  readonly picker: Picker;
  readonly latency: LatencyEstimator;
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
  /** Called when a connection broke while an endpoint ran a call. */
  onConnectionReset(call: Call, endpoint: Endpoint): void;
}

/** Sends calls to endpoints, again where that is safe. */
export class CallSender {
  readonly #options: CallSenderOptions;

  /** Request headers that are written anew; two lengths would let a body pass for a request. */
  readonly #omittedRequestHeaders: ReadonlySet<string>;

  constructor(options: CallSenderOptions) {
    this.#options = options;
    this.#omittedRequestHeaders = new Set([
      ...options.headerCodec.replacedRequestHeaders,
      'content-length',
    ]);
  }

  /**
   * Sends a call until it is answered or may not be sent again.
   *
   * @param call - The call.
   * @param records - Takes a record of each attempt.
   */
  async sendCall(call: Call, records: AttemptRecord[]): Promise<CallResult> {
    const { budget } = this.#options;
    budget.recordCall([call.service]);
    let worst: Verdict = 'not-run';
    let last: CallFailure = {
      kind: 'failed',
      verdict: 'not-run',
      reason: 'no-endpoint',
      message: '',
    };
    while (mayAttempt(call, records)) {
      const isRetry = countSent(records) > 0;
      if (isRetry && !this.#mayRetry(call, worst)) return { ...last, verdict: worst };
      const pick = await this.#pickInTime(call, records);
      if (call.incoming.gone.aborted) return { ...createCancelledFailure(), verdict: worst };
      if (pick === undefined || pick === 'overload') {
        return isRetry ? { ...last, verdict: worst } : createUnsentFailure(call, pick);
      }
      if (isRetry) this.#recordExtraAttempt(call, 'retry');
      const end = await this.#sendHedged(call, pick, records);
      if (end.kind === 'answer') {
        if (!this.#shouldRetryResponse(call, end, records)) return end;
        end.finish('failed');
        const { statusCode } = end.answer;
        last = {
          kind: 'failed',
          verdict: 'ran',
          reason: 'invalid',
          message: `an endpoint answered ${statusCode}`,
        };
      } else last = end;
      worst = combineVerdicts(worst, last.verdict);
    }
    return { ...last, verdict: worst };
  }

  /**
   * Picks an endpoint that can answer in time. A call that would be late anyway is sent only
   * where it delays no other call: in an overload all calls would end late otherwise.
   */
  async #pickInTime(
    call: Call,
    records: readonly AttemptRecord[],
  ): Promise<Pick | 'overload' | undefined> {
    const first = await this.#pick(call, records);
    if (!first || canMeetTarget(call, first)) return first;
    // A slow endpoint keeps a call slow to its end, and may be fast again soon.
    await sleep(call.route.targetLatencyMs * capacityWaitShare);
    const second = await this.#pick(call, records);
    if (!second || canMeetTarget(call, second) || hasSpareCapacity(second.endpoint)) return second;
    return 'overload';
  }

  async #pick(call: Call, records: readonly AttemptRecord[]): Promise<Pick | undefined> {
    return this.#options.picker.pick({
      service: call.service,
      route: call.route,
      tried: records.map(({ endpoint }) => endpoint),
    });
  }

  /** A failed answer of an idempotent call is tried elsewhere; the last one is passed on. */
  #shouldRetryResponse(call: Call, end: CallResponse, records: readonly AttemptRecord[]): boolean {
    const status = end.answer.statusCode ?? 0;
    return status >= 500 && mayAttempt(call, records) && this.#mayRetry(call, 'ran');
  }

  #mayRetry(call: Call, verdict: Verdict): boolean {
    const { budget, latency: work } = this.#options;
    if (verdict !== 'not-run' && call.route.repeat !== 'idempotent') return false;
    if (call.body.kind === 'stream') return false;
    const leftMs = call.deadlineAt - performance.now();
    if (leftMs < minRemainingShare * work.estimateMs(call.route)) return false;
    return budget.allowsExtraAttempt([call.service]);
  }

  #recordExtraAttempt(call: Call, event: 'retry' | 'hedge'): void {
    this.#options.budget.recordExtraAttempt([call.service]);
    this.#options.metrics.recordEvent(event, call.service);
  }

  /** Sends a call; an idempotent one that takes long goes to a second endpoint as well. */
  async #sendHedged(call: Call, pick: Pick, records: AttemptRecord[]): Promise<CallResult> {
    const { route, body, incoming } = call;
    const canHedge = route.repeat === 'idempotent' && body.kind !== 'stream';
    const cancelFirst = incoming.gone.makeChild();
    const first = this.#sendAttempt(call, pick, records, cancelFirst);
    if (!canHedge) return first;
    const afterMs = calculateHedgeDelayMs(
      this.#options.latency.estimateMs(route),
      route.targetLatencyMs,
    );
    if (!(await isSlowerThan(first, afterMs))) return first;
    if (!mayAttempt(call, records) || !this.#mayRetry(call, 'may-have-run')) return first;
    const other = await this.#pick(call, records);
    if (!other || !hasSpareCapacity(other.endpoint) || incoming.gone.aborted) return first;
    this.#recordExtraAttempt(call, 'hedge');
    const cancelSecond = incoming.gone.makeChild();
    const second = this.#sendAttempt(call, other, records, cancelSecond);
    return selectResult({ end: first, cancel: cancelFirst }, { end: second, cancel: cancelSecond });
  }

  async #sendAttempt(
    call: Call,
    { endpoint, expectedMs, reportAgeMs, slowdown }: Pick,
    records: AttemptRecord[],
    departure: Cancellation,
  ): Promise<CallResult> {
    const { headerCodec: dialect, latency: work } = this.#options;
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
    const leftMs = Math.max(1, call.deadlineAt - startedAt);
    const isOnce = call.route.repeat === 'once';
    const sent = await endpoint.pool.send({
      method: call.method,
      path: call.incoming.target.pathAndQuery,
      headers: [
        ...copyEndToEndHeaders(call.incoming.request.rawHeaders, this.#omittedRequestHeaders),
        ...dialect.buildAttemptHeaders(id, leftMs),
      ],
      body: call.body,
      timeoutMs: leftMs,
      // A `once` call that has been sent is left to finish.
      cancellation: isOnce ? undefined : departure,
    });
    const finish = (outcome: string, ending: AttemptEnding) => {
      record.outcome = outcome;
      record.ms = Math.round(performance.now() - startedAt);
      endpoint.endCall(ending);
    };
    if (sent.isErr()) return this.#convertFailure(call, endpoint, sent.error, finish);
    const answer = sent.value;
    const { headers } = answer;
    const head = { status: answer.statusCode ?? 0, headers };
    const reading = dialect.classifyResponse(head, call.id);
    const report = dialect.parseLoadReport(headers);
    if (reading.kind === 'invalid') {
      answer.on('error', () => undefined);
      answer.destroy();
      finish('invalid', 'failed');
      const { message } = reading;
      return { kind: 'failed', verdict: 'may-have-run', reason: 'invalid', message };
    }
    const body = await readResponseBody(answer, Math.max(1, call.deadlineAt - performance.now()));
    if (reading.kind === 'not-run') {
      if (body.kind === 'large') answer.destroy();
      finish(reading.reason, 'shed');
      if (report) endpoint.recordReport(report);
      if (reading.reason === 'other-endpoint') endpoint.recordUnreachable();
      const message = `endpoint ${id} did not run the call: ${reading.reason}`;
      return { kind: 'failed', verdict: 'not-run', reason: 'shed', message };
    }
    if (body.kind === 'cut') {
      const isCancelled = departure.aborted;
      finish(isCancelled ? 'cancelled' : 'cut', isCancelled ? 'cancelled' : 'failed');
      if (isCancelled) return { ...createCancelledFailure(), verdict: 'may-have-run' };
      const { message } = body;
      const isLate = performance.now() >= call.deadlineAt;
      const reason = isLate ? 'timeout' : 'reset';
      return { kind: 'failed', verdict: 'may-have-run', reason, message };
    }
    const idleTimeoutMs = parseIdleTimeoutMs(headers['keep-alive']);
    if (idleTimeoutMs !== undefined) endpoint.setIdleTimeout(idleTimeoutMs);
    const isFailed = head.status >= 500;
    if (!isFailed && record.load < endpoint.registration.slots) {
      work.recordCall(call.route, performance.now() - startedAt, slowdown);
    }
    if (report) {
      endpoint.recordReport(report, 1);
      work.recordSlowdown(call.service, report.slowdown);
    }
    if (body.kind === 'large') {
      const release = (ending: AttemptEnding) => finish('streamed', ending);
      return {
        kind: 'answer',
        answer,
        bufferedBody: undefined,
        isSuccess: reading.isSuccess,
        finish: release,
      };
    }
    finish(String(head.status), isFailed ? 'failed' : 'answered');
    const { bytes } = body;
    return {
      kind: 'answer',
      answer,
      bufferedBody: bytes,
      isSuccess: reading.isSuccess,
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

/** Attempts that reached an endpoint, as far as is known. */
function countSent(records: readonly AttemptRecord[]): number {
  return records.filter(({ outcome }) => outcome !== 'unreachable').length;
}

function mayAttempt({ route, incoming }: Call, records: readonly AttemptRecord[]): boolean {
  if (incoming.gone.aborted) return false;
  const sent = countSent(records);
  return sent < route.maxAttempts && records.length - sent <= maxUnreachedAttempts;
}

function createUnsentFailure({ service }: Call, pick: 'overload' | undefined): CallFailure {
  const verdict = 'not-run';
  return pick === 'overload'
    ? {
        kind: 'failed',
        verdict,
        reason: 'overload',
        message: `service ${service} has no room for a call that would end late`,
      }
    : {
        kind: 'failed',
        verdict,
        reason: 'no-endpoint',
        message: `service ${service} has no endpoint that can be reached`,
      };
}

function canMeetTarget(call: Call, { endpoint, expectedMs }: Pick): boolean {
  if (call.isUrgent && endpoint.load <= endpoint.registration.slots) return true;
  return performance.now() + expectedMs <= call.targetDeadlineAt;
}

/** @returns The idle timeout that a `Keep-Alive` header states, in milliseconds. */
function parseIdleTimeoutMs(header: string | string[] | undefined): number | undefined {
  const seconds = /(?:^|[\s,;])timeout=(\d{1,6})/i.exec(String(header ?? ''))?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1000;
}
