import type { Clock } from '@dotterelpass/values';

/**
 * Status of a request, by fingerprint. `suspect`: the request was in flight at an endpoint when
 * the endpoint crashed.
 */
export type FingerprintStatus = 'clear' | 'suspect' | 'banned';

/** How the isolated run of a suspect ended; when both are false, its status does not change. */
export interface RunOutcome {
  readonly crashed: boolean;
  readonly answered: boolean;
}

/** A suspect or a banned request, as shown to operators. */
export interface SuspectRow {
  readonly fingerprint: string;
  /** Status of the request, under the name that the operators' query uses. */
  readonly standing: 'suspect' | 'banned';
  /** Time until the entry expires, in milliseconds. */
  readonly leftMs: number;
  /** The run that has permission to run the suspect now, if any. */
  readonly holder?: string;
}

export interface SuspectLimits {
  readonly maxSuspects: number;
  readonly maxBans: number;
  /** Time after which a ban expires, in milliseconds. */
  readonly banMs: number;
  /** Time after which a suspect that is not sent again is forgotten, in milliseconds. */
  readonly suspectMs: number;
}

interface Suspect {
  readonly expiresAt: number;
  readonly holder?: string;
  /** Time at which the permission of `holder` expires. */
  readonly heldUntil: number;
}

const defaultLimits: SuspectLimits = {
  maxSuspects: 1024,
  maxBans: 1024,
  banMs: 600_000,
  suspectMs: 600_000,
};

/**
 * Requests that may crash endpoints, by fingerprint. A suspect is banned only when an endpoint
 * crashes while the suspect runs there alone, so a request that merely shared an endpoint with the
 * crashing request is never banned.
 */
export class SuspectTable {
  readonly #clock: Clock;

  readonly #limits: SuspectLimits;

  /** Suspects by fingerprint, in the order in which they were added. */
  readonly #suspects = new Map<string, Suspect>();

  /** Expiry of each ban by fingerprint, in the order in which the bans were added. */
  readonly #bans = new Map<string, number>();

  readonly #waiters = new Set<() => void>();

  /**
   * @param clock - Source of time.
   * @param limits - Limits that differ from the defaults.
   */
  constructor(clock: Clock, limits: Partial<SuspectLimits> = {}) {
    this.#clock = clock;
    this.#limits = { ...defaultLimits, ...limits };
  }

  findStatus(fingerprint: string): FingerprintStatus {
    const now = this.#clock.now();
    if ((this.#bans.get(fingerprint) ?? now) > now) return 'banned';
    return (this.#suspects.get(fingerprint)?.expiresAt ?? now) > now ? 'suspect' : 'clear';
  }

  /** Adds a suspect, unless the request is already a suspect or banned. */
  add(fingerprint: string): void {
    if (this.findStatus(fingerprint) !== 'clear') return;
    const expiresAt = this.#clock.now() + this.#limits.suspectMs;
    this.#suspects.delete(fingerprint);
    this.#suspects.set(fingerprint, { expiresAt, heldUntil: 0 });
    removeOldest(this.#suspects, this.#limits.maxSuspects);
  }

  /** Removes a suspect; a ban stays in force. */
  clearSuspect(fingerprint: string): void {
    if (this.#suspects.delete(fingerprint)) this.#notifyWaiters();
  }

  /**
   * Bans a request.
   *
   * @param ms - Duration of the ban; at most and by default `banMs`.
   */
  ban(fingerprint: string, ms = this.#limits.banMs): void {
    this.#suspects.delete(fingerprint);
    this.#bans.delete(fingerprint);
    this.#bans.set(fingerprint, this.#clock.now() + Math.min(ms, this.#limits.banMs));
    removeOldest(this.#bans, this.#limits.maxBans);
    this.#notifyWaiters();
  }

  /**
   * Removes a request from the suspects and the bans.
   *
   * @returns Whether the request was a suspect or banned.
   */
  lift(fingerprint: string): boolean {
    const wasListed = this.findStatus(fingerprint) !== 'clear';
    this.#bans.delete(fingerprint);
    this.clearSuspect(fingerprint);
    return wasListed;
  }

  /**
   * Acquires permission to run a suspect alone.
   *
   * @param holder - Identifies the run that asks; unique to one run of the request.
   * @param holdMs - Time after which the permission expires.
   * @returns `run` when the permission is granted, `wait` while another run holds it, otherwise
   * the status of the request.
   */
  acquire(fingerprint: string, holder: string, holdMs: number): 'run' | 'wait' | FingerprintStatus {
    const status = this.findStatus(fingerprint);
    const suspect = this.#suspects.get(fingerprint);
    if (status !== 'suspect' || !suspect) return status;
    const now = this.#clock.now();
    if (suspect.holder !== undefined && suspect.holder !== holder && suspect.heldUntil > now) {
      return 'wait';
    }
    const expiresAt = now + Math.max(this.#limits.suspectMs, holdMs);
    this.#suspects.set(fingerprint, { expiresAt, holder, heldUntil: now + holdMs });
    return 'run';
  }

  /**
   * Releases the permission to run a suspect. A response clears the suspect, a crash bans it.
   * Ignored when `holder` is not the last run that acquired the permission.
   */
  release(fingerprint: string, holder: string, { crashed, answered }: RunOutcome): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect?.holder !== holder) return;
    if (crashed) this.ban(fingerprint);
    else if (answered) this.clearSuspect(fingerprint);
    else {
      this.#suspects.set(fingerprint, { expiresAt: suspect.expiresAt, heldUntil: 0 });
      this.#notifyWaiters();
    }
  }

  /**
   * Waits until a suspect, a ban or a permission may have changed.
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

  /** @returns All suspects and bans that have not expired. */
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

  #notifyWaiters(): void {
    [...this.#waiters].forEach((finish) => finish());
  }
}

function removeOldest<Value>(map: Map<string, Value>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
