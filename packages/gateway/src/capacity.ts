import { FairQueue } from '@dotterelpass/fairness';
import type { FairCall, ServedCall } from '@dotterelpass/fairness';
import type { Clock } from '@dotterelpass/values';

/** A call that waits for an endpoint with spare capacity. */
export type WaitingCall = FairCall;

/** Position of a call in a queue. */
export class Waiter {
  readonly call: WaitingCall;

  #wake: (() => void) | undefined;

  constructor(call: WaitingCall) {
    this.call = call;
  }

  /** Ends the current wait of the call, if it waits. */
  wake(): void {
    this.#wake?.();
  }

  /** Waits until `wake` is called, at most `ms` milliseconds. */
  async sleep(ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, ms));
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#wake = undefined;
  }
}

/**
 * The calls of one service that wait on this instance because all endpoints are busy. Only the
 * first one looks for an endpoint, so that urgent calls are not overtaken and the number of probes
 * does not grow with the number of waiting calls.
 */
export class CapacityQueue extends FairQueue<Waiter> {
  readonly #clock: Clock;

  constructor(clock: Clock) {
    super(clock);
    this.#clock = clock;
  }

  /** Whether this call is the next one to be sent. */
  isFirst(waiter: Waiter): boolean {
    return this.findFirst() === waiter;
  }

  /** @returns The position of the added call; it must be removed by `remove`. */
  addCall(call: WaitingCall): Waiter {
    const waiter = new Waiter(call);
    this.add(waiter);
    return waiter;
  }

  /** Removes a call, and lets the call that is now the first look for an endpoint at once. */
  override remove(waiter: Waiter): boolean {
    const isFirst = this.isFirst(waiter);
    const isRemoved = super.remove(waiter);
    if (isFirst) this.wakeFirst();
    return isRemoved;
  }

  /**
   * Records a request that is sent for a call, and wakes the call that is now the first if it was
   * not the first before: it sleeps until the end of its wait.
   */
  override recordService(call: ServedCall): void {
    const first = this.findFirst();
    super.recordService(call);
    const next = this.findFirst();
    if (next !== first) next?.wake();
  }

  /** Lets the first call look for an endpoint at once because one may have spare capacity. */
  wakeFirst(): void {
    this.findFirst()?.wake();
  }

  /**
   * Waits until a call may look for an endpoint.
   *
   * @param waiter - Position of the call.
   * @param pollIntervalMs - Maximum time between two looks of the first call, in milliseconds.
   */
  async waitForTurn(waiter: Waiter, pollIntervalMs: number): Promise<void> {
    const remainingMs = waiter.call.waitUntil - this.#clock.now();
    const isFirst = this.isFirst(waiter);
    await waiter.sleep(isFirst ? Math.min(pollIntervalMs, remainingMs) : remainingMs);
    // Shares change with time alone, and the new first call still sleeps to the end of its wait.
    if (isFirst && !this.isFirst(waiter)) this.wakeFirst();
  }
}
