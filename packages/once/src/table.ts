import type { Clock } from '@dotterelpass/values';
import { match } from 'ts-pattern';
import { isSameHolder, isSameRun } from './claim.js';
import type { Claim, Holder, KeptAnswer, Outcome } from './claim.js';

/** State of a key: `claimed` is being recorded, `running` was granted. */
export type ClaimState = 'claimed' | 'running' | 'settled' | 'released' | 'unknown';

/** What is known of one key. */
export interface Entry {
  readonly digest: string;
  readonly holder: Holder;
  readonly state: ClaimState;
  readonly answer?: KeptAnswer;
  /** Monotonic time of the last change, in milliseconds. */
  readonly changedAt: number;
  /** Monotonic time after which the entry is not needed, in milliseconds. */
  readonly expiresAt: number;
}

/** What the table says about a claim. */
export type Decision =
  /** The key is now claimed for the asker; the claim is to be recorded and then granted. */
  | { readonly kind: 'fresh' }
  | { readonly kind: 'wait'; readonly entry: Entry }
  | { readonly kind: 'settled'; readonly answer?: KeptAnswer }
  | { readonly kind: 'mismatch' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'full' };

export interface TableLimits {
  /** Most keys; further fresh keys are refused. */
  readonly maxEntries: number;
  /** Most bytes of kept answers; the oldest are dropped first. */
  readonly maxAnswerBytes: number;
  /** Largest answer that is kept, in bytes. */
  readonly maxAnswerSize: number;
  /** Time that answers are kept, in milliseconds. */
  readonly answerMs: number;
}

export const defaultLimits: TableLimits = {
  maxEntries: 500_000,
  maxAnswerBytes: 64 * 2 ** 20,
  maxAnswerSize: 64 * 1024,
  answerMs: 600_000,
};

/** The keys that one authority decides about, and the answers of their runs. */
export class ClaimTable {
  readonly #clock: Clock;

  readonly #limits: TableLimits;

  readonly #entries = new Map<string, Entry>();

  /** Keys with a kept answer, the oldest first. */
  readonly #kept = new Map<string, KeptAnswer>();

  readonly #waiters = new Map<string, Set<() => void>>();

  #keptBytes = 0;

  constructor(clock: Clock, limits: Partial<TableLimits> = {}) {
    this.#clock = clock;
    this.#limits = { ...defaultLimits, ...limits };
  }

  get size(): number {
    return this.#entries.size;
  }

  /** @returns What is known of a key. */
  find(key: string): Entry | undefined {
    return this.#entries.get(key);
  }

  /**
   * Decides about a claim, and claims the key when it is free.
   *
   * @param claim - The claim.
   * @param expiresAt - Monotonic time until which the key must be known, in milliseconds.
   */
  claim(claim: Claim, expiresAt: number): Decision {
    const { key, digest, holder, givenUp } = claim;
    const known = this.#entries.get(key);
    if (!known) {
      if (this.#entries.size >= this.#limits.maxEntries) return { kind: 'full' };
      this.#put(key, { digest, holder, state: 'claimed', expiresAt });
      return { kind: 'fresh' };
    }
    if (known.digest !== digest) return { kind: 'mismatch' };
    const givenUpByHolder =
      isSameRun(known.holder, holder) && givenUp.includes(known.holder.attempt);
    return match(known.state)
      .returnType<Decision>()
      .with('settled', () => ({
        kind: 'settled',
        ...(known.answer ? { answer: known.answer } : {}),
      }))
      .with('unknown', () => ({ kind: 'unknown' }))
      .with('claimed', () => ({ kind: 'wait', entry: known }))
      .with('running', () => {
        if (!givenUpByHolder) return { kind: 'wait', entry: known };
        return this.#claimAgain(claim, expiresAt);
      })
      .with('released', () => this.#claimAgain(claim, expiresAt))
      .exhaustive();
  }

  /** Takes over a key that a record says was granted; later records replace earlier ones. */
  restore(key: string, digest: string, holder: Holder, expiresAt: number): void {
    // The executor is asked at once, since this process did not see the grant.
    const changedAt = Number.NEGATIVE_INFINITY;
    this.#entries.set(key, { digest, holder, state: 'running', expiresAt, changedAt });
  }

  /**
   * Turns a claim into a grant.
   *
   * @returns False when the holder no longer has the claim.
   */
  grant(key: string, holder: Holder): boolean {
    const known = this.#findHeld(key, holder);
    if (known?.state !== 'claimed') return false;
    this.#put(key, { ...known, state: 'running' });
    return true;
  }

  /** Records how an attempt ended. The word of any but the present holder changes nothing. */
  recordOutcome(key: string, holder: Holder, outcome: Outcome): void {
    const known = this.#findHeld(key, holder);
    // An attempt that is held as gone may still report its end.
    if (!known || known.state === 'settled' || known.state === 'released') return;
    const { answer, ...rest } = known;
    match(outcome)
      .with({ verdict: 'not-run' }, () => this.#put(key, { ...rest, state: 'released' }))
      .with({ verdict: 'may-have-run' }, () => this.#put(key, { ...rest, state: 'unknown' }))
      .with({ verdict: 'ran' }, (ran) => {
        const small = ran.answer && ran.answer.body.length <= this.#limits.maxAnswerSize;
        this.#put(key, { ...rest, state: 'settled', ...(small ? { answer: ran.answer } : {}) });
        if (small) this.#keep(key, ran.answer);
      })
      .exhaustive();
  }

  /**
   * Waits until a key changes.
   *
   * @param signal - Ends the wait.
   */
  async waitForChange(key: string, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    await new Promise<void>((resolve) => {
      const waiters = this.#waiters.get(key) ?? new Set();
      this.#waiters.set(key, waiters);
      const finish = () => {
        waiters.delete(finish);
        if (waiters.size === 0 && this.#waiters.get(key) === waiters) this.#waiters.delete(key);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      waiters.add(finish);
      signal.addEventListener('abort', finish);
    });
  }

  /** Ends all waits. */
  end(): void {
    [...this.#waiters.values()].forEach((waiters) => [...waiters].forEach((finish) => finish()));
  }

  /** Drops answers and keys whose time has passed. */
  expire(): void {
    const now = this.#clock.now();
    for (const key of this.#kept.keys()) {
      const entry = this.#entries.get(key);
      if (entry && now - entry.changedAt < this.#limits.answerMs) break;
      this.#dropAnswer(key);
    }
    for (const [key, entry] of this.#entries) {
      if (entry.expiresAt > now || entry.state === 'claimed') continue;
      this.#dropAnswer(key);
      this.#entries.delete(key);
    }
  }

  #claimAgain({ key, digest, holder }: Claim, expiresAt: number): Decision {
    this.#put(key, { digest, holder, state: 'claimed', expiresAt });
    return { kind: 'fresh' };
  }

  #findHeld(key: string, holder: Holder): Entry | undefined {
    const known = this.#entries.get(key);
    return known && isSameHolder(known.holder, holder) ? known : undefined;
  }

  #put(key: string, entry: Omit<Entry, 'changedAt'>): void {
    this.#entries.set(key, { ...entry, changedAt: this.#clock.now() });
    [...(this.#waiters.get(key) ?? [])].forEach((finish) => finish());
  }

  #keep(key: string, answer: KeptAnswer): void {
    this.#kept.set(key, answer);
    this.#keptBytes += answer.body.length;
    for (const oldest of this.#kept.keys()) {
      if (this.#keptBytes <= this.#limits.maxAnswerBytes) return;
      this.#dropAnswer(oldest);
    }
  }

  #dropAnswer(key: string): void {
    const kept = this.#kept.get(key);
    if (!kept) return;
    this.#kept.delete(key);
    this.#keptBytes -= kept.body.length;
    const entry = this.#entries.get(key);
    if (!entry) return;
    const { answer, ...rest } = entry;
    this.#entries.set(key, rest);
  }
}
