import type { LogFields } from '@dotterelpass/telemetry';

/** Failed requests of which the reason is kept. */
const maxKept = 2000;

/** The last requests that failed here, so that an operator can ask why. */
export class RecentFailures {
  readonly #lines = new Map<string, LogFields>();

  /**
   * Keeps how a request ended.
   *
   * @param id - Its id.
   * @param line - What the log says of it.
   */
  add(id: string, line: LogFields): void {
    this.#lines.delete(id);
    this.#lines.set(id, { at: new Date().toISOString(), ...line });
    const [oldest] = this.#lines.keys();
    if (this.#lines.size > maxKept && oldest !== undefined) this.#lines.delete(oldest);
  }

  /** @returns How the request ended; undefined when it did not fail here lately. */
  find(id: string): LogFields | undefined {
    return this.#lines.get(id);
  }
}
