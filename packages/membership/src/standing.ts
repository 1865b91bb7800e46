import { rankIncarnations } from './member.js';
import type { Member } from './member.js';

/** This instance's own entry, and whether it may count itself live. */
export class Standing {
  #entry: Member;

  #joined = false;

  #superseded = false;

  /** An acknowledgement of a ping with this or a later number confirms this instance. */
  #confirmedFrom: number | undefined;

  /** @param self - Name, incarnation and peer address of this instance. */
  constructor(self: Pick<Member, 'instance' | 'incarnation' | 'address'>) {
    this.#entry = { ...self, refutation: 0, state: 'live' };
  }

  /** What this instance tells others of itself. */
  get entry(): Member {
    return this.#entry;
  }

  get isJoined(): boolean {
    return this.#joined;
  }

  get isSuperseded(): boolean {
    return this.#superseded;
  }

  /** Whether this instance may use what belongs to live members. */
  get isLive(): boolean {
    const confirmed = this.#confirmedFrom === undefined;
    return this.#joined && confirmed && !this.#superseded && this.#entry.state === 'live';
  }

  /**
   * Takes in what others say of this instance, and refutes a suspicion or a declared death.
   *
   * @param update - The entry under this instance's name.
   * @param sequence - Number of the next ping; only its acknowledgement confirms a refutation.
   */
  apply(update: Member, sequence: number): void {
    const order = rankIncarnations(update.incarnation, this.#entry.incarnation);
    if (order > 0) this.#superseded = true;
    if (order !== 0 || this.#entry.state === 'left') return;
    const accused = update.state === 'suspect' || update.state === 'dead';
    if (!accused || update.refutation < this.#entry.refutation) return;
    this.#entry = { ...this.#entry, refutation: update.refutation + 1 };
    if (update.state === 'dead') this.#confirmedFrom = sequence;
  }

  /** After a pause others may have declared this instance dead: it must hear from them first. */
  setUnconfirmed(sequence: number): void {
    this.#entry = { ...this.#entry, refutation: this.#entry.refutation + 1 };
    this.#confirmedFrom = sequence;
  }

  /** @param sequence - Number of a ping that was acknowledged with the present refutation. */
  setConfirmed(sequence: number): void {
    if (sequence >= (this.#confirmedFrom ?? 0)) this.#confirmedFrom = undefined;
  }

  /** Nobody is present whose view could differ. */
  setAlone(): void {
    this.#confirmedFrom = undefined;
  }

  /** The first answer has come, or there is nobody to wait for. */
  setJoined(): void {
    this.#joined = true;
  }

  setLeft(): void {
    this.#entry = { ...this.#entry, state: 'left' };
  }
}
