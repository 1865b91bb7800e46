import { ManualClock, makeRandom } from '@dotterelpass/values';
import type { Incarnation, InstanceId } from '@dotterelpass/values';
import { beforeEach, describe, expect, it } from 'vitest';
import { FailureDetector } from '../src/index.js';
import type { Member, Message } from '../src/index.js';

function makeMember(n: number, changes: Partial<Member> = {}): Member {
  return {
    instance: `n${n}` as InstanceId,
    incarnation: `100-${n}` as Incarnation,
    refutation: 0,
    state: 'live',
    address: `10.0.0.1:${n}`,
    ...changes,
  };
}

describe('the messages of one detector among 20 members', () => {
  const self = makeMember(0);
  let clock: ManualClock;
  let sent: { to: string; message: Message }[];
  let detector: FailureDetector;

  const ping = (n: number, updates: readonly Member[] = []) =>
    detector.receive({ kind: 'ping', sender: makeMember(n), updates, sequence: 1 });

  beforeEach(() => {
    clock = new ManualClock();
    sent = [];
    const transport = {
      send: (to: Pick<Member, 'instance'>, message: Message) =>
        sent.push({ to: to.instance, message }),
    };
    detector = new FailureDetector(self, transport, clock, makeRandom(1));
    for (let n = 1; n <= 20; n++) ping(n);
  });

  /** Guards the refutation after the news of a death has been told: the accused must hear it. */
  it.each(['suspect', 'dead'] as const)('tells a %s instance what is held against it', (state) => {
    ping(1, [makeMember(5, { state })]);
    for (let n = 0; n < 100; n++) ping(1);
    expect(ping(5)?.updates).toContainEqual(makeMember(5, { state }));
  });

  /** Guards refutations in a large fleet, where gossip is too slow for the suspicion time. */
  it('pings a suspect it only heard of until it refutes', () => {
    ping(1, [makeMember(5, { state: 'suspect' })]);
    const pings = () => sent.filter(({ to, message }) => to === 'n5' && message.kind === 'ping');
    for (let n = 0; n < 90; n++) {
      clock.advance(10);
      detector.tick();
    }
    expect(pings().length).toBeGreaterThanOrEqual(3);
    ping(1, [makeMember(5, { refutation: 1 })]);
    const before = pings().length;
    for (let n = 0; n < 20; n++) {
      clock.advance(10);
      detector.tick();
    }
    expect(pings().length - before).toBeLessThanOrEqual(1);
  });

  /** Guards a suspect whose refutation waits unread while this instance stalls. */
  it('gives a suspect the time that it lost in a stall', () => {
    ping(1, [makeMember(5, { state: 'suspect' })]);
    for (let n = 0; n < 60; n++) {
      clock.advance(10);
      detector.tick();
    }
    clock.advance(450);
    detector.tick();
    expect(detector.peers).toContainEqual(makeMember(5, { state: 'suspect' }));
    for (let n = 0; n < 41; n++) {
      clock.advance(10);
      detector.tick();
    }
    expect(detector.peers).toContainEqual(makeMember(5, { state: 'dead' }));
  });
});
