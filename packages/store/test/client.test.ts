import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { ManualClock } from '@dotterelpass/values';
import { Backoff, ConsulClient, RateBudget } from '../src/index.js';

type Serve = (request: IncomingMessage, response: ServerResponse) => void;

const servers: Server[] = [];

/** Starts a platform that answers as told, and counts its connections. */
async function openPlatform(serve: Serve, options = {}) {
  const connections: Socket[] = [];
  const server = createServer((request, response) => {
    request.resume();
    serve(request, response);
  });
  server.on('connection', (socket) => connections.push(socket));
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { client: new ConsulClient(`127.0.0.1:${port}`, options), connections };
}

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
});

describe('the platform client', () => {
  /** Guards writers: only a proven `no` permits them to say that nothing was written. */
  it.each([
    { status: 200, body: 'true', expected: { value: true } },
    { status: 200, body: 'false', expected: { value: false } },
    {
      status: 429,
      body: 'slow down',
      expected: { error: { kind: 'rate-limited', applied: 'no' } },
    },
    { status: 400, body: 'bad', expected: { error: { kind: 'refused', applied: 'no' } } },
    { status: 500, body: 'oh', expected: { error: { kind: 'refused', applied: 'unknown' } } },
    { status: 0, body: '', expected: { error: { kind: 'unreachable', applied: 'unknown' } } },
  ])('tells what became of a write answered $status $body', async ({ status, body, expected }) => {
    const { client } = await openPlatform((_request, response) => {
      if (status === 0) response.destroy();
      else response.writeHead(status).end(body);
    });
    expect(await client.compareAndSwap('a', Buffer.from('x'), 1)).toMatchObject(expected);
  });

  /** Guards writers against a wrong "unknown" while nothing listens. */
  it('knows that a refused connection wrote nothing', async () => {
    const answer = await new ConsulClient('127.0.0.1:1').compareAndSwap('a', Buffer.from(''), 0);
    expect(answer).toMatchObject({ error: { kind: 'unreachable', applied: 'no' } });
  });

  /** Guards against waiting for ever on connections that went silent, idle ones included. */
  it('leaves all old connections after a watch got no answer', async () => {
    let silent = false;
    const dead = new Set<Socket>();
    const { client, connections } = await openPlatform(
      (request, response) => {
        if (silent) connections.forEach((socket) => dead.add(socket));
        silent = false;
        if (dead.has(request.socket)) return;
        setImmediate(() => response.setHeader('x-consul-index', 7).end('[]'));
      },
      { graceMs: 50, timeoutMs: 200 },
    );
    await Promise.all([client.read('a'), client.read('b'), client.read('c')]);
    silent = true;
    const watch = await client.read('a', { waitIndex: 1, waitMs: 50 });
    expect(watch).toMatchObject({ error: { kind: 'timeout', applied: 'no' } });
    expect(await client.read('a')).toMatchObject({ value: { index: 7 } });
    expect(connections).toHaveLength(4);
    expect(client.calls).toBe(5);
  });

  /** Guards the form in which instances are registered, which the list shows to others. */
  it('registers an instance and takes it off', async () => {
    const seen: string[] = [];
    const { client } = await openPlatform((request, response) => {
      let text = `${request.method ?? ''} ${request.url ?? ''} `;
      request.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      request.on('end', () => {
        seen.push(text);
        response.end();
      });
    });
    const instance = { id: 'entry-1', address: '127.0.0.1', port: 7070, leaving: true, meta: {} };
    expect((await client.registerInstance('dotterelpass-entry', instance)).isOk()).toBe(true);
    expect((await client.deregisterInstance('entry-1')).isOk()).toBe(true);
    expect(seen[0]).toContain('PUT /v1/agent/service/register');
    expect(seen[0]).toContain('"Meta":{"leaving":"true"}');
    expect(seen[1]).toContain('PUT /v1/agent/service/deregister/entry-1');
  });

  /** Guards the platform against more calls than it sustains. */
  it('refuses a call beyond the budget without sending it', async () => {
    const budget = new RateBudget(new ManualClock(), () => 1, { reads: 1, writes: 1 });
    const options = { budget, unbudgetedPrefix: 'once/' };
    const { client } = await openPlatform((_request, response) => response.end('true'), options);
    const answer = await client.compareAndSwap('a', Buffer.from(''), 0);
    expect(answer).toMatchObject({ error: { kind: 'rate-limited', applied: 'no' } });
    expect(client.calls).toBe(0);
    expect((await client.compareAndSwap('once/1/tail', Buffer.from(''), 0)).isOk()).toBe(true);
  });
});

describe('the rate budget', () => {
  /** Guards the rates of the fleet: with 200 writes of claims it stays below 400 a second. */
  it.each([1, 5, 40])('divides the rates among %i instances', (instances) => {
    const clock = new ManualClock();
    const budget = new RateBudget(clock, () => instances);
    clock.advance(60_000);
    let written = 0;
    for (let ms = 0; ms < 1000; ms++) {
      while (written < 10_000 && budget.acquire('writes') === 0) written += 1;
      clock.advance(1);
    }
    expect(written * instances).toBeLessThanOrEqual(200);
    expect(written * instances).toBeGreaterThan(100);
    expect(budget.acquire('reads')).toBe(0);
  });
});

describe('back-off', () => {
  /** Guards against clients that come back in step, and against waits without a bound. */
  it('doubles its bound up to the limit and draws below it', () => {
    const backoff = new Backoff({ next: () => 0.5 }, 50, 300);
    expect([...Array(5)].map(() => backoff.pickMs())).toEqual([25, 50, 100, 150, 150]);
    backoff.reset();
    expect(backoff.pickMs()).toBe(25);
  });
});
