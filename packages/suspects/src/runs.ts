import type { Clock, Incarnation } from '@dotterelpass/values';

/**
 * Time after its deadline for which a run may be the cause of a crash, in milliseconds. Endpoints end
 * their work at the deadline; the rest is for a crash that is noticed late.
 */
const afterDeadlineMs = 5000;

const maxRuns = 4096;
const maxCrashed = 1024;

/** A run of a request at an endpoint that ended here without a whole response. */
interface UnfinishedRun<Request> {
  readonly request: Request;
  readonly incarnation: Incarnation;
  /** Monotonic time, in milliseconds. */
  readonly expiresAt: number;
}

/**
 * Runs of requests that endpoints may still be working on although this instance waits for them no
 * more: the connection has ended, the caller has left, or the deadline has passed. When the endpoint
 * crashes, each of them may be the cause.
 */
export class UnfinishedRuns<Request> {
  readonly #clock: Clock;

  /** All runs, in the order in which they were added. */
  readonly #runs = new Set<UnfinishedRun<Request>>();

  readonly #byIncarnation = new Map<Incarnation, Set<UnfinishedRun<Request>>>();

  /** Monotonic times at which incarnations were found to have crashed, in that order. */
  readonly #crashedAt = new Map<Incarnation, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether an incarnation of an endpoint was found to have crashed later than a time. */
  hasCrashedSince(incarnation: Incarnation, startedAt: number): boolean {
    return (this.#crashedAt.get(incarnation) ?? -Infinity) >= startedAt;
  }

  /** Whether the crash of an endpoint would have a possible cause here. */
  has(incarnation: Incarnation): boolean {
    const now = this.#clock.now();
    const runs = this.#byIncarnation.get(incarnation) ?? [];
    return [...runs].some(({ expiresAt }) => expiresAt > now);
  }

  /**
   * Adds a run.
   *
   * @param incarnation - Incarnation of the endpoint.
   * @param request - The request.
   * @param deadlineAt - Monotonic time until which the endpoint works on it, in milliseconds.
   * @returns A function that removes the run, because the endpoint has ended it well.
   */
  add(incarnation: Incarnation, request: Request, deadlineAt: number): () => void {
    this.#removeExpired();
    const run = { request, incarnation, expiresAt: deadlineAt + afterDeadlineMs };
    this.#runs.add(run);
    const runs = this.#byIncarnation.get(incarnation) ?? new Set();
    this.#byIncarnation.set(incarnation, runs.add(run));
    return () => this.#remove(run);
  }

  /**
   * Removes the runs at an incarnation that has crashed.
   *
   * @returns The requests that may have crashed it.
   */
  takeCrashed(incarnation: Incarnation): readonly Request[] {
    const now = this.#clock.now();
    this.#crashedAt.delete(incarnation);
    this.#crashedAt.set(incarnation, now);
    const [oldest] = this.#crashedAt.keys();
    if (this.#crashedAt.size > maxCrashed && oldest !== undefined) this.#crashedAt.delete(oldest);
    const runs = [...(this.#byIncarnation.get(incarnation) ?? [])];
    runs.forEach((run) => this.#remove(run));
    return runs.filter(({ expiresAt }) => expiresAt > now).map(({ request }) => request);
  }

  /** Removes the oldest runs, up to the first that has not expired and fits in. */
  #removeExpired(): void {
    const now = this.#clock.now();
    for (const run of this.#runs) {
      if (run.expiresAt > now && this.#runs.size < maxRuns) return;
      this.#remove(run);
    }
  }

  #remove(run: UnfinishedRun<Request>): void {
    this.#runs.delete(run);
    const runs = this.#byIncarnation.get(run.incarnation);
    runs?.delete(run);
    if (runs?.size === 0) this.#byIncarnation.delete(run.incarnation);
  }
}
