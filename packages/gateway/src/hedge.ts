import type { Departure } from '@dotterelpass/proxy';
import { toWorse } from './call.js';
import type { CallEnd } from './call.js';

/** One of two attempts that run at the same time. */
export interface Contestant {
  readonly end: Promise<CallEnd>;
  readonly cancel: Departure;
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
