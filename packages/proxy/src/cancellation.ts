/**
 * Tells that somebody no longer waits. An `AbortSignal` for every call costs more than most steps
 * of the call path, so one is made only for those who ask for it.
 */
export class Cancellation {
  #aborted = false;

  #listeners: Set<() => void> | undefined;

  #controller: AbortController | undefined;

  get aborted(): boolean {
    return this.#aborted;
  }

  /** The same as a standard signal. */
  get signal(): AbortSignal {
    if (!this.#controller) {
      this.#controller = new AbortController();
      if (this.#aborted) this.#controller.abort();
    }
    return this.#controller.signal;
  }

  /** @param listener - Called once at the departure, or now when that has been. */
  addListener(listener: () => void): void {
    if (this.#aborted) {
      listener();
      return;
    }
    this.#listeners ??= new Set();
    this.#listeners.add(listener);
  }

  /** @param listener - Not called any more. */
  removeListener(listener: () => void): void {
    this.#listeners?.delete(listener);
  }

  /** @returns A departure of its own that follows this one. */
  makeChild(): Cancellation {
    const child = new Cancellation();
    this.addListener(() => child.cancel());
    return child;
  }

  /** Tells all who listen. */
  cancel(): void {
    if (this.#aborted) return;
    this.#aborted = true;
    const listeners = this.#listeners;
    this.#listeners = undefined;
    listeners?.forEach((listener) => listener());
    this.#controller?.abort();
  }
}
