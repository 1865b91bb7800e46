import { once } from 'node:events';
import { connect } from 'node:net';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { CallerServer, readBody, refuse } from '../src/index.js';
import { exchange } from './raw.js';

const host = 'Host: a\r\n';
const chunked = 'Transfer-Encoding: chunked\r\n';
const emptyChunk = '0\r\n\r\n';

describe('CallerServer', () => {
  let port = 0;
  let handled: string[] = [];
  const server = new CallerServer(
    async ({ request, response, id, target, acceptBody }) => {
      handled = [...handled, target.pathAndQuery];
      const ms = Number(/ms=(\d+)/.exec(target.pathAndQuery)?.[1] ?? 0);
      if (target.path === '/refuse') {
        refuse(response, id, { status: 404, verdict: 'not-run', message: 'refused' });
        return;
      }
      const body = await readBody(request, 100, 1000, acceptBody);
      if (body.isErr()) {
        refuse(response, id, body.error);
        return;
      }
      await new Promise((resolve) => {
        setTimeout(resolve, ms);
      });
      const size = body.value.kind === 'whole' ? body.value.bytes.length : 0;
      const text = `${target.host}${target.pathAndQuery} ${size}\n`;
      response.writeHead(200, { 'x-request-id': id, 'content-length': text.length }).end(text);
    },
    { headersTimeoutMs: 200, lingerMs: 200 },
  );

  beforeAll(async () => {
    port = await server.listen('127.0.0.1', 0);
  });
  beforeEach(() => {
    handled = [];
  });
  afterAll(() => server.close(100));

  // Guards against request smuggling: bytes that another reader would split into other requests.
  it.each([
    // Refused by Node's parser; the table guards against a change of that.
    {
      name: 'length and chunks',
      head: `POST / HTTP/1.1\r\n${host}Content-Length: 5\r\n${chunked}`,
      body: emptyChunk,
    },
    {
      name: 'a repeated length',
      head: `POST / HTTP/1.1\r\n${host}Content-Length: 5\r\nContent-Length: 5\r\n`,
      body: 'hello',
    },
    {
      name: 'a list of lengths',
      head: `POST / HTTP/1.1\r\n${host}Content-Length: 5, 5\r\n`,
      body: 'hello',
    },
    {
      name: 'a signed length',
      head: `POST / HTTP/1.1\r\n${host}Content-Length: +5\r\n`,
      body: 'hello',
    },
    {
      name: 'a hexadecimal length',
      head: `POST / HTTP/1.1\r\n${host}Content-Length: 0x5\r\n`,
      body: 'hello',
    },
    {
      name: 'an empty length',
      head: `POST / HTTP/1.1\r\n${host}Content-Length: \r\n`,
      body: 'hello',
    },
    {
      name: 'a coding after chunked',
      head: `POST / HTTP/1.1\r\n${host}Transfer-Encoding: chunked, identity\r\n`,
      body: emptyChunk,
    },
    {
      name: 'an unknown coding',
      head: `POST / HTTP/1.1\r\n${host}Transfer-Encoding: xchunked\r\n`,
      body: emptyChunk,
      status: 501,
    },
    {
      name: 'repeated chunked',
      head: `POST / HTTP/1.1\r\n${host}${chunked}${chunked}`,
      body: emptyChunk,
    },
    { name: 'a folded header', head: `GET / HTTP/1.1\r\n${host}X-A: b\r\n c\r\n` },
    {
      name: 'a folded coding',
      head: `POST / HTTP/1.1\r\n${host}Transfer-Encoding:\r\n chunked\r\n`,
      body: emptyChunk,
    },
    { name: 'a bare CR', head: `GET / HTTP/1.1\r\n${host}X-A: b\rc\r\n` },
    { name: 'a bare LF', head: `GET / HTTP/1.1\r\nHost: a\nX-B: c\r\n` },
    { name: 'a NUL', head: `GET / HTTP/1.1\r\n${host}X-A: b\0c\r\n` },
    { name: 'space before a colon', head: `GET / HTTP/1.1\r\n${host}X-A : b\r\n` },
    {
      name: 'a chunk that ends with LF',
      head: `POST / HTTP/1.1\r\n${host}${chunked}`,
      body: `5\nhello\r\n${emptyChunk}`,
    },
    {
      name: 'LF in a chunk extension',
      head: `POST / HTTP/1.1\r\n${host}${chunked}`,
      body: `5;a\nb\r\nhello\r\n${emptyChunk}`,
    },
    {
      name: 'a chunk size that overflows',
      head: `POST / HTTP/1.1\r\n${host}${chunked}`,
      body: `fffffffffffffffff\r\nhello\r\n`,
    },
    {
      name: 'a chunk size with a sign',
      head: `POST / HTTP/1.1\r\n${host}${chunked}`,
      body: `-5\r\nhello\r\n`,
    },
    { name: 'an unknown version', head: `GET / HTTP/1.2\r\n${host}` },
    // Refused here.
    {
      name: 'a coding before chunked',
      head: `POST / HTTP/1.1\r\n${host}Transfer-Encoding: gzip, chunked\r\n`,
      body: emptyChunk,
      status: 501,
    },
    { name: 'chunks in HTTP/1.0', head: `POST / HTTP/1.0\r\n${host}${chunked}`, body: emptyChunk },
    { name: 'two hosts', head: `GET / HTTP/1.1\r\n${host}${host}` },
    { name: 'no host', head: `GET / HTTP/1.1\r\n` },
    { name: 'a host with a path', head: `GET / HTTP/1.1\r\nHost: a/b\r\n` },
    { name: 'a fragment', head: `GET /a#b HTTP/1.1\r\n${host}` },
    { name: 'dot segments', head: `GET /a/../b HTTP/1.1\r\n${host}` },
    { name: 'encoded dot segments', head: `GET /a/%2E%2e/b HTTP/1.1\r\n${host}` },
    { name: 'a backslash', head: `GET /a\\b HTTP/1.1\r\n${host}` },
    { name: 'an asterisk with GET', head: `GET * HTTP/1.1\r\n${host}` },
    {
      name: 'a websocket',
      head: `GET / HTTP/1.1\r\n${host}Connection: Upgrade\r\nUpgrade: websocket\r\n`,
      status: 501,
    },
    { name: 'CONNECT', head: `CONNECT a:1 HTTP/1.1\r\n${host}`, status: 501 },
    {
      name: 'an unknown expectation',
      head: `GET / HTTP/1.1\r\n${host}Expect: money\r\n`,
      status: 417,
    },
    {
      name: 'headers beyond 16 KB',
      head: `GET / HTTP/1.1\r\n${host}X-A: ${'a'.repeat(17_000)}\r\n`,
      status: 431,
    },
    {
      name: 'a body beyond the limit',
      head: `POST / HTTP/1.1\r\n${host}Content-Length: 101\r\n`,
      body: 'a'.repeat(101),
      status: 413,
      late: true,
    },
    {
      name: 'chunks beyond the limit',
      head: `POST / HTTP/1.1\r\n${host}${chunked}`,
      body: `65\r\n${'a'.repeat(101)}\r\n${emptyChunk}`,
      status: 413,
      late: true,
    },
  ] as { name: string; head: string; body?: string; status?: number; late?: boolean }[])(
    'refuses $name',
    async ({ head, body = '', status = 400, late = false }) => {
      const { text } = await exchange(port, [`${head}\r\n${body}`], (got) => got.includes('"}'));
      expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
      expect(text).toMatch(/x-request-id: [0-9a-f-]{36}/i);
      expect(text).toMatch(/x-request-outcome: not-run/i);
      // A request whose body is malformed behind a good head has reached the handler.
      if (!late && !head.includes('chunked\r\n')) expect(handled).toEqual([]);
    },
  );

  it.each([
    {
      name: 'an absolute target',
      head: `GET http://B:80/x?y HTTP/1.1\r\n${host}`,
      expected: 'b/x?y 0',
    },
    {
      name: 'an offer of h2c',
      head: `GET /x HTTP/1.1\r\n${host}Connection: Upgrade\r\nUpgrade: h2c\r\n`,
      expected: 'a/x 0',
    },
    { name: 'HTTP/1.0 without host', head: 'GET /x HTTP/1.0\r\n', expected: '/x 0' },
    {
      name: 'dots inside names',
      head: `GET /a..b/.c/v1.2 HTTP/1.1\r\n${host}`,
      expected: 'a/a..b/.c/v1.2 0',
    },
    { name: 'OPTIONS of the server', head: `OPTIONS * HTTP/1.1\r\n${host}`, expected: 'a* 0' },
    {
      name: 'chunks',
      head: `POST / HTTP/1.1\r\n${host}${chunked}`,
      body: `5;x=y\r\nhello\r\n${emptyChunk}`,
      expected: 'a/ 5',
    },
  ])('serves $name', async ({ head, body = '', expected }) => {
    const { text } = await exchange(port, [`${head}\r\n${body}`], (got) => got.endsWith('\n'));
    expect(text).toContain(`\r\n\r\n${expected}\n`);
  });

  it.each([
    { given: 'abc-1.2:3', kept: true },
    { given: 'a b', kept: false },
    { given: 'a'.repeat(129), kept: false },
    { given: '<script>', kept: false },
  ])('keeps the request id $given: $kept', async ({ given, kept }) => {
    const head = `GET / HTTP/1.1\r\n${host}X-Request-Id: ${given}\r\n\r\n`;
    const { text } = await exchange(port, [head], (got) => got.endsWith('\n'));
    expect(text.includes(`x-request-id: ${given}`)).toBe(kept);
    expect(text).toMatch(/x-request-id: \S+\r\n/);
  });

  // Guards against an answer that is taken for the answer to another request.
  it('answers pipelined requests in their order, and bytes that are no request last', async () => {
    const get = (path: string) => `GET ${path} HTTP/1.1\r\n${host}\r\n`;
    const { text } = await exchange(port, [get('/1?ms=80'), get('/2?ms=1'), 'garbage\r\n\r\n']);
    const statuses = text.match(/HTTP\/1.1 \d+|a\/\d/g);
    expect(statuses).toEqual(['HTTP/1.1 200', 'a/1', 'HTTP/1.1 200', 'a/2', 'HTTP/1.1 400']);
  });

  it('tells a caller that asks first to go on, but not when the call is refused', async () => {
    const head = (path: string) =>
      `POST ${path} HTTP/1.1\r\n${host}Expect: 100-continue\r\nContent-Length: 5\r\n\r\n`;
    const served = await exchange(port, [head('/x'), 50, 'hello'], (got) => got.includes('a/x 5'));
    expect(served.text).toMatch(/^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200/);
    // The next request may stand where the body was awaited, so the connection must end.
    const refused = await exchange(port, [head('/refuse')]);
    expect(refused.text).toMatch(/^HTTP\/1.1 404 .*\r\nConnection: close\r\n/s);
    expect(refused.end).toBe('end');
  });

  it.each([
    { name: 'headers', parts: [`GET / HTTP/1.1\r\nHost:`], status: 408 },
    {
      name: 'a body',
      parts: [`POST / HTTP/1.1\r\n${host}Content-Length: 5\r\n\r\nhe`],
      status: 408,
    },
  ])('cuts a caller that stops within $name', async ({ parts, status }) => {
    const { text, end } = await exchange(port, parts);
    expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(end).not.toBe('open');
  });

  it('ends idle connections and asks others to close when it stops', async () => {
    const draining = new CallerServer(async ({ response }) => {
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      response.end('whole');
    });
    const own = await draining.listen('127.0.0.1', 0);
    const get = `GET / HTTP/1.1\r\n${host}\r\n`;
    // The second request comes after the first was answered without `Connection: close`.
    const busy = exchange(own, [get, 200, get]);
    const idle = exchange(own, [get]);
    const pipelined = [20, 80].map((ms) => exchange(own, [200, get, ms, get]));
    await new Promise((resolve) => {
      setTimeout(resolve, 250);
    });
    draining.startDraining();
    await draining.close(5000);
    // The last request of each came before the stop and during it.
    for (const { text } of await Promise.all(pipelined)) {
      expect(text.match(/whole/g)).toHaveLength(2);
      expect(text).toMatch(/^[^]*keep-alive[^]*whole[^]*Connection: close[^]*whole$/);
    }
    expect((await busy).text.match(/whole/g)).toHaveLength(2);
    expect((await busy).end).toBe('end');
    expect((await idle).end).toBe('end');
  });

  /** Guards a call that may run once against running without anyone to give the answer to. */
  it('does not run a request that crosses the end of its connection', async () => {
    let runs = 0;
    const closing = new CallerServer(async ({ response }) => {
      runs += 1;
      response.end('whole');
    });
    const own = await closing.listen('127.0.0.1', 0);
    const socket = connect({ host: '127.0.0.1', port: own, allowHalfOpen: true });
    await once(socket, 'connect');
    socket.on('error', () => undefined).resume();
    socket.once('end', () => socket.write(`POST / HTTP/1.1\r\n${host}Content-Length: 0\r\n\r\n`));
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    await closing.close(2000);
    socket.destroy();
    expect(runs).toBe(0);
  });

  it('serves a request that follows an answer which could not ask to close', async () => {
    const draining = new CallerServer(async ({ response }) => {
      response.write('begun, ');
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
      response.end('whole');
    });
    const own = await draining.listen('127.0.0.1', 0);
    const get = `GET / HTTP/1.1\r\n${host}\r\n`;
    const both = exchange(own, [get, 130, get]);
    await new Promise((resolve) => {
      setTimeout(resolve, 60);
    });
    await draining.close(5000);
    const { text } = await both;
    expect(text.match(/whole/g)).toHaveLength(2);
    expect(text).toMatch(/Connection: close/);
  });
});
