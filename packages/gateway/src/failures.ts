import type { LogFields } from '@dotterelpass/telemetry';

/** Failed requests of which the reason is kept. */
const maxRecentFailures = 2000;

/** The last requests that failed here, so that an operator can ask why. */
export class RecentFailures {
  readonly #failures = new Map<string, LogFields>();

  /**
   * Keeps how a request ended.
   *
   * @param id - Its id.
   * @param line - What the log says of it.
   */
  add(id: string, line: LogFields): void {
    this.#failures.delete(id);
    this.#failures.set(id, { at: new Date().toISOString(), ...line });
    const [oldest] = this.#failures.keys();
    if (this.#failures.size > maxRecentFailures && oldest !== undefined)
      this.#failures.delete(oldest);
  }

  /** @returns How the request ended; undefined when it did not fail here lately. */
  find(id: string): LogFields | undefined {
    return this.#failures.get(id);
  }
}
