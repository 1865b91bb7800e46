import type { Clock } from '@dotterelpass/values';

/** Length of one window; longer than a load report is in transit. */
const windowMs = 50;

/** The maximum of a value over the current and the previous window. */
export class RecentMax {
  readonly #clock: Clock;

  #window = 0;

  #value = 0;

  #max = 0;

  #previousMax = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @param value - The current value. */
  record(value: number): void {
    this.#updateWindow();
    this.#value = value;
    this.#max = Math.max(this.#max, value);
  }

  /** @returns The recent maximum. */
  read(): number {
    this.#updateWindow();
    return Math.max(this.#max, this.#previousMax);
  }

  #updateWindow(): void {
    const window = Math.floor(this.#clock.now() / windowMs);
    if (window === this.#window) return;
    this.#previousMax = window === this.#window + 1 ? this.#max : this.#value;
    this.#max = this.#value;
    this.#window = window;
  }
}
