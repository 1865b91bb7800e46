import type { Clock } from '@dotterelpass/values';

/** What is known of a request: nothing bad, it was there when an endpoint crashed, or banned. */
export type FingerprintStatus = 'clear' | 'suspect' | 'banned';

/** How a run of a suspect ended; without either, nothing is learned of it. */
export interface RunOutcome {
  readonly crashed: boolean;
  readonly answered: boolean;
}

/** A suspect or a ban, for operators. */
export interface SuspectRow {
  readonly fingerprint: string;
  readonly standing: 'suspect' | 'banned';
  /** Time until it is forgotten, in milliseconds. */
  readonly leftMs: number;
  /** Who may run it now. */
  readonly holder?: string;
}

export interface SuspectLimits {
  readonly maxSuspects: number;
  readonly maxBans: number;
  /** A ban ends after this time, in milliseconds. */
  readonly banMs: number;
  /** A suspect that is not sent again is forgotten after this time, in milliseconds. */
  readonly suspectMs: number;
}

interface Suspect {
  readonly expiresAt: number;
  readonly holder?: string;
  /** The permission of `holder` lapses at this time. */
  readonly heldUntil: number;
}

const defaultLimits: SuspectLimits = {
  maxSuspects: 1024,
  maxBans: 1024,
  banMs: 600_000,
  suspectMs: 600_000,
};

/**
 * Requests that may crash endpoints, by fingerprint. Only a crash while a suspect runs alone
 * bans it, so that a request which merely shared an endpoint with another is never banned.
 */
export class SuspectTable {
  readonly #clock: Clock;

  readonly #limits: SuspectLimits;

  /** Both maps hold the oldest first. */
  readonly #suspects = new Map<string, Suspect>();

  readonly #bans = new Map<string, number>();

  readonly #waiters = new Set<() => void>();

  /**
   * @param clock - Source of time.
   * @param limits - Bounds that differ from the usual.
   */
  constructor(clock: Clock, limits: Partial<SuspectLimits> = {}) {
    this.#clock = clock;
    this.#limits = { ...defaultLimits, ...limits };
  }

  /** @returns What is known of a fingerprint. */
  findStatus(fingerprint: string): FingerprintStatus {
    const now = this.#clock.now();
    if ((this.#bans.get(fingerprint) ?? now) > now) return 'banned';
    return (this.#suspects.get(fingerprint)?.expiresAt ?? now) > now ? 'suspect' : 'clear';
  }

  /** Makes a request a suspect, unless it is one or is banned. */
  add(fingerprint: string): void {
    if (this.findStatus(fingerprint) !== 'clear') return;
    const expiresAt = this.#clock.now() + this.#limits.suspectMs;
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, { expiresAt, heldUntil: 0 });
    dropOldest(this.#suspects, this.#limits.maxSuspects);
  }

  /** Clears a suspect; a ban stays. */
  clearSuspect(fingerprint: string): void {
    if (this.#suspects.delete(fingerprint)) this.#tell();
  }

  /**
   * Bans a request.
   *
   * @param ms - Time that the ban lasts; by default the full time.
   */
  ban(fingerprint: string, ms = this.#limits.banMs): void {
    this.#suspects.delete(fingerprint);
    this.#bans.delete(fingerprint);
    this.#bans.set(fingerprint, this.#clock.now() + Math.min(ms, this.#limits.banMs));
    dropOldest(this.#bans, this.#limits.maxBans);
    this.#tell();
  }

  /**
   * Ends a ban or a suspicion.
   *
   * @returns Whether there was one.
   */
  lift(fingerprint: string): boolean {
    const known = this.findStatus(fingerprint) !== 'clear';
    this.#bans.delete(fingerprint);
    this.clearSuspect(fingerprint);
    return known;
  }

  /**
   * Asks for permission to run a suspect alone.
   *
   * @param holder - Who asks, unique to one run of the request.
   * @param holdMs - The permission lapses after this time.
   * @returns `run` for the one holder, `wait` while another one has the permission, otherwise
   * the standing.
   */
  acquire(fingerprint: string, holder: string, holdMs: number): 'run' | 'wait' | FingerprintStatus {
    const standing = this.findStatus(fingerprint);
    const known = this.#suspects.get(fingerprint);
    if (standing !== 'suspect' || !known) return standing;
    const now = this.#clock.now();
    if (known.holder !== undefined && known.holder !== holder && known.heldUntil > now) {
      return 'wait';
    }
    const expiresAt = now + Math.max(this.#limits.suspectMs, holdMs);
    this.#suspects.set(fingerprint, { expiresAt, holder, heldUntil: now + holdMs });
    return 'run';
  }

  /** Gives a permission back. An answer clears the suspect, a crash bans it. */
  release(fingerprint: string, holder: string, { crashed, answered }: RunOutcome): void {
    const known = this.#suspects.get(fingerprint);
    if (known?.holder !== holder) return;
    if (crashed) this.ban(fingerprint);
    else if (answered) this.clearSuspect(fingerprint);
    else {
      this.#suspects.set(fingerprint, { expiresAt: known.expiresAt, heldUntil: 0 });
      this.#tell();
    }
  }

  /**
   * Waits until a permission, a suspicion or a ban may have changed.
   *
   * @param signal - Ends the wait.
   */
  async waitForChange(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    await new Promise<void>((resolve) => {
      const finish = () => {
        this.#waiters.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.#waiters.add(finish);
      signal.addEventListener('abort', finish);
    });
  }

  /** @returns All suspects and bans. */
  list(): readonly SuspectRow[] {
    const now = this.#clock.now();
    const bans = [...this.#bans].map(([fingerprint, until]) => ({
      fingerprint,
      standing: 'banned' as const,
      leftMs: until - now,
    }));
    const suspects = [...this.#suspects].map(([fingerprint, { expiresAt, holder, heldUntil }]) => ({
      fingerprint,
      standing: 'suspect' as const,
      leftMs: expiresAt - now,
      ...(holder !== undefined && heldUntil > now ? { holder } : {}),
    }));
    return [...bans, ...suspects].filter(({ leftMs }) => leftMs > 0);
  }

  #tell(): void {
    [...this.#waiters].forEach((finish) => finish());
  }
}

function dropOldest<Value>(map: Map<string, Value>, max: number): void {
  for (const key of map.keys()) {
    if (map.size <= max) return;
    map.delete(key);
  }
}
