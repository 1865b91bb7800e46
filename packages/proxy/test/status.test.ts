import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { ConnectionPool } from '../src/index.js';
import type { Attempt, RequestBody } from '../src/index.js';
import { invalidStatusLines, responseRests, validStatusLines } from './raw.js';

const ok = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

let server: Server | undefined;
let pool: ConnectionPool | undefined;
let sockets: Socket[] = [];

afterEach(() => {
  pool?.close();
  sockets.forEach((socket) => socket.destroy());
  server?.close();
  sockets = [];
});

/** Starts an endpoint that writes one of the answers for each request, in turn. */
async function openEndpoint(...answers: string[]): Promise<ConnectionPool> {
  let requests = 0;
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      if (!chunk.includes('\r\n\r\n')) return;
      socket.write(answers[requests % answers.length] as string);
      requests += 1;
    });
  });
  await new Promise<void>((resolve) => {
    server?.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  pool = new ConnectionPool(`127.0.0.1:${port}`, 1, { allowCloseDelimited: true });
  return pool;
}

async function send(to: ConnectionPool, overrides: Partial<Attempt> = {}): Promise<string> {
  const sent = await to.send({
    method: 'GET',
    path: '/',
    headers: ['host', 'a'],
    body: { kind: 'none' },
    timeoutMs: 1000,
    ...overrides,
  });
  if (sent.isErr()) return `${sent.error.kind} ${sent.error.verdict}`;
  const status = sent.value.statusCode;
  sent.value.on('error', () => undefined).resume();
  // The connection is released one turn of the event loop after the end of the response.
  await new Promise((resolve) => {
    sent.value.once('close', resolve);
    if (sent.value.headers['content-length'] === undefined) sent.value.destroy();
  });
  return String(status);
}

const rests = Object.entries(responseRests).map(([restName, rest]) => ({ restName, rest }));
const combine = (lines: readonly string[]) =>
  lines.flatMap((line) => rests.map((row) => ({ line, ...row })));

describe('the status of a response', () => {
  /** Guards against a status such as 000 that reaches a caller, and against a call that runs twice. */
  it.each(combine(invalidStatusLines))(
    'is refused with $line $restName, on a new and a kept connection',
    async ({ line, rest }) => {
      const bad = `${line}\r\n${rest}`;
      const endpoint = await openEndpoint(bad, ok, bad, ok);
      expect(await send(endpoint)).toBe('bad-answer may-have-run');
      expect(await send(endpoint)).toBe('200');
      expect(await send(endpoint)).toBe('bad-answer may-have-run');
      expect(await send(endpoint)).toBe('200');
      // The connections with the invalid responses carry nothing more.
      await vi.waitFor(() => expect(sockets[1]?.destroyed).toBe(true));
      expect(sockets.map(({ destroyed }) => destroyed)).toEqual([true, true, false]);
    },
  );

  it.each(invalidStatusLines)('is refused with %s after an informational one', async (line) => {
    const early = 'HTTP/1.1 103 Early Hints\r\n\r\n';
    const endpoint = await openEndpoint(`${early}${line}\r\nContent-Length: 0\r\n\r\n`);
    expect(await send(endpoint)).toBe('bad-answer may-have-run');
  });

  it.each(invalidStatusLines)('is refused with %s for a request with a body', async (line) => {
    const endpoint = await openEndpoint(`${line}\r\nContent-Length: 0\r\n\r\n`);
    const body: RequestBody = { kind: 'whole', bytes: Buffer.from('body'), trailers: [] };
    expect(await send(endpoint, { method: 'POST', body })).toBe('bad-answer may-have-run');
    expect(await send(endpoint, { method: 'HEAD' })).toBe('bad-answer may-have-run');
  });

  /** Guards against valid responses that are refused. */
  it.each(combine(validStatusLines))('is accepted with $line $restName', async ({ line, rest }) => {
    const endpoint = await openEndpoint(`${line}\r\n${rest}`);
    expect(await send(endpoint)).toBe(line.slice(9, 12));
  });
});
