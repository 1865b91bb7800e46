import { SuspectTable } from '@dotterelpass/suspects';
import type { Logger } from '@dotterelpass/telemetry';
import type { Clock } from '@dotterelpass/values';

/** Number of endpoint crashes after which a request is banned, counted over all instances. */
const crashesToBan = 2;

/** Time after which earlier crashes no longer count. */
const crashWindowMs = 60_000;

const maxTrackedRequests = 1024;

interface CrashCount {
  readonly crashes: number;
  readonly lastAtMs: number;
}

/**
 * Counts endpoint crashes per request and bans requests that crash endpoints. A crash for another
 * reason is also counted for the calls that the endpoint ran, so a single crash bans no request.
 */
export class CrashTable {
  readonly #clock: Clock;

  readonly #log: Logger;

  readonly #bans: SuspectTable;

  readonly #counts = new Map<string, CrashCount>();

  constructor(clock: Clock, log: Logger) {
    this.#clock = clock;
    this.#log = log;
    this.#bans = new SuspectTable(clock);
  }

  isBanned(fingerprint: string): boolean {
    return this.#bans.findStatus(fingerprint) === 'banned';
  }

  /**
   * Records crashes of endpoints while they ran a request.
   *
   * @param fingerprint - Fingerprint of the request.
   * @param crashes - Number of crashes; more than one when another instance reports its count.
   * @returns Number of crashes within the window.
   */
  recordCrashes(fingerprint: string, crashes = 1): number {
    const now = this.#clock.now();
    const existing = this.#counts.get(fingerprint);
    const before = existing && now - existing.lastAtMs < crashWindowMs ? existing.crashes : 0;
    const count = before + crashes;
    this.#counts.delete(fingerprint);
    this.#counts.set(fingerprint, { crashes: count, lastAtMs: now });
    const [oldest] = this.#counts.keys();
    if (this.#counts.size > maxTrackedRequests && oldest !== undefined) this.#counts.delete(oldest);
    if (count >= crashesToBan && !this.isBanned(fingerprint)) this.banRequest(fingerprint, 'local');
    return count;
  }

  /** @param source - Whether this instance or another one in the fleet decided on the ban. */
  banRequest(fingerprint: string, source: 'local' | 'fleet'): void {
    if (this.isBanned(fingerprint)) return;
    this.#bans.ban(fingerprint);
    this.#log.warn('request-banned', { fingerprint, source });
  }
}
