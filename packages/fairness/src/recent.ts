import type { Clock, WorkspaceId } from '@dotterelpass/values';

/**
 * Time constant of the decay of past service. It exceeds the time that calls wait, so that service
 * counts until those that waited meanwhile have had their turn, and is below the 6 s that a surge
 * of a workspace lasts, so that the workspace is not set back for long afterwards.
 */
const decayMs = 3000;

/** Service below this amount counts as none, in milliseconds of endpoint time. */
const negligibleMs = 1e-6;

/** Time after which entries of workspaces without service are dropped. */
const pruneIntervalMs = 10 * decayMs;

/**
 * The service that each workspace has got lately: the estimated endpoint time of its calls, which
 * decays exponentially.
 *
 * Start-time fair queueing was weighed: its virtual time stands still for a workspace that waits
 * behind calls of higher priority, so that the one with the longest queue comes back with the oldest
 * start tag, and it forgets all service when the queue is empty, which happens between two calls on
 * an instance that sees a few calls a second.
 */
export class RecentService {
  readonly #clock: Clock;

  /**
   * Logarithm of the decayed service, plus the time in units of the decay. This form grows with new
   * service only, so that the order of workspaces changes at no other time.
   */
  readonly #levels = new Map<WorkspaceId | undefined, number>();

  #prunedAt: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#prunedAt = clock.now();
  }

  /** Adds a call that was sent. */
  record(workspace: WorkspaceId | undefined, costMs: number): void {
    const now = this.#clock.now();
    this.#prune(now);
    const added = Math.log(Math.max(negligibleMs, costMs)) + now / decayMs;
    const level = this.getLevel(workspace);
    const [low, high] = level < added ? [level, added] : [added, level];
    this.#levels.set(workspace, high + Math.log1p(Math.exp(low - high)));
  }

  /** @returns A number that is higher for a workspace with more recent service. */
  getLevel(workspace: WorkspaceId | undefined): number {
    return this.#levels.get(workspace) ?? -Infinity;
  }

  /** @returns The decayed endpoint time of a level, in milliseconds. */
  convertToMs(level: number): number {
    return Math.exp(level - this.#clock.now() / decayMs);
  }

  /** @returns Share of the present service that still counts after `ms` milliseconds. */
  calculateRetention(ms: number): number {
    return Math.exp(-Math.max(0, ms) / decayMs);
  }

  #prune(now: number): void {
    if (now - this.#prunedAt < pruneIntervalMs) return;
    this.#prunedAt = now;
    this.#levels.forEach((level, workspace) => {
      if (this.convertToMs(level) < negligibleMs) this.#levels.delete(workspace);
    });
  }
}
