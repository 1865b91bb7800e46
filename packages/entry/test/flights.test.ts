import type { ConnectionPool } from '@dotterelpass/proxy';
import { describe, expect, it } from 'vitest';
import { Flights } from '../src/flights.js';
import { exchange, openPath } from './path.js';

describe('Flights', () => {
  it.each([
    { name: 'a port that refuses', refusing: [true], crashed: true },
    // Guards against a crash that is missed, since the port of a process that exits can take one
    // more connection: the request that crashed it would then cost a third endpoint.
    { name: 'a port that refuses a moment later', refusing: [false, true], crashed: true },
    { name: 'a port that goes on', refusing: [false, false], crashed: false },
  ])('finds a crash by $name', async ({ refusing, crashed }) => {
    const reports: (readonly string[])[] = [];
    const flights = new Flights({
      admit: async () =>
        Promise.resolve({ kind: 'run', exclusive: false, finish: () => undefined } as const),
      reportCrash: (_address, fingerprints) => reports.push(fingerprints),
    });
    const answers = [...refusing];
    const isRefusing = async () => Promise.resolve(answers.shift());
    flights.add('a', 'one');
    flights.add('a', 'two');
    expect(await flights.checkCrash('a', { isRefusing } as unknown as ConnectionPool)).toBe(
      crashed,
    );
    expect(reports).toEqual(crashed ? [['one', 'two']] : []);
  });
});

describe('a suspect that runs alone', () => {
  // Guards against a ban of a request for an endpoint that was gone before the request came.
  it('has not crashed an endpoint that refused its connection', async () => {
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
    const path = await openPath(['refusing'], { maxAttempts: 1 }, { suspects });
    await exchange(path.port, ['GET / HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n']);
    await path.close();
    expect(ends).toEqual([{ crashed: false, answered: false }]);
  });
});
