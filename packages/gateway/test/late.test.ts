import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';

/** Number of calls, of which some ended a fraction of a millisecond before their deadline. */
const callCount = 30;

describe('an answer that is not whole at the deadline', () => {
  let bed: GatewayBed;

  beforeEach(() => {
    bed = new GatewayBed();
  });

  afterEach(async () => bed.close());

  /** Sends a request on a new connection, and returns the status of its answer. */
  async function readStatus(): Promise<number> {
    return new Promise((resolve, reject) => {
      const socket = connect(bed.port, '127.0.0.1');
      socket.on('error', reject);
      socket.once('data', (chunk) => {
        resolve(Number(/^HTTP\/1.1 (\d+)/.exec(chunk.toString('latin1'))?.[1]));
        socket.destroy();
      });
      socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    });
  }

  // Guards against a time limit that is reported as a fault of the connection.
  it.each([
    {
      name: '504 when it does not go on',
      respond: () => undefined,
      expected: 504,
    },
    {
      name: '502 when its connection ends',
      respond: (end: () => void) => end(),
      expected: 502,
    },
  ])('is answered $name', async ({ respond, expected }) => {
    await bed.start((request, response) => {
      response
        .writeHead(200, { 'content-length': 9 })
        .write('half', () => respond(() => request.socket.destroy()));
    });
    bed.setRoute({ timeoutMs: 1000 });
    const statuses = await Promise.all(Array.from({ length: callCount }, readStatus));
    expect(statuses).toEqual(Array<number>(callCount).fill(expected));
  });
});
