import { request as sendRequest } from 'node:http';
import type { IncomingMessage, RequestListener } from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { exchange, openProxy, waitFor } from './proxy.js';
import type { FakeEndpoint, TestProxy } from './proxy.js';

const host = 'Host: a\r\n';
const get = `GET /x HTTP/1.1\r\n${host}\r\n`;

/** Responds with the method, path, headers, body size and trailers of the request. */
const echo: RequestListener = (request, response) => {
  let body = '';
  request.on('error', () => undefined);
  request.on('data', (chunk) => {
    body += chunk;
  });
  request.on('end', () => {
    const { method, url, headers, trailers } = request;
    response.end(`${JSON.stringify({ method, url, headers, trailers, size: body.length })}\n`);
  });
};

/** An endpoint that responds to any data with fixed bytes. */
const raw = (answer: string, end = true): FakeEndpoint => ({
  raw: (socket) =>
    socket.on('data', () => {
      socket.write(answer);
      // Delayed, because Node.js reports data that arrives together with a reset as an orderly end.
      if (end) setTimeout(() => socket.end(), 30);
    }),
});

describe('CallHandler', () => {
  let proxy: TestProxy | undefined;

  afterEach(async () => {
    await proxy?.close();
    proxy = undefined;
  });

  async function open(...args: Parameters<typeof openProxy>): Promise<TestProxy> {
    proxy = await openProxy(...args);
    return proxy;
  }

  // Guards against hop-by-hop headers that leak to the other connection.
  it('removes connection headers from requests and responses', async () => {
    const { port } = await open([
      (request, response) => {
        response.setHeader('connection', 'x-hop');
        response.setHeader('x-hop', 'secret');
        response.setHeader('proxy-authenticate', 'Basic');
        response.setHeader('set-cookie', ['a=1', 'b=2']);
        echo(request, response);
      },
    ]);
    const head =
      `GET /x?y=1 HTTP/1.1\r\n${host}Connection: keep-alive, X-Drop, Host\r\nX-Drop: 1\r\nKeep-Alive: 5\r\n` +
      'TE: trailers\r\nProxy-Authorization: x\r\nX-Keep: 1\r\nX-Request-Id: id-1\r\n\r\n';
    const { text } = await exchange(
      port,
      [head],
      (got) => got.endsWith('\n\r\n0\r\n\r\n') || got.endsWith('}\n'),
    );
    const sent = JSON.parse(/\{.*\}/.exec(text)?.[0] ?? '') as { headers: object };
    expect(Object.keys(sent.headers).sort()).toEqual([
      'connection',
      'host',
      'x-keep',
      'x-request-id',
      'x-request-timeout-ms',
    ]);
    expect(text).not.toMatch(/x-hop|proxy-auth/i);
    expect(text).toMatch(/set-cookie: a=1\r\nset-cookie: b=2\r\n/i);
    expect(text).toMatch(/x-request-id: id-1\r\n/);
  });

  // Guards against lost trailers, and against credentials smuggled in trailers.
  it('forwards trailers of requests and responses, except forbidden fields', async () => {
    const { port } = await open(
      [
        (request, response) => {
          response.flushHeaders();
          response.addTrailers({ 'x-sum': '1', authorization: 'x' });
          echo(request, response);
        },
      ],
      { methods: ['POST'] },
    );
    const head = `POST / HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n`;
    const body = '5\r\nhello\r\n0\r\nX-Check: 2\r\nAuthorization: x\r\n\r\n';
    const { text } = await exchange(port, [head, body], (got) => /\r\n0\r\n.*\r\n\r\n$/s.test(got));
    expect(text).toContain('"trailers":{"x-check":"2"}');
    expect(text).toMatch(/0\r\nx-sum: 1\r\n\r\n$/);
  });

  // Guards against wrong framing of responses without a body and of interim responses.
  it.each([
    {
      name: 'keeps the content length of a response to HEAD',
      answer: 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n',
      method: 'HEAD',
      expected: /200 OK.*content-length: 5\r\n.*\r\n\r\n$/is,
    },
    {
      name: 'forwards a 204 without a body',
      answer: 'HTTP/1.1 204 No Content\r\n\r\n',
      method: 'GET',
      expected: /204 No Content.*\r\n\r\n$/s,
    },
    {
      name: 'keeps the ETag of a 304',
      answer: 'HTTP/1.1 304 Not Modified\r\nETag: "x"\r\n\r\n',
      method: 'GET',
      expected: /304 .*etag: "x"/is,
    },
    {
      name: 'forwards 102 Processing',
      answer: 'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
      method: 'GET',
      expected: /^HTTP\/1.1 102 Processing\r\n\r\nHTTP\/1.1 200 .*ok$/s,
    },
  ])('$name', async ({ answer, method, expected }) => {
    const { port } = await open([raw(answer, false)]);
    const sent = `${method} / HTTP/1.1\r\n${host}Connection: close\r\n\r\n`;
    expect((await exchange(port, [sent])).text).toMatch(expected);
  });

  // Guards against a truncated response that looks complete to the caller.
  it.each([
    {
      name: 'a body shorter than its content length',
      answer: 'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf',
      version: '1.1',
    },
    {
      name: 'a chunked body without its last chunk',
      answer: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
      version: '1.1',
    },
    {
      name: 'a chunked body without its last chunk, for HTTP/1.0',
      answer: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n',
      version: '1.0',
    },
    {
      name: 'a malformed chunk',
      answer: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalfXX',
      version: '1.1',
    },
  ])('closes the connection to the caller after $name', async ({ answer, version }) => {
    const { port, outcomes } = await open([raw(answer)]);
    const { end, text } = await exchange(port, [`GET / HTTP/${version}\r\n${host}\r\n`]);
    expect(end).not.toBe('open');
    // A content length or chunks reveal the truncation; in HTTP/1.0 only a reset does.
    if (version === '1.0') expect(end).toBe('reset');
    expect(text).not.toMatch(/0\r\n\r\n$/);
    expect(outcomes).toMatchObject([{ result: 'failed' }]);
  });

  it.each([
    { name: 'the endpoint sends', size: 10, result: 'failed' },
    // Guards against counting a slow caller as a failure of the endpoint.
    { name: 'the caller reads', size: 64 * 1024 * 1024, result: 'cancelled' },
  ])('aborts a response at the deadline if $name too slowly', async ({ size, result }) => {
    const large: FakeEndpoint = (_request, response) => {
      response.writeHead(200, { 'content-length': size });
      response.write(Buffer.alloc(size - 1));
    };
    const { port, outcomes } = await open([large], { deadlineMs: 300 });
    const socket = connect(port, '127.0.0.1').on('error', () => undefined);
    socket.write(get);
    if (result === 'failed') socket.resume();
    await waitFor(() => outcomes.length === 1);
    expect(outcomes).toMatchObject([{ result }]);
    socket.destroy();
  });

  // Guards against buffering whole bodies in memory if one side reads slowly.
  it('applies backpressure to large bodies of requests and responses', async () => {
    const size = 32 * 1024 * 1024;
    let received = 0;
    let paused = true;
    const { port } = await open(
      [
        (request, response) => {
          request.pause();
          setTimeout(() => {
            paused = false;
            request.on('data', (chunk: Buffer) => {
              received += chunk.length;
            });
            request.on('end', () => response.end(Buffer.alloc(size)));
            request.resume();
          }, 300);
        },
      ],
      { maxBodyBytes: size, methods: [] },
    );
    let written = 0;
    const answer = await new Promise<IncomingMessage>((resolve) => {
      const outgoing = sendRequest(
        { port, method: 'PUT', headers: { 'content-length': size } },
        resolve,
      );
      const block = Buffer.alloc(64 * 1024);
      const write = () => {
        while (written < size) {
          written += block.length;
          if (!outgoing.write(block)) {
            outgoing.once('drain', write);
            return;
          }
        }
        outgoing.end();
      };
      write();
      // Socket buffers of the system hold a few MB; anything beyond is memory of this process.
      setTimeout(() => {
        expect(paused).toBe(true);
        expect(written).toBeLessThan(size / 2);
      }, 250);
    });
    const before = process.memoryUsage().arrayBuffers;
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    // This process also holds the 32 MB response of the endpoint.
    expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(size / 2);
    let read = 0;
    for await (const chunk of answer) read += (chunk as Buffer).length;
    expect({ received, read }).toEqual({ received: size, read: size });
  });

  // Guards against an endpoint that takes a truncated request for a complete one.
  it.each([
    {
      name: 'a streamed body beyond the limit',
      parts: [
        'Transfer-Encoding: chunked\r\n\r\n',
        `18000\r\n${'a'.repeat(0x18000)}\r\n`,
        100,
        `18000\r\n${'a'.repeat(0x18000)}\r\n`,
      ],
      status: 413,
    },
    {
      name: 'a streamed body with a malformed chunk',
      parts: [
        'Transfer-Encoding: chunked\r\n\r\n',
        `18000\r\n${'a'.repeat(0x18000)}\r\n`,
        100,
        'oops\r\n',
      ],
      status: 400,
    },
  ])('refuses $name, and the endpoint never receives its end', async ({ parts, status }) => {
    let completeRequests = 0;
    const { port, outcomes } = await open(
      [
        (request) => {
          request
            .on('error', () => undefined)
            .on('end', () => {
              completeRequests += 1;
            });
          request.resume();
        },
      ],
      { maxBodyBytes: 150_000 },
    );
    const { text } = await exchange(port, [`POST / HTTP/1.1\r\n${host}`, ...parts]);
    expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} .*may-have-run`, 's'));
    expect(completeRequests).toBe(0);
    // The endpoint did not fail.
    expect(outcomes).toEqual([{ result: 'cancelled' }]);
  });

  it.each([
    { repeat: 'idempotent', cancelled: true },
    // Guards against the loss of the result of a `once` call whose caller has disconnected.
    { repeat: 'once', cancelled: false },
  ])(
    'cancels a call of class $repeat at the endpoint when the caller disconnects: $cancelled',
    async ({ repeat, cancelled }) => {
      let state = 'none';
      const { port, outcomes, calls } = await open(
        [
          (_request, response) => {
            state = 'running';
            response.on('close', () => {
              state = response.writableFinished ? 'finished' : 'cancelled';
            });
            setTimeout(() => response.end('done'), 200);
          },
        ],
        { repeat },
      );
      const outgoing = sendRequest({ port, path: '/x' }).on('error', () => undefined);
      outgoing.end();
      await waitFor(() => state === 'running');
      outgoing.destroy();
      await waitFor(() => calls.activeCalls === 0 && state !== 'running');
      expect(state).toBe(cancelled ? 'cancelled' : 'finished');
      expect(outcomes).toMatchObject([{ result: 'cancelled' }]);
    },
  );

  // Guards I2: no caller receives the response to another call, even with pipelined requests, with
  // responses after the deadline and with duplicate responses.
  it('sends each of many callers only the responses to their own calls', async () => {
    let count = 0;
    const { port } = await open(
      [
        (request, response) => {
          count += 1;
          const ms = (count * 7) % 40;
          setTimeout(() => response.end(`[${request.url}]`), ms);
        },
      ],
      { deadlineMs: 30 },
    );
    const callers = Array.from({ length: 20 }, async (_none, caller) => {
      const paths = [1, 2, 3, 4].map((turn) => `/${caller}-${turn}`);
      const requests = paths.map((each) => `GET ${each} HTTP/1.1\r\n${host}\r\n`);
      const { text } = await exchange(
        port,
        [requests.join('')],
        (got) =>
          (got.match(/HTTP\/1.1 \d/g)?.length ?? 0) === 4 && /\}$|\]\r\n0\r\n\r\n$/.test(got),
      );
      const responses = text.split('HTTP/1.1 ').slice(1);
      expect(responses).toHaveLength(4);
      responses.forEach((response, index) => {
        if (response.startsWith('200')) expect(response).toContain(`[${paths[index]}]`);
        else expect(response).toMatch(/^504 /);
      });
    });
    await Promise.all(callers);
  });

  // Guards against work on a call after the deadline of its caller.
  it('applies the shorter of the deadlines of rule and caller, and forwards it', async () => {
    const { port } = await open([echo], { deadlineMs: 5000 });
    const readTimeoutMs = async (header: string) => {
      const { text } = await exchange(port, [
        `GET / HTTP/1.1\r\n${host}${header}Connection: close\r\n\r\n`,
      ]);
      return Number(/"x-request-timeout-ms":"(\d+)"/.exec(text)?.[1]);
    };
    expect(await readTimeoutMs('')).toBeGreaterThan(4000);
    const shorter = await readTimeoutMs('X-Request-Timeout-Ms: 900\r\n');
    expect(shorter).toBeLessThanOrEqual(900);
    expect(shorter).toBeGreaterThan(0);
    expect(await readTimeoutMs('X-Request-Timeout-Ms: 9000\r\n')).toBeGreaterThan(4000);
  });

  // Guards against further calls to an endpoint that is shutting down.
  it('reports a leaving endpoint to the balancer', async () => {
    const report = 'JSON {"named_metrics":{"draining":1}}';
    const answer = `HTTP/1.1 503 X\r\nConnection: close\r\nX-Request-Outcome: not-run\r\nEndpoint-Load-Metrics: ${report}\r\nContent-Length: 0\r\n\r\n`;
    const { port, outcomes } = await open([raw(answer)]);
    await exchange(port, [get], (got) => got.endsWith('}'));
    expect(outcomes).toEqual([{ result: 'shed', status: 503, leaving: true, report }]);
  });
});
