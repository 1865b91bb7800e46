import { Backoff } from '@dotterelpass/store';
import type { RegisteredInstance, ConsulClient } from '@dotterelpass/store';
import type { Logger } from '@dotterelpass/telemetry';
import { systemRandom } from '@dotterelpass/values';
import type { InstanceId } from '@dotterelpass/values';
import type { FleetMembers } from './members.js';

/** Service name under which entry instances are registered on the platform. */
export const entryServiceName = 'dotterelpass-entry';

/** Metadata field of a registered instance that holds its address for peers. */
const peerAddressField = 'peer';

/** Mean time between reads of the list, in milliseconds; 200 instances make 20 reads/s. */
const readIntervalMs = 10_000;

/** Mean time between the first reads, in milliseconds; just after the start the list may lag. */
const initialReadIntervalMs = 1000;

/** Number of reads at the shorter interval. */
const initialReadCount = 10;

type Platform = Pick<ConsulClient, 'registerInstance' | 'deregisterInstance' | 'readInstances'>;

/**
 * Keeps this instance registered on the platform and reads the list of registered instances, which
 * become candidates for membership.
 */
export class Registration {
  readonly #platform: Platform;

  readonly #members: FleetMembers;

  readonly #seeds: ReadonlyMap<InstanceId, string>;

  readonly #log: Logger;

  readonly #backoff = new Backoff(systemRandom, 100, readIntervalMs);

  #stopped = false;

  #readCount = 0;

  /**
   * @param platform - Client of the platform.
   * @param members - Receives the candidates.
   * @param seeds - Peer addresses of instances that are candidates even when the list lacks them.
   * @param log - Receives failures.
   */
  constructor(
    platform: Platform,
    members: FleetMembers,
    seeds: ReadonlyMap<InstanceId, string>,
    log: Logger,
  ) {
    this.#platform = platform;
    this.#members = members;
    this.#seeds = seeds;
    this.#log = log;
    if (seeds.size > 0) members.setCandidates(seeds);
  }

  /**
   * Registers this instance and reads the list periodically until `stop` is called.
   *
   * @param self - The list entry of this instance, with its address for callers.
   * @param peerAddress - IP address and port for peers.
   */
  async maintain(self: Omit<RegisteredInstance, 'leaving'>, peerAddress: string): Promise<void> {
    const entry = {
      ...self,
      leaving: false,
      meta: { ...self.meta, [peerAddressField]: peerAddress },
    };
    while (!this.#stopped) {
      const list = await this.#platform.readInstances(entryServiceName);
      if (this.#stopped) return;
      if (list.isErr()) {
        this.#log.warn('list-failed', { reason: list.error.message });
        await this.#backoff.sleep();
        continue;
      }
      this.#backoff.reset();
      this.#updateCandidates(list.value);
      const own = list.value.find(({ id }) => id === self.id);
      // The list lags, so an entry just written may be missing. Registering again is harmless.
      if (own?.meta[peerAddressField] !== peerAddress || own.leaving) await this.#register(entry);
      this.#readCount += 1;
      // Without jitter, instances that started together would read at the same time.
      const meanMs = this.#readCount < initialReadCount ? initialReadIntervalMs : readIntervalMs;
      await sleep(meanMs * (0.5 + systemRandom.next()));
    }
  }

  /** Deregisters this instance once; when the platform is unavailable, the list entry stays. */
  async stop(): Promise<void> {
    this.#stopped = true;
    const removed = await this.#platform.deregisterInstance(this.#members.self);
    if (removed.isErr()) this.#log.warn('deregister-failed', { reason: removed.error.message });
  }

  async #register(entry: RegisteredInstance): Promise<void> {
    const registered = await this.#platform.registerInstance(entryServiceName, entry);
    if (registered.isErr()) this.#log.warn('register-failed', { reason: registered.error.message });
  }

  #updateCandidates(list: readonly RegisteredInstance[]): void {
    const candidates = new Map(this.#seeds);
    for (const { id, leaving, meta } of list) {
      const address = meta[peerAddressField];
      if (address !== undefined && !leaving) candidates.set(id as InstanceId, address);
    }
    this.#members.setCandidates(candidates);
    this.#members.recordListRead();
  }
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
