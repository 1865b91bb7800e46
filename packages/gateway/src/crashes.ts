import { SuspectTable } from '@dotterelpass/suspects';
import type { Logger } from '@dotterelpass/telemetry';
import type { Clock } from '@dotterelpass/values';

/** Crashes of endpoints under one request that ban it, counted over all instances. */
const crashesToBan = 2;

/** Crashes are forgotten after this time, in milliseconds. */
const crashWindowMs = 60_000;

const maxTrackedRequests = 1024;

interface CrashCount {
  readonly crashes: number;
  readonly lastAtMs: number;
}

/**
 * Requests under which endpoints crashed. An endpoint that crashes for another reason counts
 * against the calls that it ran, so one crash bans none of them.
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
   * Records that an endpoint crashed while it ran a request.
   *
   * @param fingerprint - The request.
   * @param crashes - Endpoints that crashed; more than one when another instance tells its count.
   * @returns Crashes so far.
   */
  recordCrashes(fingerprint: string, crashes = 1): number {
    const now = this.#clock.now();
    const known = this.#counts.get(fingerprint);
    const before = known && now - known.lastAtMs < crashWindowMs ? known.crashes : 0;
    const count = before + crashes;
    this.#counts.delete(fingerprint);
    this.#counts.set(fingerprint, { crashes: count, lastAtMs: now });
    const [oldest] = this.#counts.keys();
    if (this.#counts.size > maxTrackedRequests && oldest !== undefined) this.#counts.delete(oldest);
    if (count >= crashesToBan && !this.isBanned(fingerprint)) this.banRequest(fingerprint, 'local');
    return count;
  }

  /** @param source - Where the ban was decided. */
  banRequest(fingerprint: string, source: 'local' | 'fleet'): void {
    if (this.isBanned(fingerprint)) return;
    this.#bans.ban(fingerprint);
    this.#log.warn('request-banned', { fingerprint, source });
  }
}
