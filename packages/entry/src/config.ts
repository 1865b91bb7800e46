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

/** Why the platform's state of a service is refused. */
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

/** A watch waits this long for a change; the client abandons it 2 s later. */
const waitMs = 10_000;

/** Keeps the configuration in force up to date from the platform's watch, peers and operators. */
export class ConfigWatcher {
  readonly inForce = new ActiveConfiguration();

  readonly #platform: Pick<ConsulClient, 'read'>;

  readonly #log: Logger;

  readonly #metrics: Metrics;

  readonly #wentBack = new Map<ServiceId, PlatformRegression>();

  /** Number of the reading that was in progress when a document came in force. */
  readonly #appliedDuring = new Map<ServiceId, number>();

  #readings = 0;

  #ready = false;

  #stopped = false;

  constructor(platform: Pick<ConsulClient, 'read'>, log: Logger, metrics: Metrics) {
    this.#platform = platform;
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Whether a configuration has been read since the start. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Services whose accepted configuration the platform lost, as of the last reading. */
  get regressions(): readonly PlatformRegression[] {
    return [...this.#wentBack.values()];
  }

  /** The digests of all documents in force. */
  get digests(): readonly DocumentDigest[] {
    return this.inForce.digests;
  }

  /**
   * Offers a document that did not come with the watch.
   *
   * @param document - The document, as `readDocument` gave it.
   * @param source - Where it came from.
   * @returns What came of it; only `applied` has changed the configuration in force.
   */
  offer(document: ServiceDocument, source: DocumentSource): ActivationOutcome {
    const { revision, service } = document;
    const outcome = this.inForce.activate(document);
    if (outcome === 'applied') {
      this.#appliedDuring.set(service.name, this.#readings);
      this.#log.info('config-in-force', { service: service.name, revision, source });
    } else if (outcome === 'conflicting' && source !== 'platform') {
      this.#log.error('config-conflict', { service: service.name, revision, source });
      this.#metrics.recordEvent('config-conflict', service.name);
    }
    return outcome;
  }

  /** Says that peers gave a configuration, so that the instance can serve in an outage. */
  setReady(): void {
    this.#ready = true;
  }

  /**
   * Registers a function that is called with each document after it came in force.
   *
   * @param listener - The function.
   */
  watch(listener: (document: ServiceDocument) => void): void {
    this.inForce.watch(listener);
  }

  /** Watches the platform until `stop` is called. */
  async watchPlatform(): Promise<void> {
    const backoff = new Backoff(systemRandom);
    let index: number | undefined;
    while (!this.#stopped) {
      const number = this.startReading();
      const waiting = index === undefined ? { consistent: true } : { waitIndex: index, waitMs };
      const reading = await this.#platform.read(servicePrefix, { recurse: true, ...waiting });
      if (reading.isErr()) {
        this.#log.warn('config-watch-failed', { reason: reading.error.message });
        this.#metrics.recordEvent('config-watch-failed');
        // Changes may have been missed, so the next reading does not wait for one.
        index = undefined;
        await backoff.sleep();
        continue;
      }
      backoff.reset();
      const back = index !== undefined && reading.value.index < index;
      const doubtful = this.receiveReading(reading.value, number);
      // An index that went back belongs to another history of the store: start over.
      index = back || doubtful ? undefined : reading.value.index;
      if (doubtful) await backoff.sleep();
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.#stopped = true;
  }

  /** @returns The number of a reading that is about to be requested. */
  startReading(): number {
    this.#readings += 1;
    return this.#readings;
  }

  /**
   * Takes a reading of all service documents. Nothing in it lowers a revision in force.
   *
   * @param reading - The platform's answer.
   * @param number - From `startReading`, before the reading was requested.
   * @returns Whether the reading is behind a document that came in force while it was under way.
   * Such a reading proves nothing about the platform, so it has to be repeated.
   */
  receiveReading(reading: ReadResult, number: number): boolean {
    const seen = new Set<ServiceId>();
    let doubtful = false;
    for (const { key, value } of reading.entries) {
      const document = parseDocument(value);
      const name = key.slice(servicePrefix.length) as ServiceId;
      if (document.isErr() || document.value.service.name !== name) {
        const reason = document.isErr() ? document.error : 'it names another service';
        this.#log.error('config-unreadable', { document: key, reason });
        this.#metrics.recordEvent('config-unreadable');
        continue;
      }
      seen.add(name);
      const outcome = this.offer(document.value, 'platform');
      if (outcome === 'applied' || outcome === 'known') this.#wentBack.delete(name);
      else doubtful = this.#recordDoubt(name, outcome, number, document.value.revision) || doubtful;
    }
    for (const { service } of this.inForce.digests) {
      if (!seen.has(service)) doubtful = this.#recordDoubt(service, 'missing', number) || doubtful;
    }
    this.#ready = true;
    return doubtful;
  }

  #recordDoubt(
    service: ServiceId,
    reason: RegressionReason,
    number: number,
    platformRevision?: number,
  ): boolean {
    this.#metrics.recordEvent('config-reading-refused', service);
    if ((this.#appliedDuring.get(service) ?? 0) >= number) return true;
    const revision = this.inForce.findDocument(service)?.revision ?? 0;
    const before = this.#wentBack.get(service);
    const now: PlatformRegression = { service, reason, revision, platformRevision };
    this.#wentBack.set(service, now);
    if (JSON.stringify(before) !== JSON.stringify(now)) {
      this.#log.error('platform-went-back', { ...now });
      this.#metrics.recordEvent('platform-went-back', service);
    }
    return false;
  }
}
