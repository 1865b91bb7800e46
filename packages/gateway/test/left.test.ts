import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('a call whose handling fails unexpectedly', () => {
  /** Guards against a connection that closes without a line in the log that says why. */
  it('is logged, and its connection closes', async () => {
    const bed = new GatewayBed();
    await bed.start((_request, response) => response.end('served'));
    const socket = connect(bed.port, '127.0.0.1');
    const text = await new Promise<string>((resolve) => {
      let received = '';
      socket.on('data', (chunk) => {
        received += chunk.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(received));
      socket.write('GET / HTTP/1.1\r\nHost: h\r\nfails: 1\r\n\r\n');
    });
    expect(text).toBe('');
    const line = bed.lines.find(({ event }) => event === 'call-aborted');
    expect(String(line?.fields.reason)).toContain('the header fails');
    await bed.close();
  });
});

describe('a call that waits for a connection to its endpoint', () => {
  let bed: GatewayBed;

  let sockets: Socket[];

  beforeEach(() => {
    bed = new GatewayBed();
    sockets = [];
  });

  afterEach(async () => {
    sockets.forEach((socket) => socket.destroy());
    await bed.close();
  });

  function send(path: string, { bytes = 0, isChunked = false } = {}): Socket {
    const socket = connect(bed.port, '127.0.0.1');
    socket.on('error', () => undefined);
    const framing = isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${bytes}`;
    const body = 'x'.repeat(bytes);
    socket.write(`POST ${path} HTTP/1.1\r\nHost: h\r\n${framing}\r\n\r\n`);
    socket.write(isChunked ? `${bytes.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body);
    sockets.push(socket);
    return socket;
  }

  const close = (socket: Socket) => socket.end();
  const reset = (socket: Socket) => socket.resetAndDestroy();

  /** Guards against a payment or an upload that is sent seconds after its caller has left (review/9). */
  it.each([
    { name: 'without a body', sent: {}, leave: close },
    { name: 'with a short body', sent: { bytes: 1000 }, leave: close },
    { name: 'with an upload', sent: { bytes: 200_000 }, leave: close },
    { name: 'with an upload, by a reset', sent: { bytes: 200_000 }, leave: reset },
    { name: 'with an upload in chunks', sent: { bytes: 360_000, isChunked: true }, leave: close },
  ])('is not sent once its caller has left: $name', async ({ sent, leave }) => {
    // Two connections are the fewest that an instance uses.
    bed.maxConnections = 2;
    const pending: ServerResponse[] = [];
    const paths: string[] = [];
    await bed.start((request, response) => {
      paths.push(request.url ?? '');
      pending.push(response);
    });
    ['/1', '/2'].forEach((path) => send(path));
    while (pending.length < 2) await sleep(5);
    const left = send('/left', sent);
    const kept = send('/kept', sent);
    await sleep(100);
    leave(left);
    await sleep(100);
    pending.splice(0).forEach((response) => response.end('served'));
    while (!paths.includes('/kept')) await sleep(5);
    await sleep(100);
    expect(paths).toEqual(['/1', '/2', '/kept']);
    kept.destroy();
  });
});
