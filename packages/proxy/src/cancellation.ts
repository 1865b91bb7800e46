/**
 * Cancellation signal of a call or of a part of a call. An `AbortSignal` for every call costs more
 * than most steps of the call path, so a standard signal is created only when `signal` is read.
 */
export class Cancellation {
  #aborted = false;

  #listeners: Set<() => void> | undefined;

  #controller: AbortController | undefined;

  get aborted(): boolean {
    return this.#aborted;
  }

  /** A standard signal that is aborted together with this one. */
  get signal(): AbortSignal {
    if (!this.#controller) {
      this.#controller = new AbortController();
      if (this.#aborted) this.#controller.abort();
    }
    return this.#controller.signal;
  }

  /** @param listener - Called once on cancellation, or at once when already cancelled. */
  addListener(listener: () => void): void {
    if (this.#aborted) {
      listener();
      return;
    }
    this.#listeners ??= new Set();
    this.#listeners.add(listener);
  }

  /** @param listener - A listener that is no longer to be called. */
  removeListener(listener: () => void): void {
    this.#listeners?.delete(listener);
  }

  /** @returns A new cancellation that is cancelled with this one, but not the reverse. */
  makeChild(): Cancellation {
    const child = new Cancellation();
    this.addListener(() => child.cancel());
    return child;
  }

  /** Calls all listeners and aborts the standard signal. Later calls have no effect. */
  cancel(): void {
    if (this.#aborted) return;
    this.#aborted = true;
    const listeners = this.#listeners;
    this.#listeners = undefined;
    listeners?.forEach((listener) => listener());
    this.#controller?.abort();
  }
}
