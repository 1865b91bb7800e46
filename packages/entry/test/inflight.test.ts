import type { ConnectionPool } from '@dotterelpass/proxy';
import { describe, expect, it } from 'vitest';
import { InFlightRequests } from '../src/inflight.js';
import { exchange, openProxy } from './proxy.js';

describe('InFlightRequests', () => {
  it.each([
    { name: 'a crash if the port refuses connections', refusing: [true], crashed: true },
    // Guards against a missed crash: the port of an exiting process can accept one more connection,
    // and the request that crashed it would then crash a third endpoint.
    { name: 'a crash if the recheck is refused', refusing: [false, true], crashed: true },
    { name: 'no crash if the port accepts', refusing: [false, false], crashed: false },
  ])('reports $name', async ({ refusing, crashed }) => {
    const reports: (readonly string[])[] = [];
    const inFlight = new InFlightRequests({
      admit: async () =>
        Promise.resolve({ kind: 'run', exclusive: false, finish: () => undefined } as const),
      reportCrash: (_address, fingerprints) => reports.push(fingerprints),
    });
    const answers = [...refusing];
    const isRefusingConnections = async () => Promise.resolve(answers.shift());
    inFlight.add('a', 'one');
    inFlight.add('a', 'two');
    expect(
      await inFlight.checkCrash('a', { isRefusingConnections } as unknown as ConnectionPool),
    ).toBe(crashed);
    expect(reports).toEqual(crashed ? [['one', 'two']] : []);
  });
});

describe('a suspect with exclusive use of an endpoint', () => {
  // Guards against a ban of a request because of an endpoint that was down before the request.
  it('is not blamed for an endpoint that refuses the connection', async () => {
    const ends: unknown[] = [];
    const suspects = {
      admit: async () =>
        Promise.resolve({
          kind: 'run',
          exclusive: true,
          finish: (crashed: boolean, answered?: boolean) => ends.push({ crashed, answered }),
        } as const),
      reportCrash: () => ends.push('crash'),
    };
    const proxy = await openProxy(['refusing'], { maxAttempts: 1 }, { suspects });
    await exchange(proxy.port, ['GET / HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n']);
    await proxy.close();
    expect(ends).toEqual([{ crashed: false, answered: false }]);
  });
});
