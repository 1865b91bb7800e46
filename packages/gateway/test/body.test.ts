import { IncomingMessage } from 'node:http';
import { createServer, Socket } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { ConnectionPool } from '@dotterelpass/proxy';
import { afterEach, describe, expect, it } from 'vitest';
import { readResponseBody } from '../src/body.js';

/** Turn of a response for which there is always room. */
const unlimited = { keep: () => true };

let server: Server | undefined;
let pool: ConnectionPool | undefined;

afterEach(() => {
  pool?.close();
  server?.close();
});

async function startEndpoint(respond: (socket: Socket) => void): Promise<ConnectionPool> {
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => respond(socket));
  });
  await new Promise<void>((resolve) => {
    server?.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  pool = new ConnectionPool(`127.0.0.1:${port}`, 4, { allowCloseDelimited: true });
  return pool;
}

async function sendRequest(endpoint: ConnectionPool): Promise<IncomingMessage> {
  const result = await endpoint.send({
    method: 'GET',
    path: '/',
    headers: ['Host', 'example'],
    body: { kind: 'none' },
    timeoutMs: 2000,
  });
  if (result.isErr()) throw new Error(result.error.message);
  return result.value;
}

/** Resets the connection. `resetAndDestroy` would close it cleanly before the reset. */
function resetConnection(socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true }).destroy();
}

const closeDelimitedResponse = 'HTTP/1.1 200 OK\r\nX-Any: 1\r\n\r\nhello';

describe('readResponseBody', () => {
  it.each([
    {
      name: 'a response with a length',
      respond: (socket: Socket) =>
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'),
      expected: 'whole',
    },
    {
      name: 'a close-delimited response that ends cleanly',
      respond: (socket: Socket) => socket.end(closeDelimitedResponse),
      expected: 'whole',
    },
    // Guards against truncated bodies that pass for complete ones: Node reports the next two as
    // complete.
    {
      name: 'a close-delimited response that is reset at once',
      respond: (socket: Socket) =>
        socket.write(closeDelimitedResponse, () => resetConnection(socket)),
      expected: 'cut',
    },
    {
      name: 'a close-delimited response that is reset later',
      respond: (socket: Socket) =>
        socket.write(closeDelimitedResponse, () => setTimeout(() => resetConnection(socket), 20)),
      expected: 'cut',
    },
    {
      name: 'a response that is shorter than its length',
      respond: (socket: Socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello'),
      expected: 'cut',
    },
    {
      name: 'a chunked response that ends early',
      respond: (socket: Socket) =>
        socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n'),
      expected: 'cut',
    },
  ])('reads $name as $expected', async ({ respond, expected }) => {
    const endpoint = await startEndpoint(respond);
    const result = await readResponseBody(await sendRequest(endpoint), 2000, unlimited);
    expect(result.kind).toBe(expected);
    if (result.kind === 'whole') expect(result.bytes.toString()).toBe('hello');
  });

  /** Guards against the loss of a long response that does not state its length. */
  it('gives a response without a length back to its stream when it is too large to buffer', async () => {
    const chunk = `10000\r\n${'x'.repeat(0x10000)}\r\n`;
    const endpoint = await startEndpoint((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
      for (let sent = 0; sent < 40; sent++) socket.write(chunk);
      socket.write('0\r\n\r\n');
    });
    const response = await sendRequest(endpoint);
    expect((await readResponseBody(response, 2000, unlimited)).kind).toBe('large');
    let size = 0;
    for await (const part of response) size += (part as Buffer).length;
    expect(size).toBe(40 * 0x10000);
  });

  /**
   * Guards against a process that runs out of memory (review/1): each piece of a body retained the
   * block that it was received in, and an answer without end came in chunks of one byte.
   */
  it('keeps nothing but the bytes of a body in small pieces', async () => {
    const response = new IncomingMessage(new Socket());
    response.headers = { 'transfer-encoding': 'chunked' };
    const result = readResponseBody(response, 2000, unlimited);
    const before = process.memoryUsage().arrayBuffers;
    const pieces = 4000;
    for (let index = 0; index < pieces; index++) {
      response.push(Buffer.alloc(64 * 1024, 'x').subarray(0, 1));
      // Lets blocks that nothing retains be reclaimed.
      if (index % 500 === 0) await new Promise(setImmediate);
    }
    expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(100 * 1024 * 1024);
    response.complete = true;
    response.push(null);
    const body = await result;
    expect(body.kind === 'whole' && body.bytes.toString()).toBe('x'.repeat(pieces));
  });
});
