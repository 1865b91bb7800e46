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
import type { Flights } from './flights.js';
import type { SuspectGate, SuspectAdmission } from './gates.js';

/** An answer whose body is still to be read. `end` is called once, after that, and tells
 * whether the endpoint has crashed. */
export interface Answered {
  readonly kind: 'answered';
  readonly answer: IncomingMessage;
  /** Whether an attempt before this one may have run. */
  readonly mayHaveRun: boolean;
  end(outcome: SlotOutcome): Promise<boolean>;
}

export interface Refused {
  readonly kind: 'refused';
  readonly refusal: Refusal;
}

/** What the attempts of a call need. */
export interface AttemptsOptions {
  readonly balancer: Pick<Balancer, 'acquire'>;
  readonly policy: RetryPolicy;
  readonly budget: RetryBudget;
  readonly hedger: Hedger;
  readonly flights: Flights;
  readonly suspects: SuspectGate | undefined;
  readonly metrics: Metrics;
}

interface Failed {
  readonly kind: 'failed';
  readonly failure: FailedAttempt;
  readonly refusal: Refusal;
  readonly crashed: boolean;
  /** The endpoint's own answer, which the caller gets when there is no further attempt. */
  readonly answered?: Answered;
}

type AttemptEnd = Answered | Failed;

const forwardedWithout: ReadonlySet<string> = new Set([
  'content-length',
  'x-request-id',
  timeoutHeader,
]);

/** Makes the attempts of calls: slots, retries and hedges. */
export class Attempts {
  readonly #options: AttemptsOptions;

  constructor(options: AttemptsOptions) {
    this.#options = options;
  }

  /**
   * Has an endpoint answer a call.
   *
   * @param call - The call.
   * @returns The answer, or what the caller is told. The verdict covers all attempts.
   */
  async run(call: Call): Promise<Answered | Refused> {
    const { policy, budget, metrics } = this.#options;
    const groups = toGroups(call);
    budget.recordCall(groups);
    let tried: EndpointId[] = [];
    let verdict: Verdict = 'not-run';
    for (let attempts = 1; ; attempts++) {
      const leave = await this.#admit(call);
      if (leave?.kind === 'refuse') return toRefused(leave.refusal, verdict);
      const alone = leave?.exclusive === true;
      const slot = await this.#acquire(call, { tried, alone });
      if (slot.isErr()) {
        leave?.finish(false, false);
        return toRefused(slot.error, verdict);
      }
      tried = [...tried, slot.value.endpoint.id];
      const end = alone ? await this.#send(call, slot.value) : await this.#hedge(call, slot.value);
      if (end.kind === 'answered') return toAnswered(end, leave, verdict);
      const decision = policy.decide({
        rule: call.rule,
        failure: end.failure,
        attempts,
        remainingMs: call.deadlineAt - performance.now(),
        canResend: call.body.kind !== 'stream',
      });
      if (decision.kind === 'stop' || !budget.allowsExtraAttempt(groups) || call.gone.aborted) {
        if (end.answered) return toAnswered(end.answered, leave, verdict);
        leave?.finish(end.crashed, false);
        return toRefused(end.refusal, verdict);
      }
      verdict = findWorst(verdict, end.failure.verdict);
      leave?.finish(end.crashed, end.answered !== undefined);
      if (end.answered) await dropAnswer(end.answered);
      budget.recordExtraAttempt(groups);
      metrics.recordEvent('retry', call.service.name);
      await sleep(decision.afterMs, undefined, { signal: call.gone.signal }).catch(() => undefined);
    }
  }

  async #admit(call: Call): Promise<SuspectAdmission | undefined> {
    return this.#options.suspects?.admit(call.fingerprint, call.deadlineAt, call.gone.signal);
  }

  #acquire(
    call: Call,
    more: {
      tried: readonly EndpointId[];
      alone?: boolean;
      avoidDomains?: readonly FailureDomain[];
      gone?: Cancellation;
    },
  ) {
    const { gone = call.gone, ...rest } = more;
    const { service, rule, tenant, deadlineAt } = call;
    return this.#options.balancer.acquire({
      service,
      rule,
      tenant,
      deadlineAt,
      ...rest,
      // Made only when the call has to wait.
      get signal() {
        return gone.signal;
      },
    });
  }

  /** Sends the call, and once more elsewhere when its rule allows that and the first is slow. */
  async #hedge(call: Call, slot: Slot): Promise<AttemptEnd> {
    const { budget, hedger, metrics } = this.#options;
    if (!call.rule.hedge || call.rule.repeat !== 'idempotent' || call.body.kind === 'stream') {
      return this.#send(call, slot);
    }
    const name = `${call.service.name}/${call.rule.name}`;
    hedger.recordCall(name);
    const delayMs = hedger.findDelayMs(name);
    const startedAt = performance.now();
    const cancelFirst = call.gone.makeChild();
    const first = this.#send(call, slot, cancelFirst).then((end) => {
      if (end.kind === 'answered') hedger.recordLatency(name, performance.now() - startedAt);
      return end;
    });
    if (delayMs === undefined || !(await isSlowerThan(first, delayMs))) return first;
    const groups = toGroups(call);
    if (!hedger.allowsHedge(name) || !budget.allowsExtraAttempt(groups)) return first;
    const cancelSecond = call.gone.makeChild();
    const second = this.#acquire(call, {
      tried: [slot.endpoint.id],
      avoidDomains: [slot.endpoint.failureDomain],
      gone: cancelSecond,
    }).then((other) => {
      if (other.isErr()) return first;
      // A second attempt on the same endpoint, or after the first has ended, gains nothing.
      if (cancelSecond.aborted || other.value.endpoint.id === slot.endpoint.id) {
        other.value.release({ result: 'cancelled' });
        return first;
      }
      hedger.recordHedge(name);
      budget.recordExtraAttempt(groups);
      metrics.recordEvent('hedge', call.service.name);
      return this.#send(call, other.value, cancelSecond);
    });
    return pickAnswer({ end: first, cancel: cancelFirst }, { end: second, cancel: cancelSecond });
  }

  async #send(call: Call, slot: Slot, departure = call.gone): Promise<AttemptEnd> {
    const { flights } = this.#options;
    const { address } = slot.endpoint;
    const remainingMs = Math.max(1, call.deadlineAt - performance.now());
    const isOnce = call.rule.repeat === 'once';
    flights.add(address, call.fingerprint);
    const sent = await slot.pool.send({
      method: call.method,
      path: call.target.pathAndQuery,
      headers: [
        ...copyEndToEndHeaders(call.request.rawHeaders, forwardedWithout),
        'x-request-id',
        call.id,
        timeoutHeader,
        String(Math.ceil(remainingMs)),
      ],
      body: call.body,
      timeoutMs: remainingMs,
      // A `once` call that has been sent is left to finish, so that its result can be kept.
      cancellation: isOnce ? undefined : departure,
      requiresFreshConnection: isOnce,
      onInformation: (status) => sendInformation(call, status),
    });
    // A request that no connection took cannot have crashed its endpoint, which was gone before.
    const wasSent = sent.isOk() || sent.error.verdict !== 'not-run';
    const end = async (outcome: SlotOutcome): Promise<boolean> => {
      const isLost = wasSent && outcome.result === 'failed' && !call.gone.aborted;
      const crashed = isLost && (await flights.checkCrash(address, slot.pool));
      flights.remove(address, call.fingerprint);
      slot.release(outcome);
      return crashed;
    };
    if (sent.isErr()) {
      const { kind, verdict } = sent.error;
      const result = kind === 'cancelled' || kind === 'bad-body' ? 'cancelled' : 'failed';
      const crashed = await end({ result });
      const isNamed = kind === 'connect' || kind === 'reset' || kind === 'timeout';
      const failure: FailedAttempt = { kind: isNamed ? kind : 'other', verdict };
      return { kind: 'failed', failure, refusal: toRefusal(sent.error), crashed };
    }
    return readAnswer(call, sent.value, end);
  }
}

function readAnswer(call: Call, answer: IncomingMessage, end: Answered['end']): AttemptEnd {
  const status = answer.statusCode ?? 0;
  const answered: Answered = { kind: 'answered', answer, mayHaveRun: false, end };
  if (status === 503 && answer.headers[outcomeHeader] === 'not-run') {
    const retryAfter = Number(answer.headers['retry-after'] ?? 1);
    const message = 'the endpoint sheds load';
    const retryAfterSeconds = Number.isInteger(retryAfter) && retryAfter >= 0 ? retryAfter : 1;
    const refusal: Refusal = { status: 503, verdict: 'not-run', message, retryAfterSeconds };
    const failure: FailedAttempt = { kind: 'shed', verdict: 'not-run' };
    void dropAnswer(answered);
    return { kind: 'failed', failure, refusal, crashed: false };
  }
  if (!call.rule.retryStatuses.includes(status)) return answered;
  const failure: FailedAttempt = { kind: 'status', status, verdict: 'ran' };
  const message = `the endpoint answered ${status}`;
  const refusal: Refusal = { status: 502, verdict: 'ran', message };
  return { kind: 'failed', failure, refusal, crashed: false, answered };
}

/** Reads an answer that nobody gets, so that its connection can be used again. */
async function dropAnswer({ answer, end }: Answered): Promise<void> {
  const isSmall = Number(answer.headers['content-length'] ?? Infinity) <= 64 * 1024;
  answer.on('error', () => undefined);
  if (isSmall) answer.resume();
  else answer.destroy();
  await end(readOutcome(answer));
}

/**
 * Reads what an answer tells about its endpoint.
 *
 * @param answer - The answer.
 * @returns The outcome for the balancer.
 */
export function readOutcome(answer: IncomingMessage): SlotOutcome {
  const { headers, statusCode } = answer;
  const report = headers['endpoint-load-metrics'];
  const isShed = headers[outcomeHeader] === 'not-run';
  return {
    result: isShed ? 'shed' : 'answered',
    status: statusCode,
    report: typeof report === 'string' ? report : undefined,
    leaving: statusCode === 503 && headers.connection?.toLowerCase() === 'close',
  };
}

interface Contestant {
  readonly end: Promise<AttemptEnd>;
  readonly cancel: Cancellation;
}

/** Takes the first answer and cancels the other attempt; a failure waits for the other. */
async function pickAnswer(first: Contestant, second: Contestant): Promise<AttemptEnd> {
  const winner = await Promise.race(
    [first, second].map(async (contestant) => ({ contestant, end: await contestant.end })),
  );
  const other = winner.contestant === first ? second : first;
  if (winner.end.kind === 'failed') {
    const rest = await other.end;
    if (rest.kind === 'answered' || rest === winner.end) return rest;
    const verdict = findWorst(winner.end.failure.verdict, rest.failure.verdict);
    if (winner.end.answered) await dropAnswer(winner.end.answered);
    const crashed = winner.end.crashed || rest.crashed;
    return { ...rest, failure: { ...rest.failure, verdict }, crashed };
  }
  other.cancel.cancel();
  void other.end.then((end) => {
    if (end === winner.end) return;
    const late = end.kind === 'answered' ? end : end.answered;
    if (!late) return;
    late.answer.destroy();
    void late.end({ result: 'cancelled' });
  });
  return winner.end;
}

async function isSlowerThan(end: Promise<unknown>, ms: number): Promise<boolean> {
  const timer = new AbortController();
  const waited = sleep(ms, true, { signal: timer.signal }).catch(() => true);
  const isSlow = await Promise.race([end.then(() => false), waited]);
  timer.abort();
  return isSlow;
}

function toAnswered(
  { answer, end }: Answered,
  leave: SuspectAdmission | undefined,
  earlier: Verdict,
): Answered {
  return {
    kind: 'answered',
    answer,
    mayHaveRun: earlier !== 'not-run',
    async end(outcome) {
      const crashed = await end(outcome);
      if (leave?.kind === 'run') leave.finish(crashed, outcome.result === 'answered');
      return crashed;
    },
  };
}

function toRefused(refusal: Refusal, earlier: Verdict): Refused {
  return { kind: 'refused', refusal: { ...refusal, verdict: findWorst(refusal.verdict, earlier) } };
}

/** A call is `not-run` only when each of its attempts was. */
function findWorst(a: Verdict, b: Verdict): Verdict {
  if (a === 'not-run') return b;
  return b === 'not-run' ? a : 'may-have-run';
}

function toGroups({ service, tenant }: Call): string[] {
  return [service.name, `${service.name}/${tenant}`];
}

function toRefusal({ kind, verdict, message, status }: AttemptFailure): Refusal {
  if (kind === 'timeout') return { status: 504, verdict, message };
  if (kind === 'bad-body') return { status: status ?? 400, verdict, message };
  if (verdict === 'not-run') return { status: 503, verdict, message, retryAfterSeconds: 1 };
  return { status: 502, verdict, message };
}

function sendInformation({ response, request }: Call, status: number): void {
  if (status !== 102 || request.httpVersion !== '1.1') return;
  if (!response.headersSent && !response.destroyed) response.writeProcessing();
}
