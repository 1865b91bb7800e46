import type { Clock, Random } from '@dotterelpass/values';
import type { QuotaDecision } from './limiter.js';
import { RateWindow } from './window.js';

/** Share of a waiting time that is added at random to the time at which a caller may come again. */
const returnSpread = 0.2;

/** Bound of that time: the tokens of a window lapse 500 ms after its start. */
const maxSpreadMs = 300;

/** What an instance grants by itself while no coordinator responds. */
export class OwnShare {
  readonly #clock: Clock;

  readonly #random: Random;

  readonly #window: RateWindow;

  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
    this.#window = new RateWindow(clock, random);
  }

  /**
   * Takes one token.
   *
   * @param perSecond - Rate of the share.
   * @param usableMs - Time for which a token that is due may be used.
   */
  take(perSecond: number, usableMs: number): QuotaDecision {
    this.#window.setRate(perSecond, usableMs);
    const waitMs = this.#window.findNextRequestAt() - this.#clock.now();
    if (waitMs <= 0) {
      this.#window.recordRequest();
      return { kind: 'granted' };
    }
    const spreadMs = Math.min(maxSpreadMs, waitMs * returnSpread) * this.#random.next();
    return { kind: 'denied', retryAfterMs: waitMs + spreadMs };
  }
}
