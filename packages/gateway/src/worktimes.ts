import type { ClassName } from '@dotterelpass/values';

/** Time that a class is taken to need before its first answer, in milliseconds. */
const firstGuessMs = 50;

/** Weight of one answer in the average. */
const weight = 0.03;

/** One answer counts for at most this many times the average: a few run very much longer. */
const maxRatio = 3;

/** How long calls of a class take on an endpoint that runs at its usual speed. */
export class WorkTimes {
  readonly #times = new Map<ClassName, number>();

  /**
   * Records an answered call.
   *
   * @param className - Its class.
   * @param ms - Time from sending the request to the end of the answer, in milliseconds.
   * @param slowdown - How many times longer work took on the endpoint than usual.
   */
  record(className: ClassName, ms: number, slowdown: number): void {
    const known = this.findMs(className);
    const usual = Math.min(ms / Math.max(0.1, slowdown), known * maxRatio);
    this.#times.set(className, known + weight * (usual - known));
  }

  /** @returns The average, in milliseconds. */
  findMs(className: ClassName): number {
    return this.#times.get(className) ?? firstGuessMs;
  }
}
