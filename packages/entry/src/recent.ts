import type { Clock } from '@dotterelpass/values';

/** Length of one window, in milliseconds: longer than a report is on its way. */
const windowMs = 50;

/** The highest value of the last one to two windows. */
export class RecentMax {
  readonly #clock: Clock;

  #window = 0;

  #value = 0;

  #highest = 0;

  #before = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @param value - The present value. */
  record(value: number): void {
    this.#turn();
    this.#value = value;
    this.#highest = Math.max(this.#highest, value);
  }

  /** @returns The highest recent value. */
  read(): number {
    this.#turn();
    return Math.max(this.#highest, this.#before);
  }

  #turn(): void {
    const window = Math.floor(this.#clock.now() / windowMs);
    if (window === this.#window) return;
    this.#before = window === this.#window + 1 ? this.#highest : this.#value;
    this.#highest = this.#value;
    this.#window = window;
  }
}
