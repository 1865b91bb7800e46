import { shuffle } from '@dotterelpass/values';
import type { InstanceId, Random } from '@dotterelpass/values';
import { GossipQueue } from './gossip.js';
import { isNewer, isPresent } from './member.js';
import type { Member } from './member.js';
import { maxGossipUpdates, maxPageEntries } from './message.js';

/** The entry of a member. */
export interface MemberRow {
  readonly member: Member;
  /** Monotonic time of the last change of the entry, in milliseconds. */
  readonly since: number;
}

/** The entries of all other members, present or not, and the updates to be disseminated. */
export class MemberTable {
  readonly #rows = new Map<InstanceId, MemberRow>();

  readonly #gossip = new GossipQueue();

  readonly #random: Random;

  /** Members that are still to be probed in this round, the next one last. */
  #probeRound: InstanceId[] = [];

  /** Index of the last row that was added to a message in rotation. */
  #cursor = 0;

  /** @param random - Shuffles the order of probes. */
  constructor(random: Random) {
    this.#random = random;
  }

  get rows(): readonly MemberRow[] {
    return [...this.#rows.values()];
  }

  /** Present members, in no order. */
  get present(): readonly Member[] {
    return this.rows.map(({ member }) => member).filter(isPresent);
  }

  /** @returns The row of an instance, if the table has one. */
  find(instance: InstanceId): MemberRow | undefined {
    return this.#rows.get(instance);
  }

  /**
   * Stores an update if it is newer than the present entry, and queues it for gossip.
   *
   * @param update - The received entry.
   * @param now - Monotonic time in milliseconds.
   * @returns Whether the update was stored. The death or leave of an unknown instance is ignored.
   */
  merge(update: Member, now: number): boolean {
    const known = this.#rows.get(update.instance);
    if (known ? !isNewer(update, known.member) : !isPresent(update)) return false;
    if (!known || !isPresent(known.member)) this.#addToProbeRound(update.instance);
    this.#rows.set(update.instance, { member: update, since: now });
    this.#gossip.add(update);
    return true;
  }

  /** @param ms - Time by which the suspicion timeout of every suspect is extended. */
  extendSuspicions(ms: number): void {
    for (const [instance, { member, since }] of this.#rows) {
      if (member.state === 'suspect') this.#rows.set(instance, { member, since: since + ms });
    }
  }

  remove(instance: InstanceId): void {
    this.#rows.delete(instance);
    this.#gossip.remove(instance);
  }

  /**
   * Picks the next member to probe. Each round probes every present member once, in shuffled order.
   *
   * @returns Undefined when no member is present.
   */
  pickProbeTarget(): Member | undefined {
    const { present } = this;
    if (present.length === 0) return undefined;
    for (;;) {
      if (this.#probeRound.length === 0) {
        this.#probeRound = shuffle(
          this.#random,
          present.map(({ instance }) => instance),
        );
      }
      const row = this.#rows.get(this.#probeRound.pop() as InstanceId);
      if (row && isPresent(row.member)) return row.member;
    }
  }

  /**
   * Picks the updates for one message: queued updates, then one table entry in rotation. The latter
   * makes the tables of all members equal even when all messages with an update were lost.
   */
  pickUpdates(): readonly Member[] {
    const updates = this.#gossip.pick(maxGossipUpdates, this.#rows.size + 1);
    const rows = [...this.#rows.values()];
    this.#cursor = (this.#cursor + 1) % Math.max(1, rows.length);
    const rotated = rows[this.#cursor]?.member;
    return rotated && !updates.includes(rotated) ? [...updates, rotated] : updates;
  }

  /**
   * Makes one page of the table, sorted by name.
   *
   * @param after - The page starts after this name.
   * @returns The entries, and the last name when more pages follow.
   */
  makePage(after: string): { readonly updates: readonly Member[]; readonly next?: string } {
    const rest = this.rows
      .map(({ member }) => member)
      .filter(({ instance }) => instance > after)
      .sort((a, b) => (a.instance < b.instance ? -1 : 1));
    const updates = rest.slice(0, maxPageEntries);
    return rest.length > updates.length ? { updates, next: updates.at(-1)?.instance } : { updates };
  }

  /** Inserts a new member at a random place, so that not all members probe it at the same time. */
  #addToProbeRound(instance: InstanceId): void {
    const index = Math.floor(this.#random.next() * (this.#probeRound.length + 1));
    this.#probeRound = [
      ...this.#probeRound.slice(0, index),
      instance,
      ...this.#probeRound.slice(index),
    ];
  }
}
