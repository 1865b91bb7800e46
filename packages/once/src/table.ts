import type { Clock } from '@dotterelpass/values';
import { match } from 'ts-pattern';
import { isSameHolder, isSameProcess } from './claim.js';
import type { CachedResponse, Claim, Holder, Outcome } from './claim.js';

/**
 * State of a key. The grant of a `claimed` key is still being written to the journal; that of a
 * `running` key is stored. A `released` key was not executed and can be claimed again.
 */
export type ClaimState = 'claimed' | 'running' | 'settled' | 'released' | 'unknown';

/** The state of one key and the attempt that holds it. */
export interface ClaimEntry {
  readonly digest: string;
  readonly holder: Holder;
  readonly state: ClaimState;
  readonly answer?: CachedResponse;
  /** Monotonic time of the last change, in milliseconds. */
  readonly changedAt: number;
  /** Monotonic time after which the entry can be removed, in milliseconds. */
  readonly expiresAt: number;
}

/** The decision of the table about a claim. */
export type ClaimDecision =
  /** The claim now holds the key; the caller grants it once its record is stored. */
  | { readonly kind: 'fresh' }
  | { readonly kind: 'wait'; readonly entry: ClaimEntry }
  | { readonly kind: 'settled'; readonly answer?: CachedResponse }
  | { readonly kind: 'mismatch' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'full' };

export interface TableLimits {
  /** Maximum number of keys; claims of new keys beyond it are refused. */
  readonly maxEntries: number;
  /** Maximum total size of the cached responses; the oldest are dropped first. */
  readonly maxCachedBytes: number;
  /** Maximum size of one cached response; larger ones are not cached. */
  readonly maxResponseBytes: number;
  /** How long a response is cached, in milliseconds. */
  readonly responseTtlMs: number;
}

export const defaultLimits: TableLimits = {
  maxEntries: 500_000,
  maxCachedBytes: 64 * 2 ** 20,
  maxResponseBytes: 64 * 1024,
  responseTtlMs: 600_000,
};

/** The claimed keys of one shard and the cached responses to their requests. */
export class ClaimTable {
  readonly #clock: Clock;

  readonly #limits: TableLimits;

  readonly #entries = new Map<string, ClaimEntry>();

  /** Cached responses by key, the oldest first. */
  readonly #cached = new Map<string, CachedResponse>();

  readonly #waiters = new Map<string, Set<() => void>>();

  #cachedBytes = 0;

  constructor(clock: Clock, limits: Partial<TableLimits> = {}) {
    this.#clock = clock;
    this.#limits = { ...defaultLimits, ...limits };
  }

  get size(): number {
    return this.#entries.size;
  }

  /** @returns The entry of a key, if there is one. */
  find(key: string): ClaimEntry | undefined {
    return this.#entries.get(key);
  }

  /**
   * Decides about a claim, and claims the key when no other attempt holds it.
   *
   * @param claim - The claim.
   * @param expiresAt - Monotonic time until which the key must be kept, in milliseconds.
   */
  claim(claim: Claim, expiresAt: number): ClaimDecision {
    const { key, digest, holder, givenUp } = claim;
    const entry = this.#entries.get(key);
    if (!entry) {
      if (this.#entries.size >= this.#limits.maxEntries) return { kind: 'full' };
      this.#put(key, { digest, holder, state: 'claimed', expiresAt });
      return { kind: 'fresh' };
    }
    if (entry.digest !== digest) return { kind: 'mismatch' };
    const isGivenUp = isSameProcess(entry.holder, holder) && givenUp.includes(entry.holder.attempt);
    return match(entry.state)
      .returnType<ClaimDecision>()
      .with('settled', () => ({
        kind: 'settled',
        ...(entry.answer ? { answer: entry.answer } : {}),
      }))
      .with('unknown', () => ({ kind: 'unknown' }))
      .with('claimed', () => ({ kind: 'wait', entry }))
      .with('running', () => {
        if (!isGivenUp) return { kind: 'wait', entry };
        return this.#reclaim(claim, expiresAt);
      })
      .with('released', () => this.#reclaim(claim, expiresAt))
      .exhaustive();
  }

  /** Adds a key whose grant is recorded in the journal. Later records replace earlier ones. */
  restore(key: string, digest: string, holder: Holder, expiresAt: number): void {
    // This process did not see the grant, so the executor is to be asked without a delay.
    const changedAt = Number.NEGATIVE_INFINITY;
    this.#entries.set(key, { digest, holder, state: 'running', expiresAt, changedAt });
  }

  /**
   * Marks a claimed key as granted.
   *
   * @returns False when the holder no longer holds the claim.
   */
  grant(key: string, holder: Holder): boolean {
    const entry = this.#findHeldEntry(key, holder);
    if (entry?.state !== 'claimed') return false;
    this.#put(key, { ...entry, state: 'running' });
    return true;
  }

  /** Records how an attempt ended. A report about any attempt but the current holder is ignored. */
  recordOutcome(key: string, holder: Holder, outcome: Outcome): void {
    const entry = this.#findHeldEntry(key, holder);
    // An `unknown` key can still change: an executor that seemed gone may report the outcome.
    if (!entry || entry.state === 'settled' || entry.state === 'released') return;
    const { answer, ...rest } = entry;
    match(outcome)
      .with({ verdict: 'not-run' }, () => this.#put(key, { ...rest, state: 'released' }))
      .with({ verdict: 'may-have-run' }, () => this.#put(key, { ...rest, state: 'unknown' }))
      .with({ verdict: 'ran' }, (ran) => {
        const isSmall = ran.answer && ran.answer.body.length <= this.#limits.maxResponseBytes;
        this.#put(key, { ...rest, state: 'settled', ...(isSmall ? { answer: ran.answer } : {}) });
        if (isSmall) this.#cache(key, ran.answer);
      })
      .exhaustive();
  }

  /**
   * Waits until the state of a key changes.
   *
   * @param signal - Ends the wait.
   */
  async waitForChange(key: string, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    await new Promise<void>((resolve) => {
      const waiters = this.#waiters.get(key) ?? new Set();
      this.#waiters.set(key, waiters);
      const endWait = () => {
        waiters.delete(endWait);
        if (waiters.size === 0 && this.#waiters.get(key) === waiters) this.#waiters.delete(key);
        signal.removeEventListener('abort', endWait);
        resolve();
      };
      waiters.add(endWait);
      signal.addEventListener('abort', endWait);
    });
  }

  /** Ends all waits for changes. */
  wakeAll(): void {
    [...this.#waiters.values()].forEach((waiters) => [...waiters].forEach((endWait) => endWait()));
  }

  /** Removes expired cached responses and expired keys. */
  removeExpired(): void {
    const now = this.#clock.now();
    for (const key of this.#cached.keys()) {
      const entry = this.#entries.get(key);
      if (entry && now - entry.changedAt < this.#limits.responseTtlMs) break;
      this.#dropResponse(key);
    }
    for (const [key, entry] of this.#entries) {
      if (entry.expiresAt > now || entry.state === 'claimed') continue;
      this.#dropResponse(key);
      this.#entries.delete(key);
    }
  }

  #reclaim({ key, digest, holder }: Claim, expiresAt: number): ClaimDecision {
    this.#put(key, { digest, holder, state: 'claimed', expiresAt });
    return { kind: 'fresh' };
  }

  #findHeldEntry(key: string, holder: Holder): ClaimEntry | undefined {
    const entry = this.#entries.get(key);
    return entry && isSameHolder(entry.holder, holder) ? entry : undefined;
  }

  #put(key: string, entry: Omit<ClaimEntry, 'changedAt'>): void {
    this.#entries.set(key, { ...entry, changedAt: this.#clock.now() });
    [...(this.#waiters.get(key) ?? [])].forEach((endWait) => endWait());
  }

  #cache(key: string, response: CachedResponse): void {
    this.#cached.set(key, response);
    this.#cachedBytes += response.body.length;
    for (const oldest of this.#cached.keys()) {
      if (this.#cachedBytes <= this.#limits.maxCachedBytes) return;
      this.#dropResponse(oldest);
    }
  }

  #dropResponse(key: string): void {
    const response = this.#cached.get(key);
    if (!response) return;
    this.#cached.delete(key);
    this.#cachedBytes -= response.body.length;
    const entry = this.#entries.get(key);
    if (!entry) return;
    const { answer, ...rest } = entry;
    this.#entries.set(key, rest);
  }
}
