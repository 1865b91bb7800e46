import type { Random } from '@dotterelpass/values';
import type { Kind, Phase, Plan } from './plan.js';

/** One planned call. */
export interface Arrival {
  /** Time from the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly kind: Kind;
  readonly workMs: number;
  readonly long: boolean;
}

/**
 * Draws the arrivals of a plan as a Poisson process. They do not depend on answers, so that
 * waiting callers do not hide behind calls that were never sent.
 *
 * @param plan - The plan.
 * @param random - Source of random numbers; equal seeds give equal arrivals.
 * @returns The arrivals in order of time.
 */
export function makeArrivals(plan: Plan, random: Random): Arrival[] {
  const arrivals: Arrival[] = [];
  let startMs = 0;
  for (const phase of plan.phases) {
    const highest = Math.max(phase.callsPerSecond, phase.toCallsPerSecond ?? 0);
    let atMs = startMs;
    while (highest > 0) {
      atMs += (-Math.log(1 - random.next()) * 1000) / highest;
      if (atMs >= startMs + phase.ms) break;
      // Thinning turns a process of the highest rate into one of the present rate.
      if (random.next() * highest < findRate(phase, atMs - startMs)) {
        arrivals.push(makeArrival(plan.mix, atMs, random));
      }
    }
    startMs += phase.ms;
  }
  return arrivals;
}

function findRate({ callsPerSecond, toCallsPerSecond, ms }: Phase, passedMs: number): number {
  const end = toCallsPerSecond ?? callsPerSecond;
  return callsPerSecond + ((end - callsPerSecond) * passedMs) / ms;
}

function makeArrival(mix: readonly Kind[], atMs: number, random: Random): Arrival {
  const total = mix.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.next() * total;
  const kind = mix.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  if (!kind) throw new RangeError('the mix has no kind with a weight above 0');
  const long = random.next() < kind.longShare;
  const drawn =
    kind.spread === 'exponential' ? -Math.log(1 - random.next()) * kind.workMs : kind.workMs;
  return { atMs, kind, workMs: long ? drawn * kind.longFactor : drawn, long };
}
