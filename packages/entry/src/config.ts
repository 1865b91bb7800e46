import { InForce, readDocument } from '@dotterelpass/configuration';
import type { PlatformClient } from '@dotterelpass/platform';
import type { Log, Metrics } from '@dotterelpass/telemetry';
import { systemRandom } from '@dotterelpass/values';

/** Keys of the service documents on the platform. */
export const servicePrefix = 'config/services/';

const waitMs = 10_000;
const minBackoffMs = 50;
const maxBackoffMs = 2000;

/** Keeps the configuration in force up to date from the platform's watch. */
export class ConfigFeed {
  readonly inForce = new InForce();

  readonly #platform: PlatformClient;

  readonly #log: Log;

  readonly #metrics: Metrics;

  #ready = false;

  #stopped = false;

  constructor(platform: PlatformClient, log: Log, metrics: Metrics) {
    this.#platform = platform;
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Whether a configuration has been read since the start. */
  get ready(): boolean {
    return this.#ready;
  }

  /** Watches the platform until `stop` is called. */
  async run(): Promise<void> {
    let index: number | undefined;
    let backoffMs = minBackoffMs;
    while (!this.#stopped) {
      const waiting = index === undefined ? {} : { waitIndex: index, waitMs };
      const reading = await this.#platform.read(servicePrefix, { recurse: true, ...waiting });
      if (reading.isErr()) {
        this.#log.warn('config-watch-failed', { reason: reading.error.message });
        this.#metrics.recordEvent('config-watch-failed');
        await sleep(backoffMs * systemRandom.next());
        backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
        index = undefined;
        continue;
      }
      backoffMs = minBackoffMs;
      // An index that went down means that the store was restored: start over.
      index = index !== undefined && reading.value.index < index ? undefined : reading.value.index;
      for (const { key, value } of reading.value.entries) this.#apply(key, value);
      this.#ready = true;
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.#stopped = true;
  }

  #apply(key: string, value: Buffer): void {
    const document = readDocument(value);
    if (document.isErr()) {
      this.#log.error('config-unreadable', { document: key, reason: document.error });
      this.#metrics.recordEvent('config-unreadable');
      return;
    }
    const { revision, service } = document.value;
    const outcome = this.inForce.offer(document.value);
    if (outcome === 'applied') {
      this.#log.info('config-in-force', { service: service.name, revision });
    } else if (outcome !== 'known') {
      this.#log.error('platform-went-back', { service: service.name, revision, outcome });
      this.#metrics.recordEvent('platform-went-back', service.name);
    }
  }
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
