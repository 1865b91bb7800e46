import { setTimeout as sleep } from 'node:timers/promises';
import { PeerHub } from '@dotterelpass/peers';
import type { Body } from '@dotterelpass/peers';
import type { StoreItem } from '@dotterelpass/store';
import type { Log } from '@dotterelpass/telemetry';
import type { Clock, Incarnation, InstanceId, Random } from '@dotterelpass/values';
import type { Feed, Knowledge } from './feed.js';

/** Time for which the store must fail before peers are asked, in milliseconds. */
const patienceMs = 300;

/** Time between questions to peers while the store fails, in milliseconds. */
const askMs = 500;

/** Time for the answer of a peer, in milliseconds. */
const answerMs = 400;

const question = 'knowledge';

export interface RelayOptions {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly ip: string;
  readonly port: number;
  readonly feed: Feed;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
}

/**
 * Gives an instance that the store turns away what others read there. While the store answers,
 * no message is sent and no link is open.
 */
export class Relay {
  readonly #options: RelayOptions;

  #hub: PeerHub | undefined;

  #stopped = false;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /**
   * Takes the shared key and the peers' addresses as the store has them.
   *
   * @param peerKey - The key; the first one is used until the process ends.
   * @param addresses - The peers.
   */
  setPeers(peerKey: string, addresses: ReadonlyMap<InstanceId, string>): void {
    this.#hub ??= this.#open(peerKey);
    const hub = this.#hub;
    addresses.forEach((address, instance) => hub.setAddress(instance, address));
    [...hub.known.keys()]
      .filter((instance) => !addresses.has(instance))
      .forEach((instance) => hub.removeAddress(instance));
  }

  /** Asks peers whenever the store fails, until `stop`. */
  async run(): Promise<void> {
    const { feed, clock } = this.#options;
    while (!this.#stopped) {
      await sleep(askMs);
      const { lostSince } = feed;
      if (lostSince !== undefined && clock.now() - lostSince > patienceMs) await this.#ask();
    }
  }

  stop(): void {
    this.#stopped = true;
    this.#hub?.close();
  }

  #open(peerKey: string): PeerHub {
    const { instance, incarnation, ip, port, feed, log } = this.#options;
    const hub = new PeerHub({ instance, incarnation }, peerKey, log);
    hub.handle(question, ({ revision, catalogRevision }) =>
      encode(feed.knowledge, Number(revision), Number(catalogRevision)),
    );
    hub.open(ip, port).catch((error: Error) => {
      log.error('peer-port-unusable', { port, reason: error.message });
    });
    return hub;
  }

  /** Asks the peers one by one until one has news. */
  async #ask(): Promise<void> {
    const { feed, random, log } = this.#options;
    const hub = this.#hub;
    if (!hub) return;
    const peers = [...hub.known.keys()]
      .map((peer) => ({ peer, rank: random.next() }))
      .sort((a, b) => a.rank - b.rank);
    for (const { peer } of peers) {
      const { listing, catalog } = feed.knowledge;
      const body = { revision: listing?.revision ?? 0, catalogRevision: catalog?.revision ?? 0 };
      const answer = await hub.request(peer, question, body, answerMs);
      if (answer.isOk()) {
        const knowledge = decode(answer.value, feed.knowledge);
        if (!knowledge.listing && !knowledge.catalog) continue;
        log.info('knowledge-from-peer', {
          peer,
          listingRevision: knowledge.listing?.revision,
          listingAgeMs: Math.round(knowledge.listingAgeMs),
          catalogRevision: knowledge.catalog?.revision,
        });
        feed.receive(knowledge, peer);
        if (knowledge.listing) return;
      }
    }
  }
}

/** Only items that changed since the asker's revision travel, with the keys that still exist. */
function encode(
  { catalog, listing, listingAgeMs }: Knowledge,
  revision: number,
  catalogRevision: number,
): Body {
  return {
    catalog: catalog && catalog.revision > catalogRevision ? { ...catalog } : null,
    listing:
      listing && listing.revision > revision
        ? {
            revision: listing.revision,
            keys: listing.items.map(({ key }) => key),
            items: listing.items
              .filter((item) => item.revision > revision)
              .map((item) => ({ ...item })),
          }
        : null,
    listingAgeMs,
  };
}

interface WireKnowledge {
  readonly catalog: StoreItem | null;
  readonly listing: {
    readonly revision: number;
    readonly keys: readonly string[];
    readonly items: readonly StoreItem[];
  } | null;
  readonly listingAgeMs: number;
}

function decode(body: Body, own: Knowledge): Knowledge {
  const { catalog, listing, listingAgeMs } = body as unknown as WireKnowledge;
  if (!listing) return { catalog: catalog ?? undefined, listing: undefined, listingAgeMs };
  const items = new Map(own.listing?.items.map((item) => [item.key, item]));
  listing.items.forEach((item) => items.set(item.key, item));
  const kept = listing.keys.flatMap((key) => items.get(key) ?? []);
  return {
    catalog: catalog ?? undefined,
    listing: { items: kept, revision: listing.revision },
    listingAgeMs,
  };
}
