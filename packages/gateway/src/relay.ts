import { setTimeout as sleep } from 'node:timers/promises';
import { PeerTransport } from '@dotterelpass/peers';
import type { Logger } from '@dotterelpass/telemetry';
import type { Clock, FailureDomain, Incarnation, InstanceId, Random } from '@dotterelpass/values';
import type { Feed, Knowledge } from './feed.js';
import type { Fleet, FleetKeys, Peer } from './fleet.js';

/** Time for which the store must fail before instances elsewhere are asked, in milliseconds. */
const patienceMs = 300;

/** Time between rounds of questions while no peer has fresh answers, in milliseconds. */
const askMs = 400;

/** Time between an answer and the next question to the same peer, in milliseconds. */
const pauseMs = 20;

/** Time for the answer of a peer that has one at hand, in milliseconds. */
const answerMs = 400;

/** Time for which an answer is held back until there is news, in milliseconds. */
const newsMs = 1300;

/** Time for which a peer that did not answer is not asked, in milliseconds. */
const avoidMs = 5000;

/** Peers asked in turn that may read for this instance, and of all others while the store fails. */
const maxReaders = 2;
const maxOthers = 3;

/** Time for which the same others are asked, in milliseconds. */
const keepOthersMs = 3000;

const question = 'knowledge';

export interface RelayOptions {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  readonly ip: string;
  readonly port: number;
  readonly feed: Feed;
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/**
 * Shares what is read from the store. In each failure domain the instance whose name comes first
 * tells the others, and the first of these reads the store for all. Each asks its own source, which
 * answers when it has news. One that gets no fresh answer reads for itself, and one that the store
 * turns away asks any others.
 */
export class Relay {
  readonly #options: RelayOptions;

  #hub: PeerTransport | undefined;

  #peers: ReadonlyMap<InstanceId, Peer> = new Map();

  readonly #avoidUntil = new Map<InstanceId, number>();

  /** Whose answers make readings of the store needless at present. */
  #source: InstanceId | undefined;

  /** Number of the last news of this instance. */
  #news = 0;

  /** Peers elsewhere that are asked while the store fails, and until when. */
  #others: readonly InstanceId[] = [];

  #othersUntil = -Infinity;

  /** Ends the waits for news. */
  #waiting: (() => void)[] = [];

  /** Number of the last news that the source has told. */
  #heard: number | undefined;

  #stopped = false;

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** The instance that reads the store for this one; undefined when there is none. */
  get source(): InstanceId | undefined {
    return this.#source;
  }

  /**
   * Takes the shared key and the peers as the store has them.
   *
   * @param peerKey - The key; the first one is used until the process ends.
   * @param peers - The peers.
   */
  setPeers(peerKey: string, peers: ReadonlyMap<InstanceId, Peer>): void {
    this.#hub ??= this.#open(peerKey);
    const hub = this.#hub;
    this.#peers = peers;
    peers.forEach(({ address }, instance) => hub.setAddress(instance, address));
    [...hub.addresses.keys()]
      .filter((instance) => !peers.has(instance))
      .forEach((instance) => hub.removeAddress(instance));
  }

  /** Asks peers, until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (this.#hub) await this.#refresh(this.#hub);
      await sleep(this.#source === undefined ? askMs : pauseMs);
    }
  }

  /** Tells those who wait that this instance knows something newer. */
  announce(): void {
    this.#news += 1;
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((end) => end());
  }

  stop(): void {
    this.#stopped = true;
    this.announce();
    this.#hub?.close();
  }

  #open(peerKey: string): PeerTransport {
    const { instance, incarnation, ip, port, feed, fleet, clock, log } = this.#options;
    const hub = new PeerTransport({ instance, incarnation }, peerKey, log);
    hub.handle(question, async (body) => {
      const { registrations, catalog, fleetDigest, heard } = body as unknown as Question;
      feed.share();
      const askedAt = clock.now();
      if (heard === this.#news) await this.#waitForNews();
      const knowledge = feed.tell(registrations, catalog);
      const heldMs = clock.now() - askedAt;
      return { ...knowledge, fleet: fleet.tell(fleetDigest), news: this.#news, heldMs };
    });
    hub.listen(ip, port).catch((error: Error) => {
      log.error('peer-port-unusable', { port, reason: error.message });
    });
    return hub;
  }

  async #waitForNews(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, newsMs);
      this.#waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Asks peers one by one until one has made what is known fresh. */
  async #refresh(hub: PeerTransport): Promise<void> {
    const { feed, fleet, clock } = this.#options;
    let source: InstanceId | undefined;
    const readers = this.#findReaders();
    for (const peer of [...readers, ...this.#findOthers(readers)]) {
      const heard = peer === this.#source ? this.#heard : undefined;
      const body: Question = { ...feed.revisions, fleetDigest: fleet.digest, heard };
      const waitMs = heard === undefined ? answerMs : answerMs + newsMs;
      const askedAt = clock.now();
      const answer = await hub.request(peer, question, { ...body }, waitMs);
      if (this.#stopped) return;
      if (answer.isErr()) {
        this.#avoidUntil.set(peer, clock.now() + avoidMs);
        this.#options.log.info('peer-silent', { peer, reason: answer.error.message });
        continue;
      }
      const told = answer.value as unknown as Answer;
      if (readers.includes(peer)) feed.follow();
      this.#receive(told, peer, clock.now() - askedAt - told.heldMs);
      if (!feed.isFresh) continue;
      source = peer;
      this.#heard = told.news;
      break;
    }
    this.#setSource(source);
  }

  /** @param travelMs - Time on the way, which ages what is told, in milliseconds. */
  #receive({ fleet: keys, ...told }: Answer, peer: InstanceId, travelMs: number): void {
    const { feed, fleet, log } = this.#options;
    const { registrations, catalog } = told;
    const listedAgeMs = told.listedAgeMs + travelMs;
    const { items, removed, revision } = registrations;
    if (items.length > 0 || removed.length > 0 || catalog) {
      log.info('knowledge-from-peer', {
        peer,
        revision,
        listedAgeMs: Math.round(listedAgeMs),
        changed: items.length,
        removed: removed.length,
        catalogRevision: catalog?.revision,
      });
    }
    const catalogAgeMs = told.catalogAgeMs + travelMs;
    feed.receive({ catalog, registrations, listedAgeMs, catalogAgeMs }, peer);
    fleet.receive({ ...keys, ageMs: keys.ageMs + travelMs });
  }

  #setSource(source: InstanceId | undefined): void {
    if (source === this.#source) return;
    const { log, feed } = this.#options;
    log.info('store-reader', { before: this.#source, now: source, ageMs: feed.listedAgeMs });
    this.#source = source;
  }

  /** Who may read the store for this instance, in the order in which they are asked. */
  #findReaders(): readonly InstanceId[] {
    const { instance, failureDomain } = this.#options;
    return findReaders(instance, failureDomain, this.#findOpen()).slice(0, maxReaders);
  }

  /** Some others, while the store does not answer this instance. */
  #findOthers(readers: readonly InstanceId[]): readonly InstanceId[] {
    const { feed, clock, random } = this.#options;
    const { lostSince } = feed;
    if (lostSince === undefined || clock.now() - lostSince <= patienceMs) return [];
    const now = clock.now();
    const open = this.#findOpen().map(([peer]) => peer);
    // Each new one costs a link, so they stay for some time.
    if (now >= this.#othersUntil || !this.#others.every((peer) => open.includes(peer))) {
      this.#othersUntil = now + keepOthersMs;
      this.#others = open
        .filter((peer) => !readers.includes(peer))
        // The present source stays: its answers wait for news.
        .map((peer) => ({ peer, rank: peer === this.#source ? -1 : random.next() }))
        .sort((a, b) => a.rank - b.rank)
        .slice(0, maxOthers)
        .map(({ peer }) => peer);
    }
    return this.#others;
  }

  /** The peers that may be asked now, by name. */
  #findOpen(): readonly (readonly [InstanceId, Peer])[] {
    const now = this.#options.clock.now();
    return [...this.#peers]
      .filter(([peer]) => (this.#avoidUntil.get(peer) ?? 0) <= now)
      .sort(([a], [b]) => (a < b ? -1 : 1));
  }
}

/** What the asker knows. */
interface Question {
  /** Revisions. */
  readonly registrations: number;
  readonly catalog: number;
  readonly fleetDigest: string;
  /** Number of the last news from the one who is asked; undefined for an answer at once. */
  readonly heard: number | undefined;
}

interface Answer extends Knowledge {
  readonly fleet: FleetKeys;
  /** Number of the last news. */
  readonly news: number;
  /** Time for which the question was held until there was news, in milliseconds. */
  readonly heldMs: number;
}

/**
 * Finds who may read the store for an instance: whoever comes before it in its failure domain, or
 * for the first one there, the first ones of other domains that come before it.
 *
 * @param peers - The other instances, by name.
 */
function findReaders(
  instance: InstanceId,
  domain: FailureDomain,
  peers: readonly (readonly [InstanceId, Peer])[],
): readonly InstanceId[] {
  const earlier = peers.filter(([peer]) => peer < instance);
  const near = earlier.filter(([, { failureDomain }]) => failureDomain === domain);
  const firsts = earlier.filter(
    ([, { failureDomain }], index) =>
      earlier.findIndex(([, other]) => other.failureDomain === failureDomain) === index,
  );
  return (near.length > 0 ? near : firsts).map(([peer]) => peer);
}
