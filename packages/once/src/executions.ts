import type { Clock, Incarnation, InstanceId } from '@dotterelpass/values';
import type { AttemptStatus, Holder, Outcome } from './claim.js';

type Phase =
  | { readonly kind: 'asked' }
  | { readonly kind: 'running' }
  | { readonly kind: 'ended'; readonly at: number; readonly outcome: Outcome };

/** The attempts of this run of the process, as the executor of calls. */
export class AttemptTable {
  readonly #self: Pick<Holder, 'instance' | 'incarnation'>;

  readonly #clock: Clock;

  readonly #keepMs: number;

  readonly #maxBytes: number;

  readonly #phases = new Map<number, Phase>();

  #next = 1;

  #bytes = 0;

  /**
   * @param instance - This instance.
   * @param incarnation - This run of it.
   * @param keepMs - Time that the end of an attempt is remembered.
   * @param maxBytes - Most bytes of answers that are remembered.
   */
  constructor(
    instance: InstanceId,
    incarnation: Incarnation,
    clock: Clock,
    keepMs = 600_000,
    maxBytes = 64 * 2 ** 20,
  ) {
    this.#self = { instance, incarnation };
    this.#clock = clock;
    this.#keepMs = keepMs;
    this.#maxBytes = maxBytes;
  }

  /** Opens a new attempt, to be named in one claim. */
  open(): Holder {
    const attempt = this.#next;
    this.#next += 1;
    this.#phases.set(attempt, { kind: 'asked' });
    return { ...this.#self, attempt };
  }

  /**
   * Begins the run of a granted attempt.
   *
   * @returns False when the attempt was given up; it must not run then.
   */
  start({ attempt }: Holder): boolean {
    if (this.#phases.get(attempt)?.kind !== 'asked') return false;
    this.#phases.set(attempt, { kind: 'running' });
    return true;
  }

  /** Gives up an attempt without a grant: it never runs. */
  abandon({ attempt }: Holder): void {
    if (this.#phases.get(attempt)?.kind === 'asked') this.#put(attempt, { verdict: 'not-run' });
  }

  /** Records the end of a run. */
  recordOutcome({ attempt }: Holder, outcome: Outcome): void {
    if (this.#phases.get(attempt)?.kind === 'running') this.#put(attempt, outcome);
  }

  /** Answers an inquiry. An attempt without a grant is given up by it. */
  answerInquiry(holder: Holder): AttemptStatus {
    const { instance, incarnation } = this.#self;
    if (holder.instance !== instance || holder.incarnation !== incarnation) return { kind: 'gone' };
    this.abandon(holder);
    const phase = this.#phases.get(holder.attempt);
    if (phase?.kind === 'ended') return { kind: 'ended', outcome: phase.outcome };
    // A forgotten attempt may have run.
    return { kind: phase ? 'running' : 'gone' };
  }

  #put(attempt: number, outcome: Outcome): void {
    this.#phases.set(attempt, { kind: 'ended', at: this.#clock.now(), outcome });
    this.#bytes += countBytes(outcome);
    this.#forget();
  }

  #forget(): void {
    const before = this.#clock.now() - this.#keepMs;
    for (const [attempt, phase] of this.#phases) {
      if (phase.kind !== 'ended') continue;
      if (phase.at > before && this.#bytes <= this.#maxBytes) return;
      this.#bytes -= countBytes(phase.outcome);
      this.#phases.delete(attempt);
    }
  }
}

function countBytes(outcome: Outcome): number {
  return outcome.verdict === 'ran' ? (outcome.answer?.body.length ?? 0) : 0;
}
