import { setTimeout as sleep } from 'node:timers/promises';
import type { KeyValueStore, StorePut } from '@dotterelpass/store';
import type { Logger } from '@dotterelpass/telemetry';
import type { EndpointCrash, RequestBan } from '@dotterelpass/suspects';
import type { InstanceLease } from './lease.js';

/** Prefix of the crash reports. They are not among the keys that the instances list and share. */
const reportPrefix = 'dotterelpass-crashes/';

/** Reports in one write: the store takes 32 entries, and each report is a condition and a write. */
const maxBatch = 16;

/** Time between two writes. Reports of a crash of many endpoints are written together. */
const batchIntervalMs = 100;

/** Maximum number of reports that wait to be written. */
const maxPending = 256;

export interface CrashReporterOptions {
  readonly store: KeyValueStore;
  readonly log: Logger;
  readonly lease: InstanceLease;
  /** Called when another incarnation of an endpoint has crashed while it ran the same request. */
  onSecondCrash(ban: RequestBan): void;
}

/**
 * Counts the crashes of endpoints by request over all instances. Each first crash creates a key in
 * the store, under which the next instance finds it at once, however late listings are.
 */
export class CrashReporter {
  readonly #options: CrashReporterOptions;

  /** Crashes to be reported, by fingerprint. */
  readonly #pending = new Map<string, EndpointCrash>();

  #isWriting = false;

  #stopped = false;

  constructor(options: CrashReporterOptions) {
    this.#options = options;
  }

  /**
   * Reports the first crash that this instance has seen of an endpoint that ran a request.
   *
   * @param fingerprint - Fingerprint of the request.
   * @param crash - The crash.
   */
  report(fingerprint: string, crash: EndpointCrash): void {
    if (this.#pending.size >= maxPending) {
      this.#options.log.warn('crash-unreported', { fingerprint, reason: 'too many reports' });
      return;
    }
    this.#pending.set(fingerprint, crash);
    if (!this.#isWriting) void this.#writeReports();
  }

  stop(): void {
    this.#stopped = true;
  }

  async #writeReports(): Promise<void> {
    this.#isWriting = true;
    while (this.#pending.size > 0 && !this.#stopped) {
      await sleep(batchIntervalMs);
      const batch = new Map([...this.#pending].slice(0, maxBatch));
      batch.forEach((_crash, fingerprint) => this.#pending.delete(fingerprint));
      await this.#writeBatch(batch);
    }
    this.#isWriting = false;
  }

  /** Creates the keys of reports. Those that exist name an earlier crash. */
  async #writeBatch(batch: Map<string, EndpointCrash>): Promise<void> {
    const { store, lease, log, onSecondCrash } = this.#options;
    // A write with an existing key creates none, and is repeated without that key.
    while (batch.size > 0 && !this.#stopped) {
      const leaseId = await lease.getOrCreate();
      if (leaseId === undefined) return;
      const existing = await store.create([...batch].map((report) => createItem(report, leaseId)));
      if (existing.isErr()) {
        if (existing.error.kind === 'refused') lease.drop();
        const fingerprints = [...batch.keys()];
        log.warn('crash-unreported', { fingerprints, reason: existing.error.message });
        return;
      }
      const { size } = batch;
      existing.value.forEach(({ key, value }) => {
        const fingerprint = key.slice(reportPrefix.length);
        const crash = batch.get(fingerprint);
        batch.delete(fingerprint);
        if (crash && value.toString() !== crash.incarnation) {
          onSecondCrash({ fingerprint, version: crash.version });
        }
      });
      // All were created, or the store names keys that do not explain why none was.
      if (batch.size === size) return;
    }
  }
}

function createItem([fingerprint, crash]: [string, EndpointCrash], lease: number): StorePut {
  return { key: reportPrefix + fingerprint, value: Buffer.from(crash.incarnation), lease };
}
