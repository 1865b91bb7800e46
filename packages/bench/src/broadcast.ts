import { makeRandom, pickOne, shuffle } from '@dotterelpass/values';
import type { Random } from '@dotterelpass/values';
import type { Figure, Scenario } from './scenario.js';

/** What one broadcast of one change did. */
interface Spread {
  /** Messages sent before any digest exchange, also those to members that are down. */
  readonly messages: number;
  /** Most messages that one live member sent, by the mean over the live members. */
  readonly imbalance: number;
  /** Share of the live members that never have the change without digests. */
  readonly missed: number;
  /** Steps from one member to the next until the last of those reached had it. */
  readonly rounds: number;
  /** Rounds of digest exchanges, one each 500 ms, until all live members have it. */
  readonly digests: number;
}

/** Sends a change from member 0; `forward` says whom a member tells, and in which step it is. */
type Forward = (from: number, step: number) => readonly number[];

const fanout = 3;
const maxDirectPeers = 8;
const sizes = [5, 40, 200];
const sharesDown = [0, 0.05, 0.2];
const spreadsPerRun = 200;

/** Push to random members with digests against a broadcast tree over a Chord ring. */
export const broadcastScenario: Scenario = {
  name: 'broadcast',
  describe: 'Push to 3 random members against a tree over a Chord ring (in memory).',
  async run({ seed, runs, tell }) {
    const figures: Figure[] = [];
    for (const size of sizes) {
      for (const down of sharesDown) {
        for (const kind of ['push', 'tree'] as const) {
          const spreads = Array.from({ length: runs }, (_, run) => {
            const random = makeRandom(seed * 1000 + run);
            return Array.from({ length: spreadsPerRun }, () => measure(kind, size, down, random));
          });
          const add = (field: keyof Spread, unit: string) => {
            const values = spreads.map((run) => findMean(run.map((spread) => spread[field])));
            figures.push({ name: `${kind} ${size}, ${down * 100}% down: ${field}`, unit, values });
          };
          add('messages', 'messages');
          add('imbalance', 'most/mean');
          add('missed', 'share');
          add('rounds', 'steps');
          add('digests', 'rounds');
        }
      }
      tell(`${size} members done`);
    }
    return figures;
  },
};

function measure(kind: 'push' | 'tree', size: number, share: number, random: Random): Spread {
  const others = Array.from({ length: size - 1 }, (_, n) => n + 1);
  const down = new Set(shuffle(random, others).slice(0, Math.round(size * share)));
  // The views of the senders do not know yet who is down.
  const all = Array.from({ length: size }, (_, n) => n);
  const push: Forward = (from) => {
    const told = all.filter((n) => n !== from);
    if (size <= maxDirectPeers + 1) return from === 0 ? told : [];
    return shuffle(random, told).slice(0, fanout);
  };
  const tree: Forward = (from, step) => listFingers(from, step, size);
  const forward = kind === 'push' ? push : tree;
  return runSpread(size, down, forward, random);
}

/**
 * Lists whom a member of the tree tells: its fingers `step` and `step + 1`, as long as they lie
 * on the ring before the root again (Huang and Zhang 2009). The ring is full, the tree's best case.
 */
function listFingers(from: number, step: number, size: number): readonly number[] {
  return [from + 2 ** step, from + 2 ** (step + 1)].filter((to) => to < size);
}

function runSpread(
  size: number,
  down: ReadonlySet<number>,
  forward: Forward,
  random: Random,
): Spread {
  const reached = new Set([0]);
  const sent = new Map<number, number>();
  let front = [0];
  let rounds = 0;
  for (let step = 0; front.length > 0; step++) {
    const next = new Set<number>();
    for (const from of front) {
      const told = forward(from, step);
      sent.set(from, told.length);
      told.filter((to) => !down.has(to) && !reached.has(to)).forEach((to) => next.add(to));
    }
    next.forEach((to) => reached.add(to));
    front = [...next];
    if (front.length > 0) rounds = step + 1;
  }
  const messages = [...sent.values()].reduce((sum, count) => sum + count, 0);
  const live = size - down.size;
  const imbalance = Math.max(...sent.values()) / (messages / live);
  const missed = 1 - reached.size / live;
  return { messages, imbalance, missed, rounds, digests: runDigests(size, down, reached, random) };
}

/** Each live member compares with one other live member in each round, both ways. */
function runDigests(
  size: number,
  down: ReadonlySet<number>,
  reached: Set<number>,
  random: Random,
): number {
  const live = Array.from({ length: size }, (_, n) => n).filter((n) => !down.has(n));
  let rounds = 0;
  while (reached.size < live.length) {
    rounds += 1;
    for (const member of shuffle(random, live)) {
      const peer = pickOne(random, live);
      if (reached.has(member) || reached.has(peer)) reached.add(member).add(peer);
    }
  }
  return rounds;
}

function findMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
