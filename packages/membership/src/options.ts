import type { Member } from './member.js';
import type { Message } from './message.js';

/** Sends the messages of a detector. A message that cannot be delivered is dropped. */
export interface Transport {
  /** @param to - The receiver, which need not be in the member table yet. */
  send(to: Pick<Member, 'instance' | 'address'>, message: Message): void;
}

/** Intervals and timeouts of the detector, in milliseconds, and the number of indirect probes. */
export interface DetectorOptions {
  /** Interval between probes. A member that has not acknowledged by then becomes suspect. */
  readonly probeIntervalMs: number;
  /** Time without an acknowledgement after which other members probe the target as well. */
  readonly probeTimeoutMs: number;
  /** Time that a suspect has to refute the suspicion before it is declared dead. */
  readonly suspicionTimeoutMs: number;
  /** Number of members that are asked to probe a target indirectly. */
  readonly indirectProbes: number;
  /** Time after the start at which an instance that has had no answer joins on its own. */
  readonly joinTimeoutMs: number;
  /** Pause of this process after which other members may have declared this instance dead. */
  readonly pauseThresholdMs: number;
  /** Interval between probes of instances that are not present. */
  readonly rejoinIntervalMs: number;
  /** How long the entry of a dead or departed instance is kept. */
  readonly tombstoneTtlMs: number;
}

export const defaultOptions: DetectorOptions = {
  probeIntervalMs: 200,
  probeTimeoutMs: 100,
  suspicionTimeoutMs: 1000,
  indirectProbes: 3,
  joinTimeoutMs: 1000,
  // Half of the suspicion timeout: no member declares this instance dead in a shorter pause.
  pauseThresholdMs: 500,
  rejoinIntervalMs: 1000,
  // A region can be partitioned for an hour; its members must still be probed afterwards.
  tombstoneTtlMs: 2 * 3_600_000,
};
