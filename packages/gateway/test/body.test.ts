import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { ConnectionPool } from '@dotterelpass/proxy';
import { afterEach, describe, expect, it } from 'vitest';
import { readResponseBody } from '../src/body.js';

let server: Server | undefined;
let pool: ConnectionPool | undefined;

afterEach(() => {
  pool?.close();
  server?.close();
});

async function openEndpoint(answer: (socket: Socket) => void): Promise<ConnectionPool> {
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server?.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  pool = new ConnectionPool(`127.0.0.1:${port}`, 4, { allowCloseDelimited: true });
  return pool;
}

/** `resetAndDestroy` would end the connection in order first and reset it after that. */
function reset(socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true }).destroy();
}

const unframed = 'HTTP/1.1 200 OK\r\nX-Any: 1\r\n\r\nhello';

describe('readAnswer', () => {
  it.each([
    {
      name: 'an answer with a length',
      answer: (socket: Socket) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'),
      expected: 'whole',
    },
    {
      name: 'an answer without a length that ends in order',
      answer: (socket: Socket) => socket.end(unframed),
      expected: 'whole',
    },
    // Node reports the next two as complete: part of a body must not pass for the whole.
    {
      name: 'an answer without a length that is reset at once',
      answer: (socket: Socket) => socket.write(unframed, () => reset(socket)),
      expected: 'cut',
    },
    {
      name: 'an answer without a length that is reset later',
      answer: (socket: Socket) => socket.write(unframed, () => setTimeout(() => reset(socket), 20)),
      expected: 'cut',
    },
    {
      name: 'an answer that is shorter than its length',
      answer: (socket: Socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello'),
      expected: 'cut',
    },
    {
      name: 'an answer whose chunks end early',
      answer: (socket: Socket) =>
        socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n'),
      expected: 'cut',
    },
  ])('reads $name as $expected', async ({ answer, expected }) => {
    const endpoint = await openEndpoint(answer);
    const sent = await endpoint.send({
      method: 'GET',
      path: '/',
      headers: ['Host', 'example'],
      body: { kind: 'none' },
      timeoutMs: 2000,
    });
    if (sent.isErr()) throw new Error(sent.error.message);
    const reading = await readResponseBody(sent.value, 2000);
    expect(reading.kind).toBe(expected);
    if (reading.kind === 'whole') expect(reading.bytes.toString()).toBe('hello');
  });
});
