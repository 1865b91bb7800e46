import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';
import { exchange } from './raw.js';

/** Time after a crash in which it is noticed and counted, in milliseconds. */
const noticeMs = 250;

const head = 'HTTP/1.1 200 OK\r\n';
const wholeAnswer = `${head}Content-Length: 2\r\n\r\nok`;
const part = 'x'.repeat(1000);
const largeLength = 2_000_000;

type Ending = 'end' | 'reset';

/** What an endpoint does with the request that crashes it. */
interface Crash {
  /** The part of an answer that it sends at once. */
  readonly answer: string;
  /** Time until it crashes, in milliseconds. */
  readonly afterMs: number;
  /** How its connections end. */
  readonly ending: Ending;
}

let bed: GatewayBed;
let crash: Crash;
let sockets: Set<Socket>[];
let runs: number;

/** Indexes of the endpoints that have crashed, in order. */
let crashed: number[];

/** Whether endpoints end only the connection of the request. */
let livesOn: boolean;

/** Bytes that endpoints send of the answer to `/large`, and which of them got it last. */
let largeBytes: number;
let lastLarge: number;

/** Starts endpoints that answer all requests but those for `/poison`. */
async function startEndpoints(count: number): Promise<void> {
  const handlers = Array.from({ length: count }, (_, index) => (socket: Socket) => {
    sockets[index] = (sockets[index] ?? new Set()).add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      const path = /^\S+ (\S+)/.exec(chunk.toString('latin1'))?.[1];
      if (path === '/poison') void runPoison(index, socket);
      else if (path === '/large') {
        lastLarge = index;
        socket.write(`${head}Content-Length: ${largeLength}\r\n\r\n${'L'.repeat(largeBytes)}`);
      } else socket.write(wholeAnswer);
    });
  });
  await bed.startRaw(...handlers);
}

async function runPoison(index: number, socket: Socket): Promise<void> {
  runs += 1;
  const { answer, afterMs } = crash;
  socket.write(answer);
  await sleep(afterMs);
  if (livesOn) closeSocket(socket);
  else crashEndpoint(index);
}

function crashEndpoint(index: number): void {
  crashed.push(index);
  bed.closeEndpoint(index);
  sockets[index]?.forEach(closeSocket);
}

function closeSocket(socket: Socket): void {
  if (crash.ending === 'reset') socket.resetAndDestroy();
  else socket.destroy();
}

/** Sends a request, and returns the status; 0 for a connection that ends without one. */
async function send(path: string, timeoutMs = 20_000): Promise<number> {
  const { text } = await exchange(bed.port, [
    `GET ${path} HTTP/1.1\r\nHost: h\r\ntimeout-ms: ${timeoutMs}\r\nConnection: close\r\n\r\n`,
  ]);
  return Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0);
}

/** Sends a request whose caller leaves after some time, or at the first bytes of the answer. */
async function sendAndLeave(leave: number | 'first bytes'): Promise<void> {
  const socket = connect(bed.port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write('GET /poison HTTP/1.1\r\nHost: h\r\ntimeout-ms: 20000\r\n\r\n');
  if (leave === 'first bytes') await once(socket, 'data');
  else await sleep(leave);
  socket.destroy();
}

beforeEach(() => {
  bed = new GatewayBed();
  sockets = [];
  runs = 0;
  crashed = [];
  livesOn = false;
});

afterEach(async () => {
  sockets.forEach((open) => open.forEach((socket) => socket.destroy()));
  await bed.close();
});

const answers = [
  { name: 'nothing', answer: '' },
  { name: 'half a head', answer: head },
  { name: 'a 1xx', answer: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  { name: 'a head', answer: `${head}Content-Length: 4000\r\n\r\n` },
  { name: 'a part of a declared body', answer: `${head}Content-Length: 4000\r\n\r\n${part}` },
  { name: 'chunks', answer: `${head}Transfer-Encoding: chunked\r\n\r\n3e8\r\n${part}\r\n` },
  { name: 'an unsized body', answer: `${head}\r\n${part}` },
  {
    name: 'a part of a 5xx body',
    answer: `HTTP/1.1 500 Failed\r\nContent-Length: 4000\r\n\r\n${part}`,
  },
  { name: 'a part of 2 MB', answer: `${head}Content-Length: ${largeLength}\r\n\r\n${part}` },
];

const endings = ['end', 'reset'] as const;

describe('a request that crashes endpoints', () => {
  /** Guards against crashes that count only before the head of the answer (review/13). */
  it.each([
    ...answers.flatMap((answer) => endings.map((ending) => ({ ...answer, ending, afterMs: 20 }))),
    ...answers
      .slice(-1)
      .flatMap((answer) => endings.map((ending) => ({ ...answer, ending, afterMs: 500 }))),
  ])('behind $name, $afterMs ms later, by $ending, is banned', async (row) => {
    crash = row;
    await startEndpoints(4);
    for (let attempt = 0; attempt < 2; attempt++) {
      await send('/poison');
      await sleep(noticeMs);
    }
    expect(await send('/poison')).toBe(503);
    expect(runs).toBe(2);
  });

  /** Guards against crashes that count only while their request is waited for (review/13). */
  it.each([
    {
      name: 'the deadline has passed',
      answer: `${head}Content-Length: 4000\r\n\r\n${part}`,
      sendOnce: async () => send('/poison', 200),
    },
    { name: 'its caller has left', answer: '', sendOnce: async () => sendAndLeave(100) },
    {
      name: 'its caller has left at the first bytes of a large answer',
      answer: `${head}Content-Length: ${largeLength}\r\n\r\n${part}`,
      sendOnce: async () => sendAndLeave('first bytes'),
    },
  ])('after $name is banned', async ({ answer, sendOnce }) => {
    crash = { answer, afterMs: 400, ending: 'reset' };
    await startEndpoints(4);
    bed.setRoute({ repeat: 'idempotent', maxAttempts: 1 });
    for (let attempt = 0; attempt < 2; attempt++) {
      const earlierRuns = runs;
      await sendOnce();
      await sleep(crash.afterMs + noticeMs);
      expect(runs).toBe(earlierRuns + 1);
      // Only the next request to the endpoint, or its registration, can show the crash.
      for (let count = 0; count < 12; count++) await send(`/other/${count}`);
      await sleep(noticeMs);
    }
    expect(await send('/poison')).toBe(503);
  });

  /** Guards against a crash of which no connection and no later request can tell. */
  it('is banned when the endpoints register anew', async () => {
    crash = { answer: '', afterMs: 200, ending: 'reset' };
    await startEndpoints(2);
    bed.setRoute({ repeat: 'idempotent', maxAttempts: 1 });
    const starts = [1, 1];
    for (let attempt = 0; attempt < 2; attempt++) {
      await sendAndLeave(50);
      await sleep(crash.afterMs + noticeMs);
      const index = crashed[attempt] as number;
      starts[index] = attempt + 2;
      await bed.reopenEndpoint(index);
      bed.gateway.setRegistrations(
        bed.registrations.map((registration, at) => ({
          ...registration,
          startedAtMs: starts[at],
        })),
      );
    }
    expect(await send('/poison')).toBe(503);
  });
});

describe('an endpoint that lives on', () => {
  /** Guards against a cut answer that is taken for a crash: the request would be banned. */
  it.each(answers.flatMap((answer) => endings.map((ending) => ({ ...answer, ending }))))(
    'behind $name, by $ending, has not crashed',
    async (row) => {
      crash = { ...row, afterMs: 20 };
      livesOn = true;
      await startEndpoints(2);
      for (let attempt = 0; attempt < 6; attempt++) {
        await send('/poison');
        await sleep(20);
      }
      await sleep(noticeMs);
      await send('/poison');
      expect(runs).toBe(7);
    },
  );
});

describe('a large answer', () => {
  /** Guards against the head of an answer that speaks for a request, and a whole one that does not. */
  it.each([
    { name: 'whole, speaks for its request', isWhole: true, status: 200 },
    { name: 'of which only the head came, does not', isWhole: false, status: 503 },
  ])('$name', async ({ isWhole, status }) => {
    crash = { answer: '', afterMs: 0, ending: 'reset' };
    await startEndpoints(6);
    largeBytes = isWhole ? largeLength : 1000;
    const before = Array.from({ length: 4 }, async () => send('/large', isWhole ? 20_000 : 300));
    await Promise.all(before);
    largeBytes = 1000;
    for (let index = 0; index < 2; index++) {
      const cut = send('/large');
      await sleep(50);
      crashEndpoint(lastLarge);
      await cut;
      await sleep(noticeMs);
    }
    largeBytes = largeLength;
    expect(await send('/large')).toBe(status);
  });
});
