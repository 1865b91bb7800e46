import type { ClassName, ServiceId } from '@dotterelpass/values';

/** Time that a class is taken to need before its first answer, in milliseconds. */
const firstGuessMs = 50;

/** Weight of one answer in the average. */
const workWeight = 0.03;

/** Weight of one load report in the average of a service. */
const slowdownWeight = 0.01;

/** One answer counts for at most this many times the average: a few run very much longer. */
const maxRatio = 3;

/** Time for which the slowdown that an endpoint reports may be expected to last, in milliseconds. */
const lastingMs = 150;

/** How long calls of a class take, and how much longer at the speed of an endpoint. */
export class WorkTimes {
  readonly #times = new Map<ClassName, number>();

  readonly #slowdowns = new Map<ServiceId, number>();

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
    this.#times.set(className, known + workWeight * (usual - known));
  }

  /** Records the slowdown that an endpoint of a service reports. */
  recordSlowdown(service: ServiceId, slowdown: number): void {
    const known = this.#slowdowns.get(service) ?? 1;
    this.#slowdowns.set(service, known + slowdownWeight * (slowdown - known));
  }

  /** @returns The average of a class at the usual speed, in milliseconds. */
  findMs(className: ClassName): number {
    return this.#times.get(className) ?? firstGuessMs;
  }

  /** @returns The average slowdown of a service's endpoints. */
  findSlowdown(service: ServiceId): number {
    return this.#slowdowns.get(service) ?? 1;
  }

  /**
   * Estimates the time of some work on an endpoint. Its speed changes many times a second, so the
   * present one counts for a while only, and the service's average after that.
   *
   * @param service - The service.
   * @param usualMs - Time of the work at the usual speed, in milliseconds.
   * @param slowdown - Slowdown that the endpoint has reported last.
   * @returns Milliseconds.
   */
  estimate(service: ServiceId, usualMs: number, slowdown: number): number {
    const atPresent = usualMs * slowdown;
    if (atPresent <= lastingMs) return atPresent;
    return lastingMs + (usualMs - lastingMs / slowdown) * this.findSlowdown(service);
  }
}
