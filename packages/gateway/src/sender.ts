import { hasFraming, isOnReusedConnection } from '@dotterelpass/proxy';
import type { AttemptFailure, Cancellation } from '@dotterelpass/proxy';
import type { FailureDomain, ServiceId, Verdict } from '@dotterelpass/values';
import { isOverload, isPick } from './admission.js';
import type { Admission, AdmissionOptions, CallAdmission } from './admission.js';
import type { BackpressureRecorder } from './backpressure.js';
import { createCutFailure, readResponseBody } from './body.js';
import { createCancelledFailure, combineVerdicts, discardAnswer } from './call.js';
import type { AttemptRecord, Call, CallResult, CallFailure, RetryBlock } from './call.js';
import type { HeaderCodec } from './codec.js';
import type { CrashMonitor, RunEnding } from './crashes.js';
import type { AttemptEnding, Endpoint } from './endpoint.js';
import { HeaderCopier } from './forwarding.js';
import { calculateHedgeDelayMs, isSlowerThan, selectResult } from './hedge.js';
import { hasSpareCapacity } from './picker.js';
import type { Pick, Picker } from './picker.js';
import type { LatencyEstimator } from './latency.js';
import { countSent } from './retries.js';
import { freeToken } from './gate.js';
import type { AttemptToken, WarmupGate } from './gate.js';
import type { RetryPolicy } from './retries.js';

/**
 * Share of the retry budget that hedged requests may use. The rest is reserved for calls that have
 * failed, which have no answer at all without a retry.
 */
const hedgeBudgetShare = 0.5;

/** Ends an attempt. */
type FinishAttempt = (outcome: string, ending: AttemptEnding, run: RunEnding) => void;

export interface CallSenderOptions {
  readonly headerCodec: HeaderCodec;
  readonly admission: CallAdmission;
  readonly backpressure: BackpressureRecorder;
  readonly warmup: WarmupGate;
  readonly picker: Picker;
  readonly latency: LatencyEstimator;
  readonly retries: RetryPolicy;
  /** Returns the failure domains of a service's endpoints, if all of them are evacuated. */
  findEvacuation(service: ServiceId): readonly FailureDomain[] | undefined;
  readonly crashes: CrashMonitor;
}

/** Sends calls to endpoints, with retries and hedged requests where these are safe. */
export class CallSender {
  readonly #options: CallSenderOptions;

  readonly #copier: HeaderCopier;

  constructor(options: CallSenderOptions) {
    this.#options = options;
    this.#copier = new HeaderCopier(options.headerCodec);
  }

  /**
   * Sends a call, and retries it until it is answered or no further attempt is allowed.
   *
   * @param call - The call.
   * @param records - Receives a record of each attempt.
   * @param options - Whether the first attempt may wait for an endpoint with spare capacity.
   */
  async sendCall(
    call: Call,
    records: AttemptRecord[],
    { mayWait }: AdmissionOptions = { mayWait: true },
  ): Promise<CallResult> {
    const { retries, findEvacuation } = this.#options;
    let isCounted = false;
    let worstVerdict: Verdict = 'not-run';
    let lastFailure: CallFailure = {
      kind: 'failed',
      verdict: 'not-run',
      reason: 'no-endpoint',
      message: '',
    };
    for (;;) {
      const block = retries.findBlock(call, records, worstVerdict);
      if (block) {
        const failure = { ...lastFailure, verdict: worstVerdict };
        return addRetryBlock(this.#addReturnTime(call, failure), block, records);
      }
      const isRetry = countSent(records) > 0;
      // Calls that wait for an endpoint must not hold up one that has none.
      const pick = findEvacuation(call.service)
        ? undefined
        : await this.#options.admission.admitCall(call, records, { mayWait: mayWait || isRetry });
      if (call.incoming.cancellation.aborted) {
        const failure = { ...createCancelledFailure(), verdict: worstVerdict };
        return addRetryBlock(failure, 'caller-left', records);
      }
      if (!isPick(pick)) {
        const failure = isRetry
          ? { ...lastFailure, verdict: worstVerdict }
          : createUnsentFailure(call, pick, findEvacuation(call.service));
        return addRetryBlock(this.#addReturnTime(call, failure), getBlockReason(pick), records);
      }
      const token = this.#takeToken(call, pick) ?? (await this.#waitForToken(call, pick));
      if (!token) {
        if (performance.now() < call.deadlineAt) continue;
        const failure = isRetry
          ? { ...lastFailure, verdict: worstVerdict }
          : createUnsentFailure(call, 'overload', undefined);
        return addRetryBlock(this.#addReturnTime(call, failure), 'time-left', records);
      }
      // A call that is handed over is counted by the instance that sends it to an endpoint.
      if (!isCounted) retries.recordCall(call);
      isCounted = true;
      if (isRetry) retries.recordAttempt(call, 'retry');
      const result = await this.#sendHedged(call, pick, token, records);
      if (result.kind === 'answer') {
        const { statusCode = 0 } = result.response;
        // A 5xx response to an idempotent call is retried; the last one is passed to the caller.
        if (statusCode < 500) return result;
        const retryBlock = retries.findBlock(call, records, 'ran');
        if (retryBlock) return { ...result, retryBlock };
        discardAnswer(result, 'failed');
        lastFailure = {
          kind: 'failed',
          verdict: 'ran',
          reason: 'invalid',
          message: `endpoint answered with status ${statusCode}`,
        };
      } else lastFailure = result;
      worstVerdict = combineVerdicts(worstVerdict, lastFailure.verdict);
    }
  }

  /** Adds when the caller may return, if all endpoints of the service ask instances to wait. */
  #addReturnTime(call: Call, failure: CallFailure): CallFailure {
    if (failure.verdict !== 'not-run') return failure;
    const { service, route } = call;
    const nextAt = this.#options.picker.findNextRequestAt({ service, route, tried: [] });
    const waitMs = (nextAt ?? -Infinity) - performance.now();
    return waitMs > 0 ? { ...failure, retryAfterMs: waitMs } : failure;
  }

  async #pick(call: Call, records: readonly AttemptRecord[]): Promise<Pick | undefined> {
    return this.#options.picker.pick({
      service: call.service,
      route: call.route,
      tried: records.map(({ endpoint }) => endpoint),
    });
  }

  /**
   * Takes the right to send a request to a picked endpoint.
   *
   * @returns Undefined when the endpoint is cold, or another call has taken the last request that it
   * allows.
   */
  #takeToken(call: Call, { endpoint }: Pick, token = freeToken): AttemptToken | undefined {
    const isTaken =
      (token !== freeToken || !this.#options.warmup.needsToken(endpoint)) &&
      !call.incoming.cancellation.aborted &&
      !endpoint.isEvacuated &&
      endpoint.backpressure.takeRequest();
    return isTaken ? token : undefined;
  }

  /** The same for a cold endpoint, whose requests all instances limit together. */
  async #waitForToken(call: Call, pick: Pick): Promise<AttemptToken | undefined> {
    const { warmup } = this.#options;
    if (!warmup.needsToken(pick.endpoint)) return undefined;
    const token = await warmup.takeToken(pick.endpoint);
    if (!token) return undefined;
    const taken = this.#takeToken(call, pick, token);
    if (!taken) token.giveBack();
    return taken;
  }

  /** Sends a call, and hedges it on a second endpoint when it is idempotent and takes long. */
  async #sendHedged(
    call: Call,
    pick: Pick,
    token: AttemptToken,
    records: AttemptRecord[],
  ): Promise<CallResult> {
    const { route, body, incoming } = call;
    const canHedge = route.repeat === 'idempotent' && body.kind !== 'stream';
    const firstCancellation = incoming.cancellation.makeChild();
    const first = this.#sendAttempt(call, pick, token, records, firstCancellation);
    if (!canHedge) return first;
    const delayMs = calculateHedgeDelayMs(
      this.#options.latency.estimateMs(route),
      route.targetLatencyMs,
    );
    if (!(await isSlowerThan(first, delayMs))) return first;
    if (this.#options.retries.findBlock(call, records, 'may-have-run', hedgeBudgetShare))
      return first;
    const secondPick = await this.#pick(call, records);
    if (!secondPick || !hasSpareCapacity(secondPick.endpoint) || incoming.cancellation.aborted)
      return first;
    const secondToken =
      this.#takeToken(call, secondPick) ?? (await this.#waitForToken(call, secondPick));
    if (!secondToken) return first;
    this.#options.retries.recordAttempt(call, 'hedge');
    this.#options.admission.recordHedge(call);
    const secondCancellation = incoming.cancellation.makeChild();
    const second = this.#sendAttempt(call, secondPick, secondToken, records, secondCancellation);
    return selectResult(
      { result: first, cancellation: firstCancellation },
      { result: second, cancellation: secondCancellation },
    );
  }

  async #sendAttempt(
    call: Call,
    { endpoint, expectedMs, reportAgeMs, slowdown }: Pick,
    token: AttemptToken,
    records: AttemptRecord[],
    cancellation: Cancellation,
  ): Promise<CallResult> {
    const { headerCodec, latency, admission, backpressure, crashes } = this.#options;
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
        ...this.#copier.copyHeaders(call),
        ...headerCodec.buildAttemptHeaders(id, remainingMs),
        ...(call.workspace ? headerCodec.buildWorkspaceHeaders(call.workspace.name) : []),
      ],
      body: call.body,
      timeoutMs: remainingMs,
      cancellation,
      // A `once` call that has been sent is never cancelled. It cannot be retried after a reset, so
      // it does not use a connection that the endpoint may have dropped while it was idle.
      mayCancelSent: !isOnce,
      requiresFreshConnection: isOnce,
    });
    let isSuccess = false;
    const finish: FinishAttempt = (outcome, ending, run) => {
      record.outcome = outcome;
      record.ms = Math.round(performance.now() - startedAt);
      endpoint.endCall(ending);
      crashes.recordEnd({ call, endpoint, startedAt }, run, isSuccess);
      admission.notifyCapacity(call.service);
    };
    if (sentResult.isErr()) {
      if (sentResult.error.verdict === 'not-run') token.giveBack();
      return this.#convertFailure(call, endpoint, sentResult.error, finish);
    }
    const response = sentResult.value;
    const { headers } = response;
    const isReused = isOnReusedConnection(response);
    const head = { status: response.statusCode ?? 0, headers, isReused };
    isSuccess = head.status < 400;
    const classification = headerCodec.classifyResponse(head, call.id);
    const report = headerCodec.parseLoadReport(headers);
    if (classification.kind === 'invalid') {
      response.on('error', () => undefined);
      response.destroy();
      finish('invalid', 'failed', 'abandoned');
      const { message } = classification;
      return { kind: 'failed', verdict: 'may-have-run', reason: 'invalid', message };
    }
    if (classification.kind === 'answer' || classification.reason !== 'other-endpoint') {
      backpressure.recordAnswer(endpoint, head, 'call', call.id);
    }
    const body = await readResponseBody(
      response,
      Math.max(1, call.deadlineAt - performance.now()),
      call.incoming.turn,
    );
    if (classification.kind === 'not-run') {
      if (body.kind === 'large') response.destroy();
      finish(classification.reason, 'shed', 'not-run');
      if (report) endpoint.recordReport(report);
      if (classification.reason === 'other-endpoint') {
        token.giveBack();
        endpoint.recordUnreachable();
      }
      const message = `endpoint ${id} did not run the call: ${classification.reason}`;
      return { kind: 'failed', verdict: 'not-run', reason: 'shed', message };
    }
    if (body.kind === 'cut') {
      const isCancelled = cancellation.aborted;
      if (isCancelled) {
        finish('cancelled', 'cancelled', 'abandoned');
        return { ...createCancelledFailure(), verdict: 'may-have-run' };
      }
      finish('cut', 'failed', body.isExpired ? 'abandoned' : 'broken');
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
      return {
        kind: 'answer',
        response,
        bufferedBody: undefined,
        isSuccess: classification.isSuccess,
        finish: (ending, run) => finish('streamed', ending, run),
      };
    }
    const run = hasFraming(response) ? 'answered' : 'closed';
    finish(String(head.status), isFailed ? 'failed' : 'answered', run);
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
    finish: FinishAttempt,
  ): CallFailure {
    if (kind === 'cancelled') {
      finish('cancelled', 'cancelled', verdict === 'not-run' ? 'not-run' : 'abandoned');
      return { ...createCancelledFailure(), verdict };
    }
    if (verdict === 'not-run' && kind === 'timeout') {
      // The deadline passed in the queue for a connection, which says nothing of the endpoint.
      finish('no-connection', 'cancelled', 'not-run');
      return { kind: 'failed', verdict, reason: 'timeout', timedOutIn: 'connection', message };
    }
    if (verdict === 'not-run' && endpoint.isEvacuated) {
      finish('evacuated', 'cancelled', 'not-run');
      return { kind: 'failed', verdict, reason: 'no-endpoint', message };
    }
    if (verdict === 'not-run') {
      finish('unreachable', 'unreachable', 'not-run');
      return { kind: 'failed', verdict, reason: 'no-endpoint', message };
    }
    const run = kind === 'reset' ? 'broken' : 'abandoned';
    finish(kind, kind === 'bad-body' ? 'cancelled' : 'failed', run);
    if (kind === 'timeout') {
      return { kind: 'failed', verdict, reason: 'timeout', timedOutIn: 'response-head', message };
    }
    const reason = kind === 'bad-answer' ? 'invalid' : 'reset';
    return { kind: 'failed', verdict, reason, message };
  }
}

/** Adds what forbade a further attempt, unless no attempt was made. */
function addRetryBlock(
  failure: CallFailure,
  retryBlock: RetryBlock,
  records: readonly AttemptRecord[],
): CallFailure {
  return records.length > 0 ? { ...failure, retryBlock } : failure;
}

function getBlockReason(admission: Exclude<Admission, Pick>): RetryBlock {
  if (isOverload(admission)) return 'overload';
  return admission ? 'backpressure' : 'no-endpoint';
}

function createUnsentFailure(
  { service }: Call,
  pick: Exclude<Admission, Pick>,
  evacuated: readonly FailureDomain[] | undefined,
): CallFailure {
  const verdict = 'not-run';
  if (evacuated) {
    const domains = evacuated.join(', ');
    const message = `all endpoints of service ${service} are in evacuated failure domains: ${domains}`;
    return { kind: 'failed', verdict, reason: 'evacuated', message };
  }
  if (pick && !isOverload(pick)) {
    return {
      kind: 'failed',
      verdict,
      reason: 'backpressure',
      message: `all endpoints of service ${service} ask callers to wait or are warming up`,
    };
  }
  return pick
    ? {
        kind: 'failed',
        verdict,
        reason: 'overload',
        message: `service ${service} is overloaded: the call would miss its target latency`,
        ...(pick === 'overload' ? {} : { wait: pick.wait }),
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
