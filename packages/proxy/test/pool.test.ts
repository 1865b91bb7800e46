import { createServer as createHttp } from 'node:http';
import type { RequestListener } from 'node:http';
import { createServer as createTcp } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { Cancellation, ConnectionPool } from '../src/index.js';
import type { Attempt, PoolLimits } from '../src/index.js';

const attempt = (change: Partial<Attempt> = {}): Attempt => ({
  method: 'GET',
  path: '/',
  headers: ['host', 'a'],
  body: { kind: 'none' },
  timeoutMs: 1000,
  ...change,
});

const wait = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('EndpointPool', () => {
  let open: { close(): void }[] = [];

  afterEach(() => {
    open.forEach((part) => part.close());
    open = [];
  });

  async function listen(server: Server, limits: Partial<PoolLimits> = {}) {
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const pool = new ConnectionPool(`127.0.0.1:${port}`, limits.maxConnections ?? 10, limits);
    open = [...open, server, pool];
    return pool;
  }

  /** An HTTP endpoint; answers with the number of the connection that the request came on. */
  async function openNumbered(limits: Partial<PoolLimits> = {}, handle?: RequestListener) {
    const sockets: Socket[] = [];
    const server = createHttp((request, response) => {
      if (handle) handle(request, response);
      else response.end(String(sockets.indexOf(request.socket)).padEnd(4));
    });
    server.on('connection', (socket) => sockets.push(socket));
    return { pool: await listen(server, limits), sockets };
  }

  async function read(pool: ConnectionPool, change: Partial<Attempt> = {}): Promise<string> {
    const sent = await pool.send(attempt(change));
    if (sent.isErr()) return `${sent.error.kind} ${sent.error.verdict}`;
    let text = '';
    for await (const chunk of sent.value) text += String(chunk);
    // The connection is free again one turn after the end.
    await wait(2);
    return text.trim();
  }

  // Guards against a false `not-run`, on which a request that ran would be sent again.
  it.each([
    {
      name: 'ends the connection',
      answer: (socket: Socket) => socket.end(),
      expected: 'reset may-have-run',
    },
    {
      name: 'resets the connection',
      answer: (socket: Socket) => socket.resetAndDestroy(),
      expected: 'reset may-have-run',
    },
    {
      name: 'sends no HTTP',
      answer: (socket: Socket) => socket.end('SSH-2.0-x\r\n\r\n'),
      expected: 'bad-answer may-have-run',
    },
    {
      name: 'sends half a head',
      answer: (socket: Socket) => socket.end('HTTP/1.1 200 OK\r\nA'),
      expected: 'reset may-have-run',
    },
    {
      name: 'sends neither length nor chunks',
      answer: (socket: Socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nhalf'),
      expected: 'bad-answer may-have-run',
    },
    {
      name: 'sends two lengths',
      answer: (socket: Socket) =>
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab'),
      expected: 'bad-answer may-have-run',
    },
    {
      name: 'switches protocols',
      answer: (socket: Socket) =>
        socket.write(
          'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n',
        ),
      expected: 'bad-answer may-have-run',
    },
    { name: 'says nothing', answer: () => undefined, expected: 'timeout may-have-run' },
  ])('judges an endpoint that $name', async ({ answer, expected }) => {
    const pool = await listen(createTcp((socket) => socket.once('data', () => answer(socket))));
    expect(await read(pool, { timeoutMs: 200 })).toBe(expected);
  });

  it('judges a refused connection, and tells that the endpoint is refusing', async () => {
    const server = createTcp();
    const pool = await listen(server);
    expect(await pool.isRefusingConnections()).toBe(false);
    server.close();
    expect(await read(pool)).toBe('connect not-run');
    expect(await pool.isRefusingConnections()).toBe(true);
  });

  it('judges a call that is cancelled while it waits for a connection', async () => {
    const { pool, sockets } = await openNumbered({ maxConnections: 1 }, () => undefined);
    void pool.send(attempt());
    const departure = new Cancellation();
    const queued = read(pool, { cancellation: departure });
    await wait(50);
    departure.cancel();
    expect(await queued).toBe('cancelled not-run');
    expect(sockets).toHaveLength(1);
  });

  it('hands a connection to the next call in line and opens no more than its cap', async () => {
    const { pool, sockets } = await openNumbered({ maxConnections: 2 }, (_request, response) => {
      setTimeout(() => response.end('ok'), 20);
    });
    expect(await Promise.all(Array.from({ length: 7 }, () => read(pool)))).toEqual(
      Array(7).fill('ok'),
    );
    expect(sockets).toHaveLength(2);
  });

  it('closes idle connections when its cap falls', async () => {
    const { pool } = await openNumbered();
    await Promise.all([read(pool), read(pool), read(pool)]);
    expect(pool.size).toBe(3);
    pool.setMaxConnections(1);
    expect(pool.size).toBe(1);
    expect(await Promise.all([read(pool), read(pool)])).toHaveLength(2);
    expect(pool.size).toBe(1);
  });

  it('reuses the connection that was used last, and drops those that are idle', async () => {
    const { pool } = await openNumbered({ idleMs: 150 });
    expect((await Promise.all([read(pool), read(pool)])).sort()).toEqual(['0', '1']);
    const last = await read(pool);
    for (let count = 0; count < 8; count++) {
      await wait(30);
      expect(await read(pool)).toBe(last);
    }
    expect(pool.size).toBe(1);
    await wait(250);
    expect(pool.size).toBe(0);
  });

  // Guards against losing a `once` call on a connection that has gone silent or is just closing.
  it('uses only a fresh connection when asked', async () => {
    const { pool } = await openNumbered({ freshMs: 60, maxConnections: 1 });
    expect(await read(pool)).toBe('0');
    expect(await read(pool, { requiresFreshConnection: true })).toBe('0');
    await wait(100);
    expect(await read(pool)).toBe('0');
    await wait(100);
    expect(await read(pool, { requiresFreshConnection: true })).toBe('1');
  });

  it('opens connections ahead of need while it is used', async () => {
    const { pool, sockets } = await openNumbered({ warmConnections: 3 });
    await read(pool);
    await wait(20);
    expect(sockets).toHaveLength(2);
    expect(await Promise.all([read(pool), read(pool)])).toEqual(expect.arrayContaining(['0', '1']));
    expect(sockets).toHaveLength(3);
  });

  // Guards against an answer that is taken for the answer to the next request.
  it('drops an idle connection on which bytes come', async () => {
    const pool = await listen(
      createTcp((socket) => {
        socket.on('error', () => undefined);
        socket.on('data', (head) => {
          const path = /GET (\S+)/.exec(head.toString())?.[1] ?? '';
          const answer = (text: string) =>
            `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
          socket.write(answer(path));
          setTimeout(() => socket.write(answer('late')), 20);
        });
      }),
    );
    expect(await read(pool, { path: '/1' })).toBe('/1');
    await wait(60);
    expect(pool.size).toBe(0);
    expect(await read(pool, { path: '/2' })).toBe('/2');
  });

  it('never uses a connection again whose answer was given up', async () => {
    const { pool } = await openNumbered({}, (request, response) => {
      setTimeout(() => response.end(request.url), request.url === '/slow' ? 100 : 0);
    });
    expect(await read(pool, { path: '/slow', timeoutMs: 50 })).toBe('timeout may-have-run');
    expect(await read(pool, { path: '/next' })).toBe('/next');
    await wait(100);
    expect(await read(pool, { path: '/last' })).toBe('/last');
  });

  describe('when answers do not come', () => {
    const limits = { silenceMs: 100, evidenceMs: 30 };

    /** Reports `calls` in turn; `/` is answered after `ms`, or never. */
    function openReporting(calls: number[], ms?: number, more: Partial<PoolLimits> = {}) {
      let asked = 0;
      return openNumbered({ ...limits, ...more }, (request, response) => {
        if (request.url === '/.well-known/load') {
          const inUse = calls[Math.min(asked, calls.length - 1)];
          asked += 1;
          response.end(JSON.stringify({ named_metrics: { slots_in_use: inUse, queued: 0 } }));
        } else if (ms !== undefined) setTimeout(() => response.end('honest'), ms);
      });
    }

    it.each([
      { name: 'a lost connection', calls: [0], ms: undefined, expected: 'reset may-have-run' },
      // Guards against cutting slow answers on elapsed time alone.
      { name: 'a slow answer', calls: [1], ms: 700, expected: 'honest' },
      { name: 'a slow answer that one report misses', calls: [0, 1], ms: 350, expected: 'honest' },
    ])('judges $name by evidence', async ({ calls, ms, expected }) => {
      const { pool } = await openReporting(calls, ms);
      expect(await read(pool, { timeoutMs: 3000 })).toBe(expected);
    });

    it.each([
      { name: 'nothing without leave', leaves: [false], ms: 700, expected: 'honest' },
      {
        name: 'again until it has leave',
        leaves: [true, false, false, true],
        ms: undefined,
        expected: 'reset may-have-run',
      },
    ])('asks $name of the probe budget', async ({ leaves, ms, expected }) => {
      let asked = 0;
      const readCalls = async () => {
        asked += 1;
        return leaves[Math.min(asked, leaves.length) - 1] ? 0 : undefined;
      };
      const { pool, sockets } = await openReporting([0], ms, { readCallCount: readCalls });
      expect(await read(pool, { timeoutMs: 3000 })).toBe(expected);
      expect(asked).toBeGreaterThan(1);
      expect(sockets).toHaveLength(1);
    });

    // Guards against sending the next call on a connection that went silent while it was idle.
    it('drops the idle connections with a silent one', async () => {
      const { pool } = await openReporting([0], undefined, { warmConnections: 3 });
      await read(pool, { path: '/.well-known/load' });
      const pending = read(pool);
      await wait(20);
      expect(pool.size).toBe(2);
      expect(await pending).toBe('reset may-have-run');
      // The pool learns of the end of a connection one turn after the call does.
      await wait(20);
      expect(pool.size).toBe(0);
    });

    it('cuts no more connections than the reports miss', async () => {
      const { pool } = await openReporting([1], 1500);
      const slow = { timeoutMs: 5000 };
      const ends = await Promise.all([read(pool, slow), read(pool, slow)]);
      expect(ends.sort()).toEqual(['honest', 'reset may-have-run']);
    });
  });
});
