import type { IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { copyEndToEndHeaders } from '@dotterelpass/proxy';
import type { AttemptFailure, Cancellation, Refusal } from '@dotterelpass/proxy';
import type { FailedAttempt, Hedger, RetryBudget, RetryPolicy } from '@dotterelpass/retries';
import type { Metrics } from '@dotterelpass/telemetry';
import { outcomeHeader } from '@dotterelpass/values';
import type { EndpointId, FailureDomain, Verdict } from '@dotterelpass/values';
import type { Balancer, Slot, SlotOutcome } from './balancer.js';
import { timeoutHeader } from './call.js';
import type { Call } from './call.js';
import type { InFlightRequests } from './inflight.js';
import type { SuspectGate, SuspectAdmission } from './gates.js';

/** A response of an endpoint whose body has not been read yet. */
export interface AnsweredCall {
  readonly kind: 'answered';
  readonly response: IncomingMessage;
  /** Whether an earlier attempt of the call may have run. */
  readonly mayHaveRun: boolean;
  /**
   * Releases the slot. Called exactly once, after the body has been read or dropped.
   *
   * @returns Whether the endpoint has crashed.
   */
  end(outcome: SlotOutcome): Promise<boolean>;
}

/** A call that got no response from an endpoint. */
export interface RefusedCall {
  readonly kind: 'refused';
  readonly refusal: Refusal;
}

/** Dependencies of an `AttemptRunner`. */
export interface AttemptRunnerOptions {
  readonly balancer: Pick<Balancer, 'acquire'>;
  readonly policy: RetryPolicy;
  readonly budget: RetryBudget;
  readonly hedger: Hedger;
  readonly inFlight: InFlightRequests;
  readonly suspects: SuspectGate | undefined;
  readonly metrics: Metrics;
}

interface FailedCall {
  readonly kind: 'failed';
  readonly failure: FailedAttempt;
  readonly refusal: Refusal;
  readonly crashed: boolean;
  /** The response with a retryable status; forwarded to the caller if no retry follows. */
  readonly answered?: AnsweredCall;
}

type AttemptResult = AnsweredCall | FailedCall;

/** Headers of the caller that are dropped or replaced in the request to the endpoint. */
const droppedHeaders: ReadonlySet<string> = new Set([
  'content-length',
  'x-request-id',
  timeoutHeader,
]);

/** Sends calls to endpoints, with retries and hedged requests. */
export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
  }

  /**
   * Sends a call to an endpoint, and again while its retry policy and the retry budget allow it.
   *
   * @param call - The call.
   * @returns The response or a refusal. The verdict covers all attempts.
   */
  async sendWithRetries(call: Call): Promise<AnsweredCall | RefusedCall> {
    const { policy, budget, metrics } = this.#options;
    const groups = toBudgetGroups(call);
    budget.recordCall(groups);
    let tried: EndpointId[] = [];
    let verdict: Verdict = 'not-run';
    for (let attempts = 1; ; attempts++) {
      const admission = await this.#admit(call);
      if (admission?.kind === 'refuse') return toRefusedCall(admission.refusal, verdict);
      const exclusive = admission?.exclusive === true;
      const slot = await this.#acquire(call, { tried, exclusive });
      if (slot.isErr()) {
        admission?.finish(false, false);
        return toRefusedCall(slot.error, verdict);
      }
      tried = [...tried, slot.value.endpoint.id];
      const result = exclusive
        ? await this.#send(call, slot.value)
        : await this.#sendWithHedge(call, slot.value);
      if (result.kind === 'answered') return toAnsweredCall(result, admission, verdict);
      const decision = policy.decide({
        rule: call.rule,
        failure: result.failure,
        attempts,
        remainingMs: call.deadlineAt - performance.now(),
        canResend: call.body.kind !== 'stream',
      });
      if (
        decision.kind === 'stop' ||
        !budget.allowsExtraAttempt(groups) ||
        call.cancellation.aborted
      ) {
        if (result.answered) return toAnsweredCall(result.answered, admission, verdict);
        admission?.finish(result.crashed, false);
        return toRefusedCall(result.refusal, verdict);
      }
      verdict = combineVerdicts(verdict, result.failure.verdict);
      admission?.finish(result.crashed, result.answered !== undefined);
      if (result.answered) await discardResponse(result.answered);
      budget.recordExtraAttempt(groups);
      metrics.recordEvent('retry', call.service.name);
      await sleep(decision.afterMs, undefined, { signal: call.cancellation.signal }).catch(
        () => undefined,
      );
    }
  }

  async #admit(call: Call): Promise<SuspectAdmission | undefined> {
    return this.#options.suspects?.admit(
      call.fingerprint,
      call.deadlineAt,
      call.cancellation.signal,
    );
  }

  #acquire(
    call: Call,
    options: {
      tried: readonly EndpointId[];
      exclusive?: boolean;
      avoidDomains?: readonly FailureDomain[];
      cancellation?: Cancellation;
    },
  ) {
    const { cancellation = call.cancellation, ...rest } = options;
    const { service, rule, tenant, deadlineAt } = call;
    return this.#options.balancer.acquire({
      service,
      rule,
      tenant,
      deadlineAt,
      ...rest,
      // A getter, so that the signal is created only if the call has to wait.
      get signal() {
        return cancellation.signal;
      },
    });
  }

  /** Sends the call, and a hedged request to another endpoint if the first response is slow. */
  async #sendWithHedge(call: Call, slot: Slot): Promise<AttemptResult> {
    const { budget, hedger, metrics } = this.#options;
    if (!call.rule.hedge || call.rule.repeat !== 'idempotent' || call.body.kind === 'stream') {
      return this.#send(call, slot);
    }
    const name = `${call.service.name}/${call.rule.name}`;
    hedger.recordCall(name);
    const delayMs = hedger.findDelayMs(name);
    const startedAt = performance.now();
    const cancelFirst = call.cancellation.makeChild();
    const first = this.#send(call, slot, cancelFirst).then((result) => {
      if (result.kind === 'answered') hedger.recordLatency(name, performance.now() - startedAt);
      return result;
    });
    if (delayMs === undefined || !(await isSlowerThan(first, delayMs))) return first;
    const groups = toBudgetGroups(call);
    if (!hedger.allowsHedge(name) || !budget.allowsExtraAttempt(groups)) return first;
    const cancelSecond = call.cancellation.makeChild();
    const second = this.#acquire(call, {
      tried: [slot.endpoint.id],
      avoidDomains: [slot.endpoint.failureDomain],
      cancellation: cancelSecond,
    }).then((hedgeSlot) => {
      if (hedgeSlot.isErr()) return first;
      // A hedged request to the same endpoint, or after the first attempt ended, gains nothing.
      if (cancelSecond.aborted || hedgeSlot.value.endpoint.id === slot.endpoint.id) {
        hedgeSlot.value.release({ result: 'cancelled' });
        return first;
      }
      hedger.recordHedge(name);
      budget.recordExtraAttempt(groups);
      metrics.recordEvent('hedge', call.service.name);
      return this.#send(call, hedgeSlot.value, cancelSecond);
    });
    return pickFirstResponse(
      { result: first, cancellation: cancelFirst },
      { result: second, cancellation: cancelSecond },
    );
  }

  async #send(call: Call, slot: Slot, cancellation = call.cancellation): Promise<AttemptResult> {
    const { inFlight } = this.#options;
    const { address } = slot.endpoint;
    const remainingMs = Math.max(1, call.deadlineAt - performance.now());
    const isOnce = call.rule.repeat === 'once';
    inFlight.add(address, call.fingerprint);
    const sent = await slot.pool.send({
      method: call.method,
      path: call.target.pathAndQuery,
      headers: [
        ...copyEndToEndHeaders(call.request.rawHeaders, droppedHeaders),
        'x-request-id',
        call.id,
        timeoutHeader,
        String(Math.ceil(remainingMs)),
      ],
      body: call.body,
      timeoutMs: remainingMs,
      // A `once` call runs to its end even if the caller disconnects, so its result can be kept.
      cancellation: isOnce ? undefined : cancellation,
      requiresFreshConnection: isOnce,
      onInformation: (status) => sendInformation(call, status),
    });
    // A request that was never sent cannot have crashed the endpoint, which was down before.
    const wasSent = sent.isOk() || sent.error.verdict !== 'not-run';
    const end = async (outcome: SlotOutcome): Promise<boolean> => {
      const isLost = wasSent && outcome.result === 'failed' && !call.cancellation.aborted;
      const crashed = isLost && (await inFlight.checkCrash(address, slot.pool));
      inFlight.remove(address, call.fingerprint);
      slot.release(outcome);
      return crashed;
    };
    if (sent.isErr()) {
      const { kind, verdict } = sent.error;
      const result = kind === 'cancelled' || kind === 'bad-body' ? 'cancelled' : 'failed';
      const crashed = await end({ result });
      const failure: FailedAttempt = { kind: toRetryFailure(kind), verdict };
      return { kind: 'failed', failure, refusal: toRefusal(sent.error), crashed };
    }
    return classifyResponse(call, sent.value, end);
  }
}

function classifyResponse(
  call: Call,
  response: IncomingMessage,
  end: AnsweredCall['end'],
): AttemptResult {
  const status = response.statusCode ?? 0;
  const answered: AnsweredCall = { kind: 'answered', response, mayHaveRun: false, end };
  if (status === 503 && response.headers[outcomeHeader] === 'not-run') {
    const retryAfter = Number(response.headers['retry-after'] ?? 1);
    const message = 'the endpoint rejected the call because it is overloaded';
    const retryAfterSeconds = Number.isInteger(retryAfter) && retryAfter >= 0 ? retryAfter : 1;
    const refusal: Refusal = { status: 503, verdict: 'not-run', message, retryAfterSeconds };
    const failure: FailedAttempt = { kind: 'shed', verdict: 'not-run' };
    void discardResponse(answered);
    return { kind: 'failed', failure, refusal, crashed: false };
  }
  if (!call.rule.retryStatuses.includes(status)) return answered;
  const failure: FailedAttempt = { kind: 'status', status, verdict: 'ran' };
  const message = `the endpoint responded with status ${status}`;
  const refusal: Refusal = { status: 502, verdict: 'ran', message };
  return { kind: 'failed', failure, refusal, crashed: false, answered };
}

/** Discards a response. A small body is read to its end, so that the connection can be reused. */
async function discardResponse({ response, end }: AnsweredCall): Promise<void> {
  const isSmall = Number(response.headers['content-length'] ?? Infinity) <= 64 * 1024;
  response.on('error', () => undefined);
  if (isSmall) response.resume();
  else response.destroy();
  await end(readOutcome(response));
}

/**
 * Reads the state of an endpoint from the status and headers of its response.
 *
 * @param response - The response.
 * @returns The outcome for the balancer.
 */
export function readOutcome(response: IncomingMessage): SlotOutcome {
  const { headers, statusCode } = response;
  const report = headers['endpoint-load-metrics'];
  const isShed = headers[outcomeHeader] === 'not-run';
  return {
    result: isShed ? 'shed' : 'answered',
    status: statusCode,
    report: typeof report === 'string' ? report : undefined,
    leaving: statusCode === 503 && headers.connection?.toLowerCase() === 'close',
  };
}

interface HedgedAttempt {
  readonly result: Promise<AttemptResult>;
  readonly cancellation: Cancellation;
}

/** Returns the first response and cancels the other attempt; if one fails, awaits the other. */
async function pickFirstResponse(
  first: HedgedAttempt,
  second: HedgedAttempt,
): Promise<AttemptResult> {
  const winner = await Promise.race(
    [first, second].map(async (attempt) => ({ attempt, result: await attempt.result })),
  );
  const other = winner.attempt === first ? second : first;
  if (winner.result.kind === 'failed') {
    const remaining = await other.result;
    if (remaining.kind === 'answered' || remaining === winner.result) return remaining;
    const verdict = combineVerdicts(winner.result.failure.verdict, remaining.failure.verdict);
    if (winner.result.answered) await discardResponse(winner.result.answered);
    const crashed = winner.result.crashed || remaining.crashed;
    return { ...remaining, failure: { ...remaining.failure, verdict }, crashed };
  }
  other.cancellation.cancel();
  void other.result.then((result) => {
    if (result === winner.result) return;
    const late = result.kind === 'answered' ? result : result.answered;
    if (!late) return;
    late.response.destroy();
    void late.end({ result: 'cancelled' });
  });
  return winner.result;
}

async function isSlowerThan(result: Promise<unknown>, ms: number): Promise<boolean> {
  const timer = new AbortController();
  const elapsed = sleep(ms, true, { signal: timer.signal }).catch(() => true);
  const isSlow = await Promise.race([result.then(() => false), elapsed]);
  timer.abort();
  return isSlow;
}

function toAnsweredCall(
  { response, end }: AnsweredCall,
  admission: SuspectAdmission | undefined,
  earlierVerdict: Verdict,
): AnsweredCall {
  return {
    kind: 'answered',
    response,
    mayHaveRun: earlierVerdict !== 'not-run',
    async end(outcome) {
      const crashed = await end(outcome);
      if (admission?.kind === 'run') admission.finish(crashed, outcome.result === 'answered');
      return crashed;
    },
  };
}

function toRefusedCall(refusal: Refusal, earlierVerdict: Verdict): RefusedCall {
  return {
    kind: 'refused',
    refusal: { ...refusal, verdict: combineVerdicts(refusal.verdict, earlierVerdict) },
  };
}

/** A call is `not-run` only if every attempt was `not-run`. */
function combineVerdicts(a: Verdict, b: Verdict): Verdict {
  if (a === 'not-run') return b;
  return b === 'not-run' ? a : 'may-have-run';
}

/** The retry budget limits retries per service and per tenant of the service. */
function toBudgetGroups({ service, tenant }: Call): string[] {
  return [service.name, `${service.name}/${tenant}`];
}

function toRetryFailure(kind: AttemptFailure['kind']): FailedAttempt['kind'] {
  if (kind === 'connect' || kind === 'reset' || kind === 'timeout') return kind;
  // The connection is dropped without a response, which for a rule is the same as a reset.
  return kind === 'bad-answer' ? 'reset' : 'other';
}

function toRefusal({ kind, verdict, message, status }: AttemptFailure): Refusal {
  if (kind === 'timeout') return { status: 504, verdict, message };
  if (kind === 'bad-body') return { status: status ?? 400, verdict, message };
  if (verdict === 'not-run') return { status: 503, verdict, message, retryAfterSeconds: 1 };
  return { status: 502, verdict, message };
}

/** Forwards `102 Processing`, which HTTP/1.0 callers do not understand. */
function sendInformation({ response, request }: Call, status: number): void {
  if (status !== 102 || request.httpVersion !== '1.1') return;
  if (!response.headersSent && !response.destroyed) response.writeProcessing();
}
