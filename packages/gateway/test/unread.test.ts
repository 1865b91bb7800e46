import type { RequestListener, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';

/** Size of an answer that is streamed and not buffered. */
const streamedBytes = 20_000_000;

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('a large answer that is not used', () => {
  let bed: GatewayBed;

  beforeEach(() => {
    bed = new GatewayBed();
  });

  afterEach(async () => bed.close());

  /** Sends a call, and returns the whole text that its caller receives. */
  async function send(): Promise<string> {
    return new Promise((resolve) => {
      let text = '';
      const socket = connect(bed.port, '127.0.0.1');
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
      });
      socket.on('close', () => resolve(text));
      socket.write('GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n');
    });
  }

  const fail = (response: ServerResponse) =>
    response.writeHead(500, { 'content-length': streamedBytes }).end(Buffer.alloc(streamedBytes));

  // Guards against a connection that nobody reads and that is kept, with its slot at the endpoint,
  // until the endpoint gives it up.
  it.each([
    {
      name: 'because its call is retried',
      respond: (response: ServerResponse, run: number) => {
        if (run === 1) fail(response);
        else response.end('served');
      },
    },
    {
      name: 'because the hedged attempt succeeds',
      respond: (response: ServerResponse, run: number) => {
        if (run === 1) setTimeout(() => fail(response), 250);
        else setTimeout(() => response.end('served'), 300);
      },
    },
  ])('closes its connection: $name', async ({ respond }) => {
    let sockets: Socket[] = [];
    const handle: RequestListener = ({ socket }, response) => {
      sockets = [...sockets, socket];
      respond(response, sockets.length);
    };
    await bed.start(handle, handle);
    bed.setRoute({ repeat: 'idempotent', targetLatencyMs: 200 });
    expect(await send()).toMatch(/served$/);
    expect(sockets).toHaveLength(2);
    while (sockets[0]?.destroyed === false) await sleep(10);
    expect(sockets.map(({ destroyed }) => destroyed)).toEqual([true, false]);
  });
});
