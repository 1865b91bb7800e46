import type { InstanceId } from '@dotterelpass/values';
import type { Member } from './member.js';

/**
 * Each update is sent this many times the binary logarithm of the number of members. With 3 it
 * reaches all members while 5% of the messages are lost.
 */
const retransmitFactor = 3;

/** The updates that are still to be disseminated, each a bounded number of times. */
export class GossipQueue {
  readonly #updates = new Map<InstanceId, { readonly member: Member; readonly sent: number }>();

  /** @param member - Update that replaces a queued update of the same instance. */
  add(member: Member): void {
    this.#updates.set(member.instance, { member, sent: 0 });
  }

  /** @param instance - The instance whose update is removed from the queue. */
  remove(instance: InstanceId): void {
    this.#updates.delete(instance);
  }

  /**
   * Picks the updates that have been sent the fewest times, and counts them as sent.
   *
   * @param maxUpdates - Maximum number of updates to pick.
   * @param memberCount - Number of members, which bounds how often each update is sent.
   */
  pick(maxUpdates: number, memberCount: number): readonly Member[] {
    if (this.#updates.size === 0) return [];
    const maxSends = Math.ceil(retransmitFactor * Math.log2(memberCount + 2));
    const picked = [...this.#updates.values()].sort((a, b) => a.sent - b.sent).slice(0, maxUpdates);
    for (const { member, sent } of picked) {
      if (sent + 1 >= maxSends) this.#updates.delete(member.instance);
      else this.#updates.set(member.instance, { member, sent: sent + 1 });
    }
    return picked.map(({ member }) => member);
  }
}
