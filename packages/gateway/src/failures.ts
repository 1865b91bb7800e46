import type { LogFields } from '@dotterelpass/telemetry';

/** Maximum number of failed requests that are kept. */
const maxRecentFailures = 2000;

/** Keeps the last requests that failed on this instance, for queries by operators. */
export class RecentFailures {
  readonly #failures = new Map<string, LogFields>();

  /**
   * Adds a failed request.
   *
   * @param id - Id of the request.
   * @param fields - Fields of its log entry.
   */
  add(id: string, fields: LogFields): void {
    this.#failures.delete(id);
    this.#failures.set(id, { at: new Date().toISOString(), ...fields });
    const [oldest] = this.#failures.keys();
    if (this.#failures.size > maxRecentFailures && oldest !== undefined)
      this.#failures.delete(oldest);
  }

  /** @returns The log fields of a request; undefined when it is not among the last failures. */
  find(id: string): LogFields | undefined {
    return this.#failures.get(id);
  }
}
