import { Backoff } from '@dotterelpass/store';
import type { RegisteredInstance, ConsulClient } from '@dotterelpass/store';
import type { Logger } from '@dotterelpass/telemetry';
import { systemRandom } from '@dotterelpass/values';
import type { InstanceId } from '@dotterelpass/values';
import type { FleetMembers } from './members.js';

/** Name under which entry instances stand on the platform's list. */
export const entryServiceName = 'dotterelpass-entry';

/** Field of a list entry that holds the address for peers. */
const peerField = 'peer';

/** Mean time between readings of the list, in milliseconds; 200 instances make 20 reads/s. */
const readMs = 10_000;

/** Mean time between readings just after the start, while the list may still lag. */
const firstReadMs = 1000;

/** Number of readings just after the start. */
const firstReads = 10;

type Platform = Pick<ConsulClient, 'registerInstance' | 'deregisterInstance' | 'readInstances'>;

/** Keeps this instance on the platform's list, and takes names of others from it. */
export class Registration {
  readonly #platform: Platform;

  readonly #members: FleetMembers;

  readonly #seeds: ReadonlyMap<InstanceId, string>;

  readonly #log: Logger;

  readonly #backoff = new Backoff(systemRandom, 100, readMs);

  #stopped = false;

  #reads = 0;

  /**
   * @param platform - Client of the platform.
   * @param members - Takes the names.
   * @param seeds - Names that are tried whatever the list says.
   * @param log - Where failures are told.
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
   * Registers this instance and reads the list from time to time, until `stop` is called.
   *
   * @param self - The entry of this instance, for callers.
   * @param peerAddress - IP address and port for peers.
   */
  async maintain(self: Omit<RegisteredInstance, 'leaving'>, peerAddress: string): Promise<void> {
    const entry = { ...self, leaving: false, meta: { ...self.meta, [peerField]: peerAddress } };
    while (!this.#stopped) {
      const list = await this.#platform.readInstances(entryServiceName);
      if (this.#stopped) return;
      if (list.isErr()) {
        this.#log.warn('list-failed', { reason: list.error.message });
        await this.#backoff.sleep();
        continue;
      }
      this.#backoff.reset();
      this.#take(list.value);
      const own = list.value.find(({ id }) => id === self.id);
      // The list lags, so an entry just written may be missing; writing it again does no harm.
      if (own?.meta[peerField] !== peerAddress || own.leaving) await this.#register(entry);
      this.#reads += 1;
      // Jitter keeps instances that started together from reading together.
      const meanMs = this.#reads < firstReads ? firstReadMs : readMs;
      await sleep(meanMs * (0.5 + systemRandom.next()));
    }
  }

  /** Takes this instance off the list; when the platform is down, the entry stays. */
  async stop(): Promise<void> {
    this.#stopped = true;
    const removed = await this.#platform.deregisterInstance(this.#members.self);
    if (removed.isErr()) this.#log.warn('deregister-failed', { reason: removed.error.message });
  }

  async #register(entry: RegisteredInstance): Promise<void> {
    const registered = await this.#platform.registerInstance(entryServiceName, entry);
    if (registered.isErr()) this.#log.warn('register-failed', { reason: registered.error.message });
  }

  #take(list: readonly RegisteredInstance[]): void {
    const names = new Map(this.#seeds);
    for (const { id, leaving, meta } of list) {
      const address = meta[peerField];
      if (address !== undefined && !leaving) names.set(id as InstanceId, address);
    }
    this.#members.setCandidates(names);
    this.#members.recordListRead();
  }
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms).unref();
  });
}
