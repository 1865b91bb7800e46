import { ActiveConfiguration, parseDocument } from '@dotterelpass/configuration';
import type {
  DocumentDigest,
  ActivationOutcome,
  ServiceDocument,
} from '@dotterelpass/configuration';
import type { ConsulClient, ReadResult } from '@dotterelpass/store';
import { Backoff } from '@dotterelpass/store';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { systemRandom } from '@dotterelpass/values';
import type { ServiceId } from '@dotterelpass/values';

/** Keys of the service documents on the platform. */
export const servicePrefix = 'config/services/';

/** Where a document came from. */
export type DocumentSource = 'platform' | 'peer' | 'operator';

/**
 * Why the platform's document of a service is rejected: its revision is lower than the one in force,
 * it differs at the same revision, or it does not exist.
 */
export type RegressionReason = 'older' | 'conflicting' | 'missing';

/** A service whose accepted configuration the platform no longer holds. */
export interface PlatformRegression {
  readonly service: ServiceId;
  readonly reason: RegressionReason;
  /** Revision in force on this instance. */
  readonly revision: number;
  /** Revision on the platform, unless the document is missing. */
  readonly platformRevision?: number;
}

/**
 * Longest time for which the platform holds a watch request, in milliseconds; the client abandons
 * the request 2 s later.
 */
const watchTimeoutMs = 10_000;

/**
 * Keeps the configuration in force up to date with documents from the platform's watch, from peers
 * and from operators.
 */
export class ConfigWatcher {
  readonly activeConfiguration = new ActiveConfiguration();

  readonly #platform: Pick<ConsulClient, 'read'>;

  readonly #log: Logger;

  readonly #metrics: Metrics;

  readonly #regressions = new Map<ServiceId, PlatformRegression>();

  /** Number of the newest reading that had started when a service's document came into force. */
  readonly #activatedDuring = new Map<ServiceId, number>();

  #readingCount = 0;

  #ready = false;

  #stopped = false;

  constructor(platform: Pick<ConsulClient, 'read'>, log: Logger, metrics: Metrics) {
    this.#platform = platform;
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Whether a configuration was received from the platform or a peer since the start. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Services whose configuration in force the platform no longer held at the last reading. */
  get regressions(): readonly PlatformRegression[] {
    return [...this.#regressions.values()];
  }

  /** The digests of all documents in force. */
  get digests(): readonly DocumentDigest[] {
    return this.activeConfiguration.digests;
  }

  /**
   * Puts a document into force if its revision is newer than the one in force.
   *
   * @param document - A document that `parseDocument` returned.
   * @param source - Where the document came from.
   * @returns The outcome; only `applied` means that the configuration in force changed.
   */
  offer(document: ServiceDocument, source: DocumentSource): ActivationOutcome {
    const { revision, service } = document;
    const outcome = this.activeConfiguration.activate(document);
    if (outcome === 'applied') {
      this.#activatedDuring.set(service.name, this.#readingCount);
      this.#log.info('config-in-force', { service: service.name, revision, source });
    } else if (outcome === 'conflicting' && source !== 'platform') {
      this.#log.error('config-conflict', { service: service.name, revision, source });
      this.#metrics.recordEvent('config-conflict', service.name);
    }
    return outcome;
  }

  /**
   * Marks the configuration as received from a peer, so that the instance can serve calls while the
   * platform is unavailable.
   */
  setReady(): void {
    this.#ready = true;
  }

  /**
   * Registers a listener for documents that come into force.
   *
   * @param listener - Called with each document after it came into force.
   */
  watch(listener: (document: ServiceDocument) => void): void {
    this.activeConfiguration.watch(listener);
  }

  /** Watches the platform until `stop` is called. */
  async watchPlatform(): Promise<void> {
    const backoff = new Backoff(systemRandom);
    let index: number | undefined;
    while (!this.#stopped) {
      const readNumber = this.startReading();
      const options =
        index === undefined ? { consistent: true } : { waitIndex: index, waitMs: watchTimeoutMs };
      const reading = await this.#platform.read(servicePrefix, { recurse: true, ...options });
      if (reading.isErr()) {
        this.#log.warn('config-watch-failed', { reason: reading.error.message });
        this.#metrics.recordEvent('config-watch-failed');
        // Changes may have been missed, so the next reading returns at once instead of waiting for
        // the next change.
        index = undefined;
        await backoff.sleep();
        continue;
      }
      backoff.reset();
      const indexWentBack = index !== undefined && reading.value.index < index;
      const stale = this.receiveReading(reading.value, readNumber);
      // A lower index means that the store was reset or restored from a backup, so the watch starts
      // again without an index.
      index = indexWentBack || stale ? undefined : reading.value.index;
      if (stale) await backoff.sleep();
    }
  }

  /** Ends the watch after the request in progress. */
  stop(): void {
    this.#stopped = true;
  }

  /** @returns The number of a reading that is about to start. */
  startReading(): number {
    this.#readingCount += 1;
    return this.#readingCount;
  }

  /**
   * Puts the newer documents of a reading into force. A reading never lowers a revision in force.
   *
   * @param reading - The platform's answer, which holds all service documents.
   * @param readNumber - The result of `startReading` before the reading was requested.
   * @returns Whether the reading must be repeated: it is behind a document that came into force after
   * the reading started. Such a reading may just be stale, so it does not prove that the platform
   * lost the document.
   */
  receiveReading(reading: ReadResult, readNumber: number): boolean {
    const seen = new Set<ServiceId>();
    let stale = false;
    for (const { key, value } of reading.entries) {
      const document = parseDocument(value);
      const name = key.slice(servicePrefix.length) as ServiceId;
      if (document.isErr() || document.value.service.name !== name) {
        const reason = document.isErr()
          ? document.error
          : 'the document names a different service than its key';
        this.#log.error('config-unreadable', { document: key, reason });
        this.#metrics.recordEvent('config-unreadable');
        continue;
      }
      seen.add(name);
      const outcome = this.offer(document.value, 'platform');
      if (outcome === 'applied' || outcome === 'known') this.#regressions.delete(name);
      else
        stale = this.#recordRegression(name, outcome, readNumber, document.value.revision) || stale;
    }
    for (const { service } of this.activeConfiguration.digests) {
      if (!seen.has(service))
        stale = this.#recordRegression(service, 'missing', readNumber) || stale;
    }
    this.#ready = true;
    return stale;
  }

  /**
   * Records that the platform regressed for a service, unless the reading may just be stale.
   *
   * @returns Whether the reading may be stale, because the service's document came into force after
   * the reading started.
   */
  #recordRegression(
    service: ServiceId,
    reason: RegressionReason,
    readNumber: number,
    platformRevision?: number,
  ): boolean {
    this.#metrics.recordEvent('config-reading-refused', service);
    if ((this.#activatedDuring.get(service) ?? 0) >= readNumber) return true;
    const revision = this.activeConfiguration.findDocument(service)?.revision ?? 0;
    const previous = this.#regressions.get(service);
    const regression: PlatformRegression = { service, reason, revision, platformRevision };
    this.#regressions.set(service, regression);
    if (JSON.stringify(previous) !== JSON.stringify(regression)) {
      this.#log.error('platform-went-back', { ...regression });
      this.#metrics.recordEvent('platform-went-back', service);
    }
    return false;
  }
}
