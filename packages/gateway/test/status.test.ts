import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { GatewayBed } from './bed.js';
import { exchange, invalidStatusLines, responseRests, validStatusLines } from './raw.js';

const good = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood';
const healthy = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';

let bed: GatewayBed;
let sockets: Socket[] = [];

/** Paths that each endpoint was asked for, without health probes. */
let asked: string[][] = [];

beforeEach(() => {
  bed = new GatewayBed();
  sockets = [];
  asked = [];
});

afterEach(async () => {
  sockets.forEach((socket) => socket.destroy());
  await bed.close();
});

/** Starts two endpoints, which answer `/bad` with one of the answers in turn, other paths well. */
async function start(...answers: string[]): Promise<void> {
  asked = [[], []];
  let badCount = 0;
  const handlers = asked.map((paths) => (socket: Socket) => {
    sockets.push(socket);
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (!text.includes('\r\n\r\n')) return;
      const path = /^\S+ (\S*)/.exec(text)?.[1] ?? '';
      text = '';
      if (path !== '/healthz') paths.push(path);
      if (path === '/bad') {
        socket.write(answers[badCount % answers.length] as string);
        badCount += 1;
      } else socket.write(path === '/healthz' ? healthy : good);
    });
  });
  await bed.startRaw(...handlers);
}

/** Sends requests on one connection, and returns what came back until the connection closed. */
async function send(...requests: string[]): Promise<string> {
  const { text, end } = await exchange(bed.port, requests);
  expect(end).toBe('end');
  return text;
}

const format = (path: string, method = 'GET', headers = '') =>
  `${method} ${path} HTTP/1.1\r\nHost: h\r\n${headers}`;
const last = 'Connection: close\r\n';

const listStatuses = (text: string) =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));

const requests = [
  { body: 'without a body', request: `${format('/bad', 'GET', last)}\r\n` },
  {
    body: 'with a body',
    request: `${format('/bad', 'POST', `${last}Content-Length: 4\r\n`)}\r\nbody`,
  },
];

const rows = invalidStatusLines.flatMap((line) =>
  requests.flatMap((request) =>
    Object.entries(responseRests).map(([rest, text]) => ({
      line,
      rest,
      bad: `${line}\r\n${text}`,
      ...request,
    })),
  ),
);

describe('a response with an invalid status', () => {
  /** Guards against a caller that gets a status such as 000, and against a second run of a call. */
  it.each(rows)(
    'ends a call that may run once: $line $rest, request $body',
    async ({ bad, request }) => {
      await start(bad);
      const text = await send(request);
      expect(listStatuses(text)).toEqual([502]);
      expect(text).toContain('x-request-outcome: may-have-run');
      expect(asked.flat()).toEqual(['/bad']);
    },
  );

  it.each(rows)(
    'is replaced by that of another endpoint if the call may be repeated: $line $rest, $body',
    async ({ bad, request }) => {
      await start(bad, good);
      bed.setRoute({ repeat: 'idempotent' });
      const text = await send(request);
      expect(listStatuses(text)).toEqual([200]);
      expect(text).toMatch(/good$/);
      expect(asked).toEqual([['/bad'], ['/bad']]);
    },
  );

  it.each(rows)(
    'ends a call whose endpoints all respond with one: $line $rest, $body',
    async ({ bad, request }) => {
      await start(bad);
      bed.setRoute({ repeat: 'idempotent' });
      const text = await send(request);
      expect(listStatuses(text)).toEqual([502]);
      expect(text).toContain('x-request-outcome: may-have-run');
      expect(asked).toEqual([['/bad'], ['/bad']]);
    },
  );

  /** Guards against responses that reach the wrong calls of a connection, or none. */
  it.each(invalidStatusLines)('keeps its place among pipelined calls: %s', async (line) => {
    await start(`${line}\r\nContent-Length: 4\r\n\r\nbody`);
    const text = await send(
      ...['/first', '/bad', '/second', '/bad'].map((path) => `${format(path)}\r\n`),
      `${format('/last', 'GET', last)}\r\n`,
    );
    expect(listStatuses(text)).toEqual([200, 502, 200, 502, 200]);
    expect(text.match(/good/g)).toHaveLength(3);
  });

  /** Guards against the use of a connection on which the rest of an invalid response may follow. */
  it.each(invalidStatusLines)('closes the connection that was kept: %s', async (line) => {
    await start(`${line}\r\nContent-Length: 0\r\n\r\n`);
    const path = (name: string) => `${format(name, 'GET', last)}\r\n`;
    for (let count = 0; count < 4; count++) await send(path('/good'));
    const openBefore = sockets.filter(({ destroyed }) => !destroyed).length;
    expect(listStatuses(await send(path('/bad')))).toEqual([502]);
    await vi.waitFor(() =>
      expect(sockets.filter(({ destroyed }) => !destroyed)).toHaveLength(openBefore - 1),
    );
    expect(listStatuses(await send(path('/good')))).toEqual([200]);
  });

  /** Guards against informational responses without end, and against one that counts as the last. */
  it.each(['100 Continue', '102 Processing', '103 Early Hints', '199 X'])(
    'comes after any number of informational ones: %s',
    async (status) => {
      await start(`HTTP/1.1 ${status}\r\n\r\n`.repeat(100));
      const text = await send(`${format('/bad', 'GET', last)}\r\n`);
      expect(listStatuses(text)).toEqual([502]);
    },
  );

  it.each(validStatusLines)('is not one with a valid status: %s', async (line) => {
    await start(`${line}\r\nContent-Length: 4\r\n\r\nbody`);
    const text = await send(`${format('/bad', 'GET', last)}\r\n`);
    expect(text.startsWith(line.slice(0, 12))).toBe(true);
    expect(text).toMatch(/body$/);
  });
});
