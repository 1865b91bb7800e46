import { createHash } from 'node:crypto';
import type { Clock } from '@dotterelpass/values';

/** Number of hexadecimal digits that identify a text of settings. */
const digestLength = 12;

/** Outcome of the last attempt to reload the settings. */
export interface ReloadRecord {
  /** Wall-clock time in ISO 8601 format. */
  readonly at: string;
  /** What caused the attempt, such as a signal. */
  readonly cause: string;
  readonly outcome: 'applied' | 'unchanged' | 'rejected' | 'unreadable';
  /** Digest of the settings that were read; undefined when they could not be read. */
  readonly digest?: string;
  /** Why the settings are not in force. */
  readonly reason?: string;
  /** Names of changed settings that are in force only after a restart. */
  readonly needsRestart: readonly string[];
}

/** Settings in force on an instance, as shown to operators. */
export interface SettingsStatus {
  /** Digest of the text from which the settings in force were read. */
  readonly digest: string;
  /** Wall-clock time since which they are in force, in ISO 8601 format. */
  readonly since: string;
  readonly lastReload?: ReloadRecord;
}

/** Records which settings are in force and how the last reload ended. */
export class SettingsTracker {
  readonly #clock: Clock;

  #status: SettingsStatus;

  /**
   * @param text - Text from which the settings in force were read.
   * @param clock - Source of the wall-clock time.
   */
  constructor(text: string, clock: Clock) {
    this.#clock = clock;
    this.#status = { digest: digestText(text), since: this.#formatTime() };
  }

  get status(): SettingsStatus {
    return this.#status;
  }

  /**
   * Records that a reload has put settings into force, or found no change.
   *
   * @param cause - What caused the reload.
   * @param text - Text from which the settings were read.
   * @param needsRestart - Names of changed settings that need a restart.
   * @returns The record.
   */
  recordApplied(cause: string, text: string, needsRestart: readonly string[]): ReloadRecord {
    const digest = digestText(text);
    const isUnchanged = digest === this.#status.digest;
    const outcome = isUnchanged ? 'unchanged' : 'applied';
    const record = { at: this.#formatTime(), cause, outcome, digest, needsRestart } as const;
    const since = isUnchanged ? this.#status.since : record.at;
    this.#status = { digest, since, lastReload: record };
    return record;
  }

  /**
   * Records that a reload has left the settings in force as they were.
   *
   * @param cause - What caused the reload.
   * @param reason - Why the new settings are not in force.
   * @param text - Text that was rejected; undefined when it could not be read.
   * @returns The record.
   */
  recordFailure(cause: string, reason: string, text?: string): ReloadRecord {
    const record: ReloadRecord = {
      at: this.#formatTime(),
      cause,
      outcome: text === undefined ? 'unreadable' : 'rejected',
      ...(text === undefined ? {} : { digest: digestText(text) }),
      reason,
      needsRestart: [],
    };
    this.#status = { ...this.#status, lastReload: record };
    return record;
  }

  #formatTime(): string {
    return new Date(this.#clock.readWallTime()).toISOString();
  }
}

function digestText(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, digestLength);
}
