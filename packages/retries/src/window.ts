import type { Clock } from '@dotterelpass/values';

const slices = 10;

/** Sums of two counts over the last `windowMs`, to a tenth of it. */
export class SharedWindow {
  readonly #clock: Clock;

  readonly #sliceMs: number;

  readonly #calls = new Array<number>(slices).fill(0);

  readonly #extra = new Array<number>(slices).fill(0);

  #slice = 0;

  #callSum = 0;

  #extraSum = 0;

  /**
   * @param clock - Source of time.
   * @param windowMs - Length of the window, in milliseconds.
   */
  constructor(clock: Clock, windowMs: number) {
    if (!(windowMs > 0)) throw new RangeError(`window of ${windowMs} ms is not positive`);
    this.#clock = clock;
    this.#sliceMs = windowMs / slices;
    this.#slice = Math.floor(clock.now() / this.#sliceMs);
  }

  /** Counts a call. */
  addCall(): void {
    this.#advance();
    this.#callSum += 1;
    this.#calls[this.#slice % slices]! += 1;
  }

  /** Counts an attempt beyond the first of a call. */
  addExtra(): void {
    this.#advance();
    this.#extraSum += 1;
    this.#extra[this.#slice % slices]! += 1;
  }

  /**
   * @param share - Largest share of extra attempts in the calls of the window.
   * @param allowance - Extra attempts that are allowed beyond the share.
   * @returns Whether one more extra attempt stays within the share.
   */
  hasRoom(share: number, allowance = 0): boolean {
    this.#advance();
    return this.#extraSum + 1 <= this.#callSum * share + allowance;
  }

  #advance(): void {
    const present = Math.floor(this.#clock.now() / this.#sliceMs);
    const passed = Math.min(slices, present - this.#slice);
    for (let step = 1; step <= passed; step++) {
      const index = (this.#slice + step) % slices;
      this.#callSum -= this.#calls[index] as number;
      this.#extraSum -= this.#extra[index] as number;
      this.#calls[index] = 0;
      this.#extra[index] = 0;
    }
    // After a long pause the ring is empty and only its position moves on.
    this.#slice = present;
  }
}
