import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { ManualClock } from '@dotterelpass/values';
import { Backoff, ConsulClient, RateBudget } from '../src/index.js';

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

const servers: Server[] = [];

/** Starts a fake platform and records the connections that it accepts. */
async function openPlatform(handle: RequestHandler, options = {}) {
  const connections: Socket[] = [];
  const server = createServer((request, response) => {
    request.resume();
    handle(request, response);
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

describe('ConsulClient', () => {
  // Guards against `applied: 'no'` for a write that may have taken effect: writers rely on it to
  // report that nothing was written.
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
  ])(
    'reports the outcome of a write with response $status $body',
    async ({ status, body, expected }) => {
      const { client } = await openPlatform((_request, response) => {
        if (status === 0) response.destroy();
        else response.writeHead(status).end(body);
      });
      expect(await client.compareAndSwap('a', Buffer.from('x'), 1)).toMatchObject(expected);
    },
  );

  /** Guards against a refusal that proves nothing, and against a success of a write that was lost. */
  it.each([
    'HTTP/1.1 000 ',
    'HTTP/1.1 099 X',
    'HTTP/1.1 101 Switching Protocols',
    'HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade',
    'HTTP/1.1 600 X',
    'HTTP/1.1 999 X',
    'HTTP/1.1 OK',
  ])('does not know the outcome of a write with response %s', async (line) => {
    const { client } = await openPlatform((_request, { socket }) => {
      socket?.write(`${line}\r\nContent-Length: 4\r\n\r\ntrue`);
    });
    const writes = [
      await client.compareAndSwap('a', Buffer.from('x'), 1),
      await client.compareAndSwap('a', Buffer.from('x'), 1),
    ];
    expect(writes).toMatchObject(writes.map(() => ({ error: { applied: 'unknown' } })));
  });

  /** Guards against a response without end that fills the memory until the timeout. */
  it('ends a response that is too large', async () => {
    let sentBytes = 0;
    const { client } = await openPlatform(
      (_request, response) => {
        const block = Buffer.alloc(64 * 1024, 'x');
        const write = () => {
          if (response.destroyed) return;
          sentBytes += block.length;
          response.write(block, () => setImmediate(write));
        };
        write();
      },
      { timeoutMs: 30_000 },
    );
    expect(await client.compareAndSwap('a', Buffer.from('x'), 1)).toMatchObject({
      error: { kind: 'unreachable', applied: 'unknown' },
    });
    // The limit, and what the sockets on the way hold.
    expect(sentBytes).toBeLessThan(32 * 1024 * 1024);
  });

  /** Guards against a large response that is given up and begun anew, although it keeps arriving. */
  it.each([
    { name: 'keeps arriving', pieceMs: 60, expected: { value: { index: 7 } } },
    { name: 'stalls', pieceMs: 400, expected: { error: { kind: 'timeout' } } },
  ])('reads a response that takes longer than the time limit and $name', async (row) => {
    const { client } = await openPlatform(
      (_request, response) => {
        const text = '[]'.padStart(10, ' ');
        response.writeHead(200, { 'x-consul-index': 7, 'content-length': text.length });
        [...text].forEach((piece, index) => {
          setTimeout(() => response.write(piece), index * row.pieceMs);
        });
      },
      { timeoutMs: 200 },
    );
    expect(await client.read('a')).toMatchObject(row.expected);
  });

  // Guards against `applied: 'unknown'` when nothing listens on the port of the platform.
  it('reports that a refused connection wrote nothing', async () => {
    const result = await new ConsulClient('127.0.0.1:1').compareAndSwap('a', Buffer.from(''), 0);
    expect(result).toMatchObject({ error: { kind: 'unreachable', applied: 'no' } });
  });

  // Guards against calls that wait on connections which the network has dropped without a reset.
  // When one call times out, idle connections may be affected, too.
  it('closes all earlier connections after a watch timed out', async () => {
    let dropConnections = false;
    const dropped = new Set<Socket>();
    const { client, connections } = await openPlatform(
      (request, response) => {
        if (dropConnections) connections.forEach((socket) => dropped.add(socket));
        dropConnections = false;
        if (dropped.has(request.socket)) return;
        setImmediate(() => response.setHeader('x-consul-index', 7).end('[]'));
      },
      { graceMs: 50, timeoutMs: 200 },
    );
    await Promise.all([client.read('a'), client.read('b'), client.read('c')]);
    dropConnections = true;
    const watch = await client.read('a', { waitIndex: 1, waitMs: 50 });
    expect(watch).toMatchObject({ error: { kind: 'timeout', applied: 'no' } });
    expect(await client.read('a')).toMatchObject({ value: { index: 7 } });
    expect(connections).toHaveLength(4);
    expect(client.callCount).toBe(5);
  });

  // Guards against a changed registration format, which other instances read from the catalog.
  it('registers and deregisters an instance', async () => {
    const requests: string[] = [];
    const { client } = await openPlatform((request, response) => {
      let text = `${request.method ?? ''} ${request.url ?? ''} `;
      request.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      request.on('end', () => {
        requests.push(text);
        response.end();
      });
    });
    const instance = { id: 'entry-1', address: '127.0.0.1', port: 7070, leaving: true, meta: {} };
    expect((await client.registerInstance('dotterelpass-entry', instance)).isOk()).toBe(true);
    expect((await client.deregisterInstance('entry-1')).isOk()).toBe(true);
    expect(requests[0]).toContain('PUT /v1/agent/service/register');
    expect(requests[0]).toContain('"Meta":{"leaving":"true"}');
    expect(requests[1]).toContain('PUT /v1/agent/service/deregister/entry-1');
  });

  // Guards against more calls than the platform sustains.
  it('rejects a call beyond the budget without sending it', async () => {
    const budget = new RateBudget(new ManualClock(), () => 1, { reads: 1, writes: 1 });
    const options = { budget, unbudgetedPrefix: 'once/' };
    const { client } = await openPlatform((_request, response) => response.end('true'), options);
    const result = await client.compareAndSwap('a', Buffer.from(''), 0);
    expect(result).toMatchObject({ error: { kind: 'rate-limited', applied: 'no' } });
    expect(client.callCount).toBe(0);
    expect((await client.compareAndSwap('once/1/tail', Buffer.from(''), 0)).isOk()).toBe(true);
  });
});

describe('RateBudget', () => {
  // Guards against more than 400 writes per second to the platform: claims of `once` calls make up
  // to 200, so the budgets of all instances together may allow 200.
  it.each([1, 5, 40])('divides the rates by %i instances', (instances) => {
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

describe('Backoff', () => {
  // Guards against clients that retry at the same time, and against delays that grow without limit.
  it('doubles the bound up to the limit and picks delays below the bound', () => {
    const backoff = new Backoff({ next: () => 0.5 }, 50, 300);
    expect([...Array(5)].map(() => backoff.pickDelayMs())).toEqual([25, 50, 100, 150, 150]);
    backoff.reset();
    expect(backoff.pickDelayMs()).toBe(25);
  });
});
