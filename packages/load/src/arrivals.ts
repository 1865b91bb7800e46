import type { Random } from '@dotterelpass/values';
import type { CallKind, Phase, Plan } from './plan.js';

/** Planned call. */
export interface Arrival {
  /** Planned time since the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly kind: CallKind;
  readonly workMs: number;
  readonly long: boolean;
}

/**
 * Draws the arrivals of a plan as a Poisson process. The load is open-loop: arrivals do not depend
 * on responses. Otherwise a slow system would receive fewer calls, which would hide how long
 * callers wait (coordinated omission).
 *
 * @param plan - The plan.
 * @param random - Source of random numbers. Equal seeds give equal arrivals.
 * @returns The arrivals, sorted by time.
 */
export function drawArrivals(plan: Plan, random: Random): Arrival[] {
  const arrivals: Arrival[] = [];
  let startMs = 0;
  for (const phase of plan.phases) {
    const peakRate = Math.max(phase.callsPerSecond, phase.toCallsPerSecond ?? 0);
    let atMs = startMs;
    while (peakRate > 0) {
      atMs += (-Math.log(1 - random.next()) * 1000) / peakRate;
      if (atMs >= startMs + phase.ms) break;
      // Thinning: keeps each arrival of a process at the peak rate with the probability
      // current rate / peak rate.
      if (random.next() * peakRate < computeRate(phase, atMs - startMs)) {
        arrivals.push(drawArrival(plan.mix, atMs, random));
      }
    }
    startMs += phase.ms;
  }
  return arrivals;
}

function computeRate({ callsPerSecond, toCallsPerSecond, ms }: Phase, elapsedMs: number): number {
  const end = toCallsPerSecond ?? callsPerSecond;
  return callsPerSecond + ((end - callsPerSecond) * elapsedMs) / ms;
}

function drawArrival(mix: readonly CallKind[], atMs: number, random: Random): Arrival {
  const total = mix.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = random.next() * total;
  const kind = mix.find(({ weight }) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  if (!kind) throw new RangeError('the mix has no kind with a weight above 0');
  const long = random.next() < kind.longShare;
  const drawnMs =
    kind.spread === 'exponential' ? -Math.log(1 - random.next()) * kind.workMs : kind.workMs;
  return { atMs, kind, workMs: long ? drawnMs * kind.longFactor : drawnMs, long };
}
