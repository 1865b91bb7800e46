import { setTimeout as sleep } from 'node:timers/promises';
import { copyEndToEndHeaders } from '@dotterelpass/proxy';
import type { AttemptFailure, Cancellation } from '@dotterelpass/proxy';
import type { RetryBudget } from '@dotterelpass/retries';
import type { Metrics } from '@dotterelpass/telemetry';
import type { Verdict } from '@dotterelpass/values';
import { match } from 'ts-pattern';
import { readAnswer } from './answer.js';
import { toCancelled, toWorse } from './call.js';
import type { Answer, AttemptRecord, Call, CallEnd, Failed } from './call.js';
import type { HeaderCodec } from './dialect.js';
import type { AttemptEnding, Endpoint } from './endpoint.js';
import { findHedgeMs, isSlowerThan, pickEnd } from './hedge.js';
import { hasRoom } from './picker.js';
import type { Pick, Picker } from './picker.js';
import type { WorkTimes } from './worktimes.js';

/** Attempts that never reached an endpoint and so do not count for the route's limit. */
const maxUnreached = 4;

/** Time that must be left for another attempt, as a share of the work's usual time. */
const minLeftShare = 0.8;

/** Share of the target latency for which a call waits for room before it is refused. */
const holdShare = 0.1;

export interface AttemptsOptions {
  readonly dialect: HeaderCodec;
  readonly picker: Picker;
  readonly work: WorkTimes;
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
  /** Called when a connection broke while an endpoint ran a call. */
  onReset(call: Call, endpoint: Endpoint): void;
}

/** Sends calls to endpoints, again where that is safe. */
export class Attempts {
  readonly #options: AttemptsOptions;

  /** Request headers that are written anew; two lengths would let a body pass for a request. */
  readonly #forwardedWithout: ReadonlySet<string>;

  constructor(options: AttemptsOptions) {
    this.#options = options;
    this.#forwardedWithout = new Set([...options.dialect.replacedRequestHeaders, 'content-length']);
  }

  /**
   * Sends a call until it is answered or may not be sent again.
   *
   * @param call - The call.
   * @param records - Takes a record of each attempt.
   */
  async run(call: Call, records: AttemptRecord[]): Promise<CallEnd> {
    const { budget } = this.#options;
    budget.recordCall([call.service]);
    let worst: Verdict = 'not-run';
    let last: Failed = { kind: 'failed', verdict: 'not-run', reason: 'no-endpoint', message: '' };
    while (mayAttempt(call, records)) {
      const isRetry = countSent(records) > 0;
      if (isRetry && !this.#mayRetry(call, worst)) return { ...last, verdict: worst };
      const pick = await this.#pickInTime(call, records);
      if (call.incoming.gone.aborted) return { ...toCancelled(), verdict: worst };
      if (pick === undefined || pick === 'overload') {
        return isRetry ? { ...last, verdict: worst } : toUnsent(call, pick);
      }
      if (isRetry) this.#recordExtra(call, 'retry');
      const end = await this.#sendHedged(call, pick, records);
      if (end.kind === 'answer') {
        if (!this.#wantsRetry(call, end, records)) return end;
        end.release('failed');
        const { statusCode } = end.answer;
        last = {
          kind: 'failed',
          verdict: 'ran',
          reason: 'invalid',
          message: `an endpoint answered ${statusCode}`,
        };
      } else last = end;
      worst = toWorse(worst, last.verdict);
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
    if (!first || isInTime(call, first)) return first;
    // A slow endpoint keeps a call slow to its end, and may be fast again soon.
    await sleep(call.route.targetLatencyMs * holdShare);
    const second = await this.#pick(call, records);
    if (!second || isInTime(call, second) || hasRoom(second.endpoint)) return second;
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
  #wantsRetry(call: Call, end: Answer, records: readonly AttemptRecord[]): boolean {
    const status = end.answer.statusCode ?? 0;
    return status >= 500 && mayAttempt(call, records) && this.#mayRetry(call, 'ran');
  }

  #mayRetry(call: Call, verdict: Verdict): boolean {
    const { budget, work } = this.#options;
    if (verdict !== 'not-run' && call.route.repeat !== 'idempotent') return false;
    if (call.body.kind === 'stream') return false;
    const leftMs = call.deadlineAt - performance.now();
    if (leftMs < minLeftShare * work.findMs(call.route)) return false;
    return budget.allowsExtraAttempt([call.service]);
  }

  #recordExtra(call: Call, event: 'retry' | 'hedge'): void {
    this.#options.budget.recordExtraAttempt([call.service]);
    this.#options.metrics.recordEvent(event, call.service);
  }

  /** Sends a call; an idempotent one that takes long goes to a second endpoint as well. */
  async #sendHedged(call: Call, pick: Pick, records: AttemptRecord[]): Promise<CallEnd> {
    const { route, body, incoming } = call;
    const canHedge = route.repeat === 'idempotent' && body.kind !== 'stream';
    const cancelFirst = incoming.gone.makeChild();
    const first = this.#send(call, pick, records, cancelFirst);
    if (!canHedge) return first;
    const afterMs = findHedgeMs(this.#options.work.findMs(route), route.targetLatencyMs);
    if (!(await isSlowerThan(first, afterMs))) return first;
    if (!mayAttempt(call, records) || !this.#mayRetry(call, 'may-have-run')) return first;
    const other = await this.#pick(call, records);
    if (!other || !hasRoom(other.endpoint) || incoming.gone.aborted) return first;
    this.#recordExtra(call, 'hedge');
    const cancelSecond = incoming.gone.makeChild();
    const second = this.#send(call, other, records, cancelSecond);
    return pickEnd({ end: first, cancel: cancelFirst }, { end: second, cancel: cancelSecond });
  }

  async #send(
    call: Call,
    { endpoint, expectedMs, reportAgeMs, slowdown }: Pick,
    records: AttemptRecord[],
    departure: Cancellation,
  ): Promise<CallEnd> {
    const { dialect, work } = this.#options;
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
        ...copyEndToEndHeaders(call.incoming.request.rawHeaders, this.#forwardedWithout),
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
    if (sent.isErr()) return this.#toFailed(call, endpoint, sent.error, finish);
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
    const body = await readAnswer(answer, Math.max(1, call.deadlineAt - performance.now()));
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
      if (isCancelled) return { ...toCancelled(), verdict: 'may-have-run' };
      const { message } = body;
      const isLate = performance.now() >= call.deadlineAt;
      const reason = isLate ? 'timeout' : 'reset';
      return { kind: 'failed', verdict: 'may-have-run', reason, message };
    }
    const idle = readIdleTimeout(headers['keep-alive']);
    if (idle !== undefined) endpoint.setIdleTimeout(idle);
    const isFailed = head.status >= 500;
    if (!isFailed && record.load < endpoint.registration.slots) {
      work.record(call.route, performance.now() - startedAt, slowdown);
    }
    if (report) {
      endpoint.recordReport(report, 1);
      work.recordSlowdown(call.service, report.slowdown);
    }
    if (body.kind === 'large') {
      const release = (ending: AttemptEnding) => finish('streamed', ending);
      return { kind: 'answer', answer, bytes: undefined, isSuccess: reading.isSuccess, release };
    }
    finish(String(head.status), isFailed ? 'failed' : 'answered');
    const { bytes } = body;
    return {
      kind: 'answer',
      answer,
      bytes,
      isSuccess: reading.isSuccess,
      release: () => undefined,
    };
  }

  #toFailed(
    call: Call,
    endpoint: Endpoint,
    { kind, verdict, message }: AttemptFailure,
    finish: (outcome: string, ending: AttemptEnding) => void,
  ): Failed {
    if (kind === 'cancelled') {
      finish('cancelled', 'cancelled');
      return { ...toCancelled(), verdict };
    }
    if (verdict === 'not-run') {
      finish('unreachable', 'unreachable');
      return { kind: 'failed', verdict, reason: 'no-endpoint', message };
    }
    finish(kind, kind === 'bad-body' ? 'cancelled' : 'failed');
    if (kind === 'reset') this.#options.onReset(call, endpoint);
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
  return sent < route.maxAttempts && records.length - sent <= maxUnreached;
}

function toUnsent({ service }: Call, pick: 'overload' | undefined): Failed {
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

function isInTime(call: Call, { endpoint, expectedMs }: Pick): boolean {
  if (call.isUrgent && endpoint.load <= endpoint.registration.slots) return true;
  return performance.now() + expectedMs <= call.targetAt;
}

/** @returns The idle timeout that a `Keep-Alive` header states, in milliseconds. */
function readIdleTimeout(header: string | string[] | undefined): number | undefined {
  const seconds = /(?:^|[\s,;])timeout=(\d{1,6})/i.exec(String(header ?? ''))?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1000;
}
