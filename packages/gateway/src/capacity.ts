import type { Clock } from '@dotterelpass/values';

/** A call that waits for an endpoint with spare capacity. */
export interface WaitingCall {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether the call can no longer be answered within its target latency. */
  readonly isLate: boolean;
  /** Monotonic time until which the call can wait, in milliseconds. */
  readonly waitUntil: number;
}

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
export class CapacityQueue {
  readonly #clock: Clock;

  /** In the order in which the calls are sent. */
  readonly #waiters: Waiter[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#waiters.length;
  }

  /** Whether a call that is already waiting is sent before this one. */
  hasPrecedence(call: WaitingCall): boolean {
    const [first] = this.#waiters;
    return first !== undefined && comparePrecedence(first.call, call) <= 0;
  }

  /** Whether this call is the next one to be sent. */
  isFirst(waiter: Waiter): boolean {
    return this.#waiters[0] === waiter;
  }

  /** @returns The position of the added call; it must be removed by `remove`. */
  add(call: WaitingCall): Waiter {
    const waiter = new Waiter(call);
    const index = this.#waiters.findIndex((other) => comparePrecedence(call, other.call) < 0);
    this.#waiters.splice(index < 0 ? this.#waiters.length : index, 0, waiter);
    return waiter;
  }

  /** Removes a call, and lets the call that is now the first look for an endpoint at once. */
  remove(waiter: Waiter): void {
    const index = this.#waiters.indexOf(waiter);
    if (index < 0) return;
    this.#waiters.splice(index, 1);
    if (index === 0) this.wakeFirst();
  }

  /** Lets the first call look for an endpoint at once because one may have spare capacity. */
  wakeFirst(): void {
    this.#waiters[0]?.wake();
  }

  /**
   * Waits until a call may look for an endpoint.
   *
   * @param waiter - Position of the call.
   * @param pollIntervalMs - Maximum time between two looks of the first call, in milliseconds.
   */
  async waitForTurn(waiter: Waiter, pollIntervalMs: number): Promise<void> {
    const remainingMs = waiter.call.waitUntil - this.#clock.now();
    await waiter.sleep(this.isFirst(waiter) ? Math.min(pollIntervalMs, remainingMs) : remainingMs);
  }
}

/** Orders by priority; calls that can still meet their target first; then by the end of the wait. */
function comparePrecedence(a: WaitingCall, b: WaitingCall): number {
  if (a.priority !== b.priority) return a.priority - b.priority;
  if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
  return a.waitUntil - b.waitUntil;
}
