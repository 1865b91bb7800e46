import { shuffle } from '@dotterelpass/values';
import type { InstanceId, Random } from '@dotterelpass/values';
import { Gossip } from './gossip.js';
import { isNewer, isPresent } from './member.js';
import type { Member } from './member.js';
import { maxNews, maxPageLength } from './message.js';

/** What is known of a member, and since when, in monotonic milliseconds. */
export interface Row {
  readonly member: Member;
  readonly since: number;
}

/** All other members that are known, present or not, and the news about them. */
export class MemberTable {
  readonly #rows = new Map<InstanceId, Row>();

  readonly #gossip = new Gossip();

  readonly #random: Random;

  /** Names that are still to be pinged in this round. */
  #round: InstanceId[] = [];

  /** Where the next entry starts that fills up a message. */
  #cursor = 0;

  /** @param random - Shuffles the order of pings. */
  constructor(random: Random) {
    this.#random = random;
  }

  /** All known members with the time of their last change. */
  get rows(): readonly Row[] {
    return [...this.#rows.values()];
  }

  /** Present members, in no order. */
  get present(): readonly Member[] {
    return this.rows.map(({ member }) => member).filter(isPresent);
  }

  /** @returns What is known of an instance. */
  find(instance: InstanceId): Row | undefined {
    return this.#rows.get(instance);
  }

  /**
   * Takes over an update if it is newer than what is known.
   *
   * @param update - What was heard.
   * @param now - Monotonic time in milliseconds.
   * @returns Whether it was newer. The death of an unknown instance is no news.
   */
  apply(update: Member, now: number): boolean {
    const known = this.#rows.get(update.instance);
    if (known ? !isNewer(update, known.member) : !isPresent(update)) return false;
    if (!known || !isPresent(known.member)) this.#addToRound(update.instance);
    this.#rows.set(update.instance, { member: update, since: now });
    this.#gossip.add(update);
    return true;
  }

  /** @param ms - Time by which every suspect has longer to refute. */
  extendSuspicions(ms: number): void {
    for (const [instance, { member, since }] of this.#rows) {
      if (member.state === 'suspect') this.#rows.set(instance, { member, since: since + ms });
    }
  }

  /** Forgets a member. */
  remove(instance: InstanceId): void {
    this.#rows.delete(instance);
    this.#gossip.remove(instance);
  }

  /**
   * Picks the next member to ping: each present one once in a round, in shuffled order.
   *
   * @returns Undefined when no member is present.
   */
  pickNext(): Member | undefined {
    const { present } = this;
    if (present.length === 0) return undefined;
    for (;;) {
      if (this.#round.length === 0) {
        this.#round = shuffle(
          this.#random,
          present.map(({ instance }) => instance),
        );
      }
      const row = this.#rows.get(this.#round.pop() as InstanceId);
      if (row && isPresent(row.member)) return row.member;
    }
  }

  /**
   * Picks the updates for one message: news first, then one entry of the table in turn, so that
   * views become equal even when the news of a change was lost.
   */
  pickNews(): readonly Member[] {
    const news = this.#gossip.pick(maxNews, this.#rows.size + 1);
    const rows = [...this.#rows.values()];
    this.#cursor = (this.#cursor + 1) % Math.max(1, rows.length);
    const filler = rows[this.#cursor]?.member;
    return filler && !news.includes(filler) ? [...news, filler] : news;
  }

  /**
   * Makes one page of the table, sorted by name.
   *
   * @param after - The page starts behind this name.
   * @returns The entries, and the last name when more pages follow.
   */
  makePage(after: string): { readonly updates: readonly Member[]; readonly next?: string } {
    const rest = this.rows
      .map(({ member }) => member)
      .filter(({ instance }) => instance > after)
      .sort((a, b) => (a.instance < b.instance ? -1 : 1));
    const updates = rest.slice(0, maxPageLength);
    return rest.length > updates.length ? { updates, next: updates.at(-1)?.instance } : { updates };
  }

  /** A new member takes a random place in the round, so that it is not pinged by all at once. */
  #addToRound(instance: InstanceId): void {
    const place = Math.floor(this.#random.next() * (this.#round.length + 1));
    this.#round = [...this.#round.slice(0, place), instance, ...this.#round.slice(place)];
  }
}
