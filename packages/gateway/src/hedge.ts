import type { Cancellation } from '@dotterelpass/proxy';
import { combineVerdicts, discardAnswer } from './call.js';
import type { CallResult } from './call.js';

/** Bounds of the delay before the hedged attempt, relative to the estimated latency. */
const minDelayFactor = 1.3;
const maxDelayFactor = 2.5;

/** Time reserved for the hedged attempt before the target, relative to the estimated latency. */
const hedgedAttemptFactor = 1.35;

/** One of two concurrent attempts of a hedged request. */
export interface HedgedAttempt {
  readonly result: Promise<CallResult>;
  readonly cancellation: Cancellation;
}

/**
 * Returns the first successful response and cancels the other attempt. If the attempt that ends
 * first has not succeeded, waits for the other one and prefers its response.
 */
export async function selectResult(
  first: HedgedAttempt,
  second: HedgedAttempt,
): Promise<CallResult> {
  const firstToEnd = await Promise.race(
    [first, second].map(async (attempt) => ({ attempt, result: await attempt.result })),
  );
  const remaining = firstToEnd.attempt === first ? second : first;
  if (firstToEnd.result.kind === 'answer' && firstToEnd.result.isSuccess) {
    remaining.cancellation.cancel();
    void remaining.result.then((result) => {
      if (result.kind === 'answer') discardAnswer(result, 'cancelled');
    });
    return firstToEnd.result;
  }
  const remainingResult = await remaining.result;
  if (remainingResult.kind === 'answer') {
    if (firstToEnd.result.kind === 'answer') discardAnswer(firstToEnd.result, 'failed');
    return remainingResult;
  }
  if (firstToEnd.result.kind === 'answer') return firstToEnd.result;
  return {
    ...remainingResult,
    verdict: combineVerdicts(firstToEnd.result.verdict, remainingResult.verdict),
  };
}

/** Waits until an attempt ends or `ms` have passed, and resolves to true in the latter case. */
export async function isSlowerThan(attempt: Promise<unknown>, ms: number): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(true), ms);
    void attempt.then(() => {
      clearTimeout(timer);
      resolve(false);
    });
  });
}

/**
 * Calculates when an idempotent call is hedged: as late as possible for the second endpoint to
 * answer within the target latency, but not before most first attempts have ended.
 *
 * @param usualMs - Estimated latency of the route, in milliseconds.
 * @param targetLatencyMs - Target latency, in milliseconds.
 * @returns Delay after the start of the first attempt, in milliseconds.
 */
export function calculateHedgeDelayMs(usualMs: number, targetLatencyMs: number): number {
  const latestMs = targetLatencyMs - hedgedAttemptFactor * usualMs;
  return Math.max(minDelayFactor * usualMs, Math.min(maxDelayFactor * usualMs, latestMs));
}
