import type { Cancellation } from '@dotterelpass/proxy';
import { combineVerdicts } from './call.js';
import type { CallResult } from './call.js';

/** Least and longest time before a second attempt, in times of a call's usual work. */
const minDelayFactor = 1.3;
const maxDelayFactor = 2.5;

/** Time that a second attempt is given to be in time, in times of a call's usual work. */
const hedgedAttemptFactor = 1.35;

/** One of two attempts that run at the same time. */
export interface HedgedAttempt {
  readonly end: Promise<CallResult>;
  readonly cancel: Cancellation;
}

/** Takes the first good answer and cancels the other attempt; a failure waits for the other. */
export async function selectResult(
  first: HedgedAttempt,
  second: HedgedAttempt,
): Promise<CallResult> {
  const firstToEnd = await Promise.race(
    [first, second].map(async (contestant) => ({ contestant, end: await contestant.end })),
  );
  const remaining = firstToEnd.contestant === first ? second : first;
  if (firstToEnd.end.kind === 'answer' && firstToEnd.end.isSuccess) {
    remaining.cancel.cancel();
    void remaining.end.then((end) => {
      if (end.kind === 'answer') end.finish('cancelled');
    });
    return firstToEnd.end;
  }
  const rest = await remaining.end;
  if (rest.kind === 'answer') {
    if (firstToEnd.end.kind === 'answer') firstToEnd.end.finish('failed');
    return rest;
  }
  if (firstToEnd.end.kind === 'answer') return firstToEnd.end;
  return { ...rest, verdict: combineVerdicts(firstToEnd.end.verdict, rest.verdict) };
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
export function calculateHedgeDelayMs(usualMs: number, targetMs: number): number {
  const latestMs = targetMs - hedgedAttemptFactor * usualMs;
  return Math.max(minDelayFactor * usualMs, Math.min(maxDelayFactor * usualMs, latestMs));
}
