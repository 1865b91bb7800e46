import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { CallerServer } from '../src/index.js';

/** Larger than what the sockets of both sides take. */
const bodyBytes = 16 * 1024 * 1024;

const idleMs = 300;

const formatGet = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('a caller that does not read its response', () => {
  const body = Buffer.alloc(bodyBytes);
  let server: CallerServer;
  let socket: Socket;

  beforeEach(async () => {
    server = new CallerServer(
      async ({ response, turn, target: { path } }) => {
        if (path === '/slow') {
          await sleep(3 * idleMs);
          response.end('slow');
          return;
        }
        turn.keep(bodyBytes);
        response.writeHead(200, { 'content-length': bodyBytes }).end(body);
      },
      { idleMs, maxKeptBytes: 2 * bodyBytes },
    );
    socket = connect(await server.listen('127.0.0.1', 0), '127.0.0.1');
    socket.on('error', () => undefined);
  });

  afterEach(async () => {
    socket.destroy();
    await server.close(100);
  });

  // Guards against memory that callers hold for as long as they like.
  it('is disconnected after the idle time, and its memory is free again', async () => {
    socket.pause().write(formatGet('/large'));
    await sleep(idleMs / 2);
    expect(server.keptBytes).toBe(bodyBytes);
    await sleep(4 * idleMs);
    expect(server.keptBytes).toBe(0);
    expect(server.activeCalls).toBe(0);
    let received = 0;
    socket.on('data', (chunk) => {
      received += chunk.length;
    });
    await once(socket.resume(), 'close');
    expect(received).toBeLessThan(bodyBytes);
  });

  // Guards against a time limit that cuts off a slow caller.
  it('gets the whole response if it only reads slowly', async () => {
    let received = 0;
    const startedAt = performance.now();
    socket.on('data', (chunk) => {
      received += chunk.length;
      socket.pause();
      setTimeout(() => socket.resume(), 5);
    });
    socket.write(formatGet('/large'));
    while (received < bodyBytes && !socket.destroyed) await sleep(10);
    expect(received).toBeGreaterThan(bodyBytes);
    expect(performance.now() - startedAt).toBeGreaterThan(2 * idleMs);
  });

  // Guards against the time limit of one response that goes on during the next call.
  it('keeps its connection while it waits for the response to the next request', async () => {
    let text = '';
    socket.write(formatGet('/large') + formatGet('/slow'));
    await sleep(idleMs / 2);
    socket.on('data', (chunk) => {
      text = (text + chunk.toString('latin1')).slice(-100);
    });
    await sleep(4 * idleMs);
    expect(text).toMatch(/slow$/);
  });
});
