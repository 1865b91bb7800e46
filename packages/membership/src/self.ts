import { compareIncarnations } from './member.js';
import type { Member } from './member.js';

/** The entry of this instance, and whether it may regard itself as live. */
export class LocalMember {
  #entry: Member;

  #joined = false;

  #superseded = false;

  /**
   * An acknowledgement of a ping with this number or a higher one confirms that another member has
   * seen the current refutation. Undefined when no confirmation is needed.
   */
  #confirmingSequence: number | undefined;

  /** @param self - Name, incarnation and peer address of this instance. */
  constructor(self: Pick<Member, 'instance' | 'incarnation' | 'address'>) {
    this.#entry = { ...self, refutation: 0, state: 'live' };
  }

  /** The entry that is sent to other members. */
  get entry(): Member {
    return this.#entry;
  }

  get isJoined(): boolean {
    return this.#joined;
  }

  get isSuperseded(): boolean {
    return this.#superseded;
  }

  /** Whether this instance may act as a live member. */
  get isLive(): boolean {
    const confirmed = this.#confirmingSequence === undefined;
    return this.#joined && confirmed && !this.#superseded && this.#entry.state === 'live';
  }

  /**
   * Processes another member's entry of this instance, and refutes a suspicion or a declared death.
   *
   * @param update - The received entry.
   * @param sequence - Number of the next ping. Acknowledgements of earlier pings do not confirm a
   * refutation.
   */
  handleUpdate(update: Member, sequence: number): void {
    const order = compareIncarnations(update.incarnation, this.#entry.incarnation);
    if (order > 0) this.#superseded = true;
    if (order !== 0 || this.#entry.state === 'left') return;
    const needsRefutation = update.state === 'suspect' || update.state === 'dead';
    if (!needsRefutation || update.refutation < this.#entry.refutation) return;
    this.#entry = { ...this.#entry, refutation: update.refutation + 1 };
    if (update.state === 'dead') this.#confirmingSequence = sequence;
  }

  /**
   * Requires a new confirmation. After a pause of this process other members may have declared this
   * instance dead.
   *
   * @param sequence - Number of the next ping.
   */
  requireConfirmation(sequence: number): void {
    this.#entry = { ...this.#entry, refutation: this.#entry.refutation + 1 };
    this.#confirmingSequence = sequence;
  }

  /** @param sequence - Number of a ping that was acknowledged. */
  confirm(sequence: number): void {
    if (sequence >= (this.#confirmingSequence ?? 0)) this.#confirmingSequence = undefined;
  }

  /** Drops the required confirmation, because no other member is present to give it. */
  waiveConfirmation(): void {
    this.#confirmingSequence = undefined;
  }

  /** Marks this instance as joined: a member has answered, or there is none to wait for. */
  setJoined(): void {
    this.#joined = true;
  }

  setLeft(): void {
    this.#entry = { ...this.#entry, state: 'left' };
  }
}
