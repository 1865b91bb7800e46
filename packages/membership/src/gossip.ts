import type { InstanceId } from '@dotterelpass/values';
import type { Member } from './member.js';

/** Sendings of one update for each doubling of the fleet; 3 reach all members at 5% loss. */
const sendingsPerDoubling = 3;

/** The updates that still have to be passed on, each a bounded number of times. */
export class Gossip {
  readonly #updates = new Map<InstanceId, { readonly member: Member; readonly sent: number }>();

  /** @param member - News that replaces older news of the same instance. */
  add(member: Member): void {
    this.#updates.set(member.instance, { member, sent: 0 });
  }

  /** @param instance - Has no more news to pass on. */
  remove(instance: InstanceId): void {
    this.#updates.delete(instance);
  }

  /**
   * Picks the updates that have been sent least, and counts them as sent.
   *
   * @param max - Most updates to pick.
   * @param fleet - Number of members, which bounds the sendings of each update.
   */
  pick(max: number, fleet: number): readonly Member[] {
    if (this.#updates.size === 0) return [];
    const limit = Math.ceil(sendingsPerDoubling * Math.log2(fleet + 2));
    const picked = [...this.#updates.values()].sort((a, b) => a.sent - b.sent).slice(0, max);
    for (const { member, sent } of picked) {
      if (sent + 1 >= limit) this.#updates.delete(member.instance);
      else this.#updates.set(member.instance, { member, sent: sent + 1 });
    }
    return picked.map(({ member }) => member);
  }
}
