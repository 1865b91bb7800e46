import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { CallerServer } from '../src/index.js';
import { exchange } from './raw.js';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Callers that leave at the same time. */
const callerCount = 20;

/** Time after which the server ends connections that it has answered, in milliseconds. */
const lingerMs = 200;

const get = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

describe('a caller that leaves', () => {
  let port = 0;
  let server: CallerServer;
  let cancelled: string[] = [];
  let uncaught: Error[] = [];

  const recordUncaught = (error: Error) => {
    uncaught = [...uncaught, error];
  };

  beforeEach(async () => {
    cancelled = [];
    uncaught = [];
    process.on('uncaughtException', recordUncaught);
    server = new CallerServer(
      async ({ response, target: { path }, cancellation }) => {
        if (path === '/slow') {
          await new Promise<void>((resolve) => {
            cancellation.addListener(resolve);
          });
          cancelled = [...cancelled, path];
          return;
        }
        response.end(path === '/large' ? 'x'.repeat(20_000) : 'served');
      },
      { lingerMs },
    );
    port = await server.listen('127.0.0.1', 0);
  });

  afterEach(async () => {
    process.off('uncaughtException', recordUncaught);
    await server.close(100);
  });

  async function open(): Promise<Socket> {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    await new Promise((resolve) => {
      socket.once('connect', resolve);
    });
    return socket;
  }

  // Guards against a process that ends because of what one caller sends (review/7).
  it.each([
    { name: 'CONNECT', text: 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n' },
    { name: 'CONNECT and further bytes', text: 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\nbytes' },
    {
      name: 'CONNECT behind a call',
      text: `${get('/slow')}CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n`,
    },
    {
      name: 'an upgrade',
      text: 'GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n',
    },
    { name: 'OPTIONS *', text: 'OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n' },
    { name: 'garbage', text: 'garbage\r\n\r\n' },
    {
      name: 'an expectation',
      text: 'POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n',
    },
    { name: 'part of a head', text: 'GET / HTT' },
  ])('with a reset harms no other after $name', async ({ text }) => {
    const sockets = await Promise.all(Array.from({ length: callerCount }, open));
    sockets.forEach((socket, index) => {
      socket.write(text);
      setTimeout(() => socket.resetAndDestroy(), index / 4);
    });
    await sleep(60);
    expect(uncaught).toEqual([]);
    const { text: answer } = await exchange(port, [get('/')], (received) =>
      received.endsWith('served'),
    );
    expect(answer).toMatch(/served$/);
    expect(server.activeCalls).toBe(0);
  });

  // Guards against descriptors that callers hold for as long as they like.
  it('only by its own time loses its connection after CONNECT', async () => {
    const socket = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    const closed = new Promise((resolve) => {
      socket.on('error', resolve).on('close', resolve);
    });
    socket.write('CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n');
    await sleep(2 * lingerMs);
    expect(text).toMatch(/^HTTP\/1.1 501 /);
    // The write meets a connection that the server has destroyed.
    const timer = setInterval(() => socket.write('x'), 20);
    await closed;
    clearInterval(timer);
  });

  // Guards against endpoints that work on for callers which have left while a response waits behind
  // an earlier one (review/10).
  it.each([
    { name: 'an ordinary close', leave: (socket: Socket) => socket.end() },
    { name: 'a reset', leave: (socket: Socket) => socket.resetAndDestroy() },
  ])('by $name behind a large waiting response is noticed', async ({ leave }) => {
    const socket = await open();
    socket.write(get('/slow'));
    await sleep(20);
    socket.write(get('/large'));
    await sleep(20);
    socket.write(get('/slow'));
    await sleep(20);
    leave(socket);
    await sleep(100);
    expect(cancelled).toEqual(['/slow', '/slow']);
    socket.destroy();
  });
});
