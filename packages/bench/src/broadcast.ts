import { makeRandom, pickOne, shuffle } from '@dotterelpass/values';
import type { Random } from '@dotterelpass/values';
import type { Figure, Scenario } from './scenario.js';

/** Cost and reach of one broadcast. The field names are part of the figure names. */
interface BroadcastResult {
  /** Messages sent before any digest exchange, including those to members that are down. */
  readonly messages: number;
  /** Largest number of messages that one member sent, divided by the mean over the live members. */
  readonly imbalance: number;
  /** Share of the live members that do not receive the change without digest exchanges. */
  readonly missed: number;
  /** Forwarding steps until the last reached member has the change. */
  readonly rounds: number;
  /** Rounds of digest exchanges, one every 500 ms, until all live members have the change. */
  readonly digests: number;
}

/** Selects the members to which a member forwards the change that it received in a step. */
type RecipientSelector = (from: number, step: number) => readonly number[];

const fanout = 3;
const maxDirectPeers = 8;
const sizes = [5, 40, 200];
const sharesDown = [0, 0.05, 0.2];
const broadcastsPerRun = 200;

/** Compares push to random members and digests with a broadcast tree over a Chord ring. */
export const broadcastScenario: Scenario = {
  name: 'broadcast',
  description: 'push to 3 random members against a broadcast tree over a Chord ring (in memory)',
  async run({ seed, runs, reportProgress }) {
    const figures: Figure[] = [];
    for (const size of sizes) {
      for (const down of sharesDown) {
        for (const kind of ['push', 'tree'] as const) {
          const broadcasts = Array.from({ length: runs }, (_, run) => {
            const random = makeRandom(seed * 1000 + run);
            return Array.from({ length: broadcastsPerRun }, () =>
              measureBroadcast(kind, size, down, random),
            );
          });
          const add = (field: keyof BroadcastResult, unit: string) => {
            const values = broadcasts.map((run) => findMean(run.map((result) => result[field])));
            figures.push({ name: `${kind} ${size}, ${down * 100}% down: ${field}`, unit, values });
          };
          add('messages', 'messages');
          add('imbalance', 'most/mean');
          add('missed', 'share');
          add('rounds', 'steps');
          add('digests', 'rounds');
        }
      }
      reportProgress(`${size} members done`);
    }
    return figures;
  },
};

function measureBroadcast(
  kind: 'push' | 'tree',
  size: number,
  share: number,
  random: Random,
): BroadcastResult {
  const others = Array.from({ length: size - 1 }, (_, n) => n + 1);
  const down = new Set(shuffle(random, others).slice(0, Math.round(size * share)));
  // Senders have not yet detected which members are down.
  const all = Array.from({ length: size }, (_, n) => n);
  const push: RecipientSelector = (from) => {
    const recipients = all.filter((n) => n !== from);
    if (size <= maxDirectPeers + 1) return from === 0 ? recipients : [];
    return shuffle(random, recipients).slice(0, fanout);
  };
  const tree: RecipientSelector = (from, step) => listFingers(from, step, size);
  const selectRecipients = kind === 'push' ? push : tree;
  return simulateBroadcast(size, down, selectRecipients, random);
}

/**
 * Lists the members to which a member of the tree forwards a change: its fingers `step` and
 * `step + 1`, unless they lie beyond the root on the ring (Huang and Zhang 2009). Every position of
 * the ring is occupied, which is the best case for the tree.
 */
function listFingers(from: number, step: number, size: number): readonly number[] {
  return [from + 2 ** step, from + 2 ** (step + 1)].filter((to) => to < size);
}

function simulateBroadcast(
  size: number,
  down: ReadonlySet<number>,
  selectRecipients: RecipientSelector,
  random: Random,
): BroadcastResult {
  const reached = new Set([0]);
  const sent = new Map<number, number>();
  let senders = [0];
  let rounds = 0;
  for (let step = 0; senders.length > 0; step++) {
    const newlyReached = new Set<number>();
    for (const from of senders) {
      const recipients = selectRecipients(from, step);
      sent.set(from, recipients.length);
      recipients
        .filter((to) => !down.has(to) && !reached.has(to))
        .forEach((to) => newlyReached.add(to));
    }
    newlyReached.forEach((to) => reached.add(to));
    senders = [...newlyReached];
    if (senders.length > 0) rounds = step + 1;
  }
  const messages = [...sent.values()].reduce((sum, count) => sum + count, 0);
  const live = size - down.size;
  const imbalance = Math.max(...sent.values()) / (messages / live);
  const missed = 1 - reached.size / live;
  return {
    messages,
    imbalance,
    missed,
    rounds,
    digests: simulateDigestRounds(size, down, reached, random),
  };
}

/** In each round, every live member exchanges digests with a random live member in both directions. */
function simulateDigestRounds(
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
