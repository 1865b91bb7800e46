import type { Clock, EndpointVersion, Incarnation } from '@dotterelpass/values';
import { SuspectTable } from './table.js';

/** Number of endpoint crashes after which a request is banned, counted over all instances. */
const crashesToBan = 2;

/** Time after which earlier crashes and answers no longer count. */
const evidenceTtlMs = 600_000;

const maxTrackedRequests = 4096;

/** Maximum number of successful answers of a request that count, one against each crash. */
const maxAnswers = 64;

/** The crash of an endpoint. */
export interface EndpointCrash {
  readonly incarnation: Incarnation;
  /** Undefined when the endpoint states none. */
  readonly version: EndpointVersion | undefined;
}

/** The ban of a request. */
export interface RequestBan {
  readonly fingerprint: string;
  /** Version of the endpoints that it has crashed; undefined when they state none. */
  readonly version: EndpointVersion | undefined;
}

/** What a crash means for a request that the endpoint ran. */
export type CrashFinding =
  /** The request was answered elsewhere, so another one has crashed the endpoint. */
  | 'cleared'
  /** The request has crashed no other endpoint as far as this instance knows. */
  | 'suspect'
  | 'banned';

/** A value of a `RecentMap`, and the monotonic time of its last change, in milliseconds. */
interface Evidence<Value> {
  readonly value: Value;
  readonly lastAtMs: number;
}

/**
 * Decides which requests crash endpoints, and bans them. The evidence:
 *
 * - A request is a suspect when an endpoint crashes that runs it, and banned when another incarnation
 *   of an endpoint crashes, too, on this instance or on another one.
 * - Each successful answer to the same request (method, host, path with query, and body) outweighs
 *   one crash of the same version of the endpoints: a request that crashes them is never answered,
 *   but a much used one runs on many endpoints at the time when these crash for another reason. What
 *   another version has answered says nothing.
 * - A ban of another instance does not hold for a request that the version which it names has
 *   answered on this one.
 */
export class CrashTable {
  readonly #bans: SuspectTable;

  /** Versions that the bans name, by fingerprint. */
  readonly #bannedBy: RecentMap<EndpointVersion | undefined>;

  /** Number of answers that outweigh no crash yet, by fingerprint and version. */
  readonly #answers: RecentMap<number>;

  /** Crashed incarnations of endpoints, by fingerprint. */
  readonly #crashes: RecentMap<ReadonlySet<Incarnation>>;

  constructor(clock: Clock) {
    this.#bans = new SuspectTable(clock);
    this.#bannedBy = new RecentMap(clock);
    this.#answers = new RecentMap(clock);
    this.#crashes = new RecentMap(clock);
  }

  isBanned(fingerprint: string): boolean {
    return this.#bans.findStatus(fingerprint) === 'banned';
  }

  /** @returns Whether a banned request has a fingerprint that begins so. */
  hasBan(start: string): boolean {
    return this.#bans
      .list()
      .some(({ fingerprint, standing }) => standing === 'banned' && fingerprint.startsWith(start));
  }

  /** @returns The incarnations of endpoints that have crashed while they ran a request here. */
  listCrashes(fingerprint: string): readonly Incarnation[] {
    return [...(this.#crashes.get(fingerprint) ?? [])];
  }

  /** Records a successful answer to a request. */
  recordAnswer(fingerprint: string, version: EndpointVersion | undefined): void {
    const key = buildKey(fingerprint, version);
    this.#answers.set(key, Math.min(maxAnswers, (this.#answers.get(key) ?? 0) + 1));
  }

  /**
   * Records that an endpoint crashed while it ran a request.
   *
   * @param fingerprint - Fingerprint of the request.
   * @returns What the crash means for the request.
   */
  recordCrash(fingerprint: string, { incarnation, version }: EndpointCrash): CrashFinding {
    const key = buildKey(fingerprint, version);
    const answers = this.#answers.get(key) ?? 0;
    if (answers > 0) {
      this.#answers.set(key, answers - 1);
      return 'cleared';
    }
    const crashed = new Set(this.#crashes.get(fingerprint)).add(incarnation);
    this.#crashes.set(fingerprint, crashed);
    if (crashed.size < crashesToBan) return 'suspect';
    this.#ban({ fingerprint, version });
    return 'banned';
  }

  /**
   * Bans a request that another instance has banned, unless endpoints of the version that it has
   * crashed there have answered it on this instance.
   *
   * @returns Whether the request is banned.
   */
  acceptBan(ban: RequestBan): boolean {
    const key = buildKey(ban.fingerprint, ban.version);
    const isCleared = (this.#answers.get(key) ?? 0) > 0;
    if (!isCleared) this.#ban(ban);
    return !isCleared;
  }

  /**
   * Lifts a ban, because the version that it names has answered the request on another instance. A
   * ban for the crashes of another version stays in force.
   *
   * @returns Whether the request was banned.
   */
  liftBan({ fingerprint, version }: RequestBan): boolean {
    if (this.isBanned(fingerprint) && this.#bannedBy.get(fingerprint) !== version) return false;
    this.#crashes.delete(fingerprint);
    return this.#bans.lift(fingerprint);
  }

  #ban({ fingerprint, version }: RequestBan): void {
    this.#bannedBy.set(fingerprint, version);
    if (!this.isBanned(fingerprint)) this.#bans.ban(fingerprint);
  }
}

function buildKey(fingerprint: string, version: EndpointVersion | undefined): string {
  return `${fingerprint} ${version ?? ''}`;
}

/** Map of a limited size whose entries expire some time after their last change. */
class RecentMap<Value> {
  readonly #clock: Clock;

  /** The entries, in the order of their last changes. */
  readonly #entries = new Map<string, Evidence<Value>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get(key: string): Value | undefined {
    const entry = this.#entries.get(key);
    const isFresh = entry && this.#clock.now() - entry.lastAtMs < evidenceTtlMs;
    return isFresh ? entry.value : undefined;
  }

  set(key: string, value: Value): void {
    this.#entries.delete(key);
    this.#entries.set(key, { value, lastAtMs: this.#clock.now() });
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > maxTrackedRequests && oldest !== undefined) {
      this.#entries.delete(oldest);
    }
  }

  delete(key: string): void {
    this.#entries.delete(key);
  }
}
