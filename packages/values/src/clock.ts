/** Source of time. Tests pass a manual clock. */
export interface Clock {
  /** Monotonic time in milliseconds, with fractions; its zero has no meaning. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970. */
  wall(): number;
}

/** The clock of this process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
};

/** A clock that only moves when told to. */
export class ManualClock implements Clock {
  #now = 0;

  #wall: number;

  /** @param wallMs - Wall-clock time at the start, in milliseconds since 1970. */
  constructor(wallMs = 1_700_000_000_000) {
    this.#wall = wallMs;
  }

  now(): number {
    return this.#now;
  }

  wall(): number {
    return this.#wall;
  }

  /** @param ms - Milliseconds to move forward. */
  advance(ms: number): void {
    if (!(ms >= 0)) throw new RangeError(`cannot advance a clock by ${ms} ms`);
    this.#now += ms;
    this.#wall += ms;
  }
}
