import type { Member } from './member.js';
import type { Message } from './message.js';

/** Carries messages of a detector; a message that cannot be delivered is lost. */
export interface Transport {
  /** @param to - Only `instance` and `address` matter: the receiver may be unknown so far. */
  send(to: Pick<Member, 'instance' | 'address'>, message: Message): void;
}

/** Times and bounds, in milliseconds. */
export interface DetectorOptions {
  /** Time between pings. A ping without an acknowledgement in this time raises a suspicion. */
  readonly periodMs: number;
  /** Time after which other members are asked to ping as well. */
  readonly pingMs: number;
  /** Time that a suspect has to refute. */
  readonly suspicionMs: number;
  /** Members that are asked to ping. */
  readonly helpers: number;
  /** Time after which an instance without any answer counts itself alone at the start. */
  readonly joinMs: number;
  /** A pause of this instance that others may have taken for its death. */
  readonly pauseMs: number;
  /** Time between attempts to reach an instance that is not present. */
  readonly retryMs: number;
  /** Time after which a dead or departed instance is forgotten. */
  readonly forgetMs: number;
}

export const defaultOptions: DetectorOptions = {
  periodMs: 200,
  pingMs: 100,
  suspicionMs: 1000,
  helpers: 3,
  joinMs: 1000,
  // Half of the suspicion time: others cannot declare this instance dead in a shorter pause.
  pauseMs: 500,
  retryMs: 1000,
  // A region can be cut off for an hour; its members must still be tried afterwards.
  forgetMs: 2 * 3_600_000,
};
