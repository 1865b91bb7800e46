import type { Clock, Incarnation, InstanceId } from '@dotterelpass/values';
import type { AttemptStatus, Holder, Outcome } from './claim.js';

type AttemptState =
  | { readonly kind: 'claiming' }
  | { readonly kind: 'running' }
  | { readonly kind: 'ended'; readonly at: number; readonly outcome: Outcome };

/** The attempts that this process has made as the executor of requests. */
export class AttemptTable {
  readonly #self: Pick<Holder, 'instance' | 'incarnation'>;

  readonly #clock: Clock;

  readonly #retentionMs: number;

  readonly #maxBytes: number;

  readonly #states = new Map<number, AttemptState>();

  #nextAttempt = 1;

  #bytes = 0;

  /**
   * @param instance - This instance.
   * @param incarnation - Incarnation of this process.
   * @param retentionMs - How long the outcome of an ended attempt is kept.
   * @param maxBytes - Maximum total size of the responses in the kept outcomes.
   */
  constructor(
    instance: InstanceId,
    incarnation: Incarnation,
    clock: Clock,
    retentionMs = 600_000,
    maxBytes = 64 * 2 ** 20,
  ) {
    this.#self = { instance, incarnation };
    this.#clock = clock;
    this.#retentionMs = retentionMs;
    this.#maxBytes = maxBytes;
  }

  /** Opens a new attempt, to be sent in exactly one claim. */
  open(): Holder {
    const attempt = this.#nextAttempt;
    this.#nextAttempt += 1;
    this.#states.set(attempt, { kind: 'claiming' });
    return { ...this.#self, attempt };
  }

  /**
   * Marks a granted attempt as running.
   *
   * @returns False when the attempt was abandoned before; it must not be executed then.
   */
  start({ attempt }: Holder): boolean {
    if (this.#states.get(attempt)?.kind !== 'claiming') return false;
    this.#states.set(attempt, { kind: 'running' });
    return true;
  }

  /** Abandons an attempt that has not started; it is never executed afterwards. */
  abandon({ attempt }: Holder): void {
    if (this.#states.get(attempt)?.kind === 'claiming') this.#end(attempt, { verdict: 'not-run' });
  }

  /** Records the outcome of a running attempt. */
  recordOutcome({ attempt }: Holder, outcome: Outcome): void {
    if (this.#states.get(attempt)?.kind === 'running') this.#end(attempt, outcome);
  }

  /** Answers an inquiry. An attempt that has not started is abandoned by it. */
  answerInquiry(holder: Holder): AttemptStatus {
    const { instance, incarnation } = this.#self;
    if (holder.instance !== instance || holder.incarnation !== incarnation) return { kind: 'gone' };
    this.abandon(holder);
    const state = this.#states.get(holder.attempt);
    if (state?.kind === 'ended') return { kind: 'ended', outcome: state.outcome };
    // An attempt that is no longer in the table may have been executed.
    return { kind: state ? 'running' : 'gone' };
  }

  #end(attempt: number, outcome: Outcome): void {
    this.#states.set(attempt, { kind: 'ended', at: this.#clock.now(), outcome });
    this.#bytes += countBytes(outcome);
    this.#removeExpired();
  }

  #removeExpired(): void {
    const oldestAt = this.#clock.now() - this.#retentionMs;
    for (const [attempt, state] of this.#states) {
      if (state.kind !== 'ended') continue;
      if (state.at > oldestAt && this.#bytes <= this.#maxBytes) return;
      this.#bytes -= countBytes(state.outcome);
      this.#states.delete(attempt);
    }
  }
}

function countBytes(outcome: Outcome): number {
  return outcome.verdict === 'ran' ? (outcome.answer?.body.length ?? 0) : 0;
}
