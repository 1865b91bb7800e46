/** Source of time. Tests pass a manual clock. */
export interface Clock {
  /** Monotonic time in fractional milliseconds, from an arbitrary origin. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readWallTime(): number;
}

/** The system clock. */
export const systemClock: Clock = {
  now: () => performance.now(),
  readWallTime: () => Date.now(),
};

/** A clock for tests that moves only when `advance` is called. */
export class ManualClock implements Clock {
  #now = 0;

  #wall: number;

  /** @param wallMs - Initial wall-clock time, in milliseconds since the Unix epoch. */
  constructor(wallMs = 1_700_000_000_000) {
    this.#wall = wallMs;
  }

  now(): number {
    return this.#now;
  }

  readWallTime(): number {
    return this.#wall;
  }

  /** @param ms - Time by which both clocks move forward, in milliseconds; not negative. */
  advance(ms: number): void {
    if (!(ms >= 0)) throw new RangeError(`cannot advance a clock by ${ms} ms`);
    this.#now += ms;
    this.#wall += ms;
  }
}
