import { Arbiter, AttemptTable, PlatformJournal } from '@dotterelpass/once';
import type { ClaimAnswer, Holder, Inquire } from '@dotterelpass/once';
import { makeRandom, pickOne } from '@dotterelpass/values';
import type { Incarnation, InstanceId } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { FaultyStore, Schedule } from './fakes.js';

interface Outcomes {
  readonly runs: Map<string, number>;
  granted: number;
}

/** Three instances, each an executor and sometimes an arbiter; messages are late and lost too. */
async function runSchedule(seed: number): Promise<Outcomes> {
  const random = makeRandom(seed);
  const schedule = new Schedule();
  const { clock, sleep } = schedule;
  const store = new FaultyStore(schedule, random);
  const outcomes: Outcomes = { runs: new Map(), granted: 0 };
  const names = ['a', 'b', 'c'] as InstanceId[];
  const executions = new Map<InstanceId, AttemptTable>();
  const arbiters = new Map<InstanceId, Arbiter>();
  const inquire: Inquire = async (holder: Holder) => {
    await sleep(random.next() * 20);
    if (random.next() < 0.2) return { kind: 'silent' };
    const account = executions.get(holder.instance)?.answerInquiry(holder) ?? { kind: 'gone' };
    await sleep(random.next() * 20);
    return random.next() < 0.2 ? { kind: 'silent' } : account;
  };
  let starts = 0;
  const start = (name: InstanceId) => {
    starts += 1;
    const incarnation = `${starts}` as Incarnation;
    executions.set(name, new AttemptTable(name, incarnation, clock));
    const options = { sleep, sealBytes: 300, maxTries: 3 };
    const journal = new PlatformJournal(store, '0', incarnation, clock, options);
    arbiters.set(name, new Arbiter(journal, inquire, clock, { sleep, inquireMs: 50 }));
  };
  names.forEach(start);

  const runCall = async (key: string) => {
    const own = executions.get(pickOne(random, names)) as AttemptTable;
    const givenUp: number[] = [];
    for (let tries = 0; tries < 4; tries++) {
      const holder = own.open();
      const claim = { key, digest: 'd', holder, givenUp: [...givenUp] };
      const signal = new AbortController();
      // The asked instance is often not the one that others ask.
      const arbiter = arbiters.get(pickOne(random, names)) as Arbiter;
      const asked = sleep(random.next() * 30)
        .then(async () => arbiter.claim(claim, signal.signal))
        .then(async (answer) => (random.next() < 0.15 ? sleep(1e9).then(() => answer) : answer));
      const late = sleep(300 + random.next() * 300).then(() => signal.abort());
      const answer: ClaimAnswer | undefined = await Promise.race([
        asked,
        late.then(async () => sleep(20)).then(() => undefined),
      ]);
      if (answer?.kind === 'granted' && own.start(holder)) {
        outcomes.granted += 1;
        if (random.next() < 0.3) {
          own.recordOutcome(holder, { verdict: 'not-run' });
          if (random.next() < 0.5) arbiter.recordOutcome(key, holder, { verdict: 'not-run' });
        } else {
          outcomes.runs.set(key, (outcomes.runs.get(key) ?? 0) + 1);
          await sleep(random.next() * 200);
          own.recordOutcome(holder, { verdict: 'ran' });
          if (random.next() < 0.5) arbiter.recordOutcome(key, holder, { verdict: 'ran' });
        }
        return;
      }
      own.abandon(holder);
      givenUp.push(holder.attempt);
      // Here every arbiter is free to believe that it still leads, so `fresh` is not checked.
      if (answer && !['moved', 'busy', 'refused'].includes(answer.kind)) return;
      await sleep(random.next() * 100);
    }
  };
  for (let index = 0; index < 12; index++) {
    void sleep(random.next() * 1200).then(async () => runCall(`k${Math.floor(index / 4)}`));
  }
  for (let index = 0; index < 2; index++) {
    void sleep(random.next() * 1200).then(() => start(pickOne(random, names)));
  }
  await schedule.run(5000);
  return outcomes;
}

describe('several arbiters over one faulty store', () => {
  // Guards against a second grant of a key by a stale, restarted or confused arbiter.
  it('never run a key twice, and grant most keys', async () => {
    let granted = 0;
    for (let seed = 1; seed <= 2000; seed++) {
      const { runs, granted: count } = await runSchedule(seed);
      granted += count;
      const double = [...runs].filter(([, times]) => times > 1);
      expect(double, `seed ${seed}`).toEqual([]);
    }
    // Fewer grants than one a schedule would mean that the schedules test nothing.
    expect(granted).toBeGreaterThan(2000);
  });
});
