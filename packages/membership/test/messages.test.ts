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

  const receivePing = (n: number, updates: readonly Member[] = []) =>
    detector.receive({ kind: 'ping', sender: makeMember(n), updates, sequence: 1 });

  beforeEach(() => {
    clock = new ManualClock();
    sent = [];
    const transport = {
      send: (to: Pick<Member, 'instance'>, message: Message) =>
        sent.push({ to: to.instance, message }),
    };
    detector = new FailureDetector(self, transport, clock, makeRandom(1));
    for (let n = 1; n <= 20; n++) receivePing(n);
  });

  /** Guards the refutation once gossip has stopped: the instance must still learn of its state. */
  it.each(['suspect', 'dead'] as const)('sends a %s instance its own entry', (state) => {
    receivePing(1, [makeMember(5, { state })]);
    for (let n = 0; n < 100; n++) receivePing(1);
    expect(receivePing(5)?.updates).toContainEqual(makeMember(5, { state }));
  });

  /** Guards refutations in a large fleet, where gossip is slower than the suspicion timeout. */
  it('pings a suspect that another member reported until the suspicion is refuted', () => {
    receivePing(1, [makeMember(5, { state: 'suspect' })]);
    const pings = () => sent.filter(({ to, message }) => to === 'n5' && message.kind === 'ping');
    for (let n = 0; n < 90; n++) {
      clock.advance(10);
      detector.tick();
    }
    expect(pings().length).toBeGreaterThanOrEqual(3);
    receivePing(1, [makeMember(5, { refutation: 1 })]);
    const before = pings().length;
    for (let n = 0; n < 20; n++) {
      clock.advance(10);
      detector.tick();
    }
    expect(pings().length - before).toBeLessThanOrEqual(1);
  });

  /** Guards against a false death when a refutation arrives during a stall and is read after it. */
  it('extends the suspicion timeout by the duration of a stall', () => {
    receivePing(1, [makeMember(5, { state: 'suspect' })]);
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
