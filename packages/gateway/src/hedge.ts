import type { Cancellation } from '@dotterelpass/proxy';
import { toWorse } from './call.js';
import type { CallEnd } from './call.js';

/** Least and longest time before a second attempt, in times of a call's usual work. */
const minHedgeFactor = 1.3;
const maxHedgeFactor = 2.5;

/** Time that a second attempt is given to be in time, in times of a call's usual work. */
const hedgedWorkFactor = 1.35;

/** One of two attempts that run at the same time. */
export interface Contestant {
  readonly end: Promise<CallEnd>;
  readonly cancel: Cancellation;
}

/** Takes the first good answer and cancels the other attempt; a failure waits for the other. */
export async function pickEnd(first: Contestant, second: Contestant): Promise<CallEnd> {
  const winner = await Promise.race(
    [first, second].map(async (contestant) => ({ contestant, end: await contestant.end })),
  );
  const other = winner.contestant === first ? second : first;
  if (winner.end.kind === 'answer' && winner.end.isSuccess) {
    other.cancel.cancel();
    void other.end.then((end) => {
      if (end.kind === 'answer') end.release('cancelled');
    });
    return winner.end;
  }
  const rest = await other.end;
  if (rest.kind === 'answer') {
    if (winner.end.kind === 'answer') winner.end.release('failed');
    return rest;
  }
  if (winner.end.kind === 'answer') return winner.end;
  return { ...rest, verdict: toWorse(winner.end.verdict, rest.verdict) };
}

/** Waits until an attempt has ended, or until it takes longer than `ms`. */
export async function isSlowerThan(end: Promise<unknown>, ms: number): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(true), ms);
    void end.then(() => {
      clearTimeout(timer);
      resolve(false);
    });
  });
}

/**
 * Finds when an idempotent call goes to a second endpoint: as late as that one can still answer
 * in time, but not before most first ones have answered.
 *
 * @param usualMs - Time that calls of the route usually need, in milliseconds.
 * @param targetMs - Target latency, in milliseconds.
 * @returns Milliseconds from the first attempt.
 */
export function findHedgeMs(usualMs: number, targetMs: number): number {
  const latestMs = targetMs - hedgedWorkFactor * usualMs;
  return Math.max(minHedgeFactor * usualMs, Math.min(maxHedgeFactor * usualMs, latestMs));
}
