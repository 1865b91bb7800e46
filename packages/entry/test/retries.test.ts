import type { RequestListener } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { exchange, invalidStatusLines, openProxy, waitFor } from './proxy.js';
import type { FakeEndpoint, TestProxy } from './proxy.js';

const get = (path = '/x') => `GET ${path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`;
const good: RequestListener = (_request, response) => {
  response.end('good');
};
const respondingWith =
  (status: number, headers: Record<string, string> = {}): RequestListener =>
  (_request, response) => {
    response.writeHead(status, headers).end('bad');
  };
const shedding = respondingWith(503, { 'x-request-outcome': 'not-run', 'retry-after': '7' });
const resetting: FakeEndpoint = { raw: (socket) => socket.on('data', () => socket.destroy()) };

describe('retries and hedges', () => {
  let proxy: TestProxy | undefined;

  afterEach(async () => {
    await proxy?.close();
    proxy = undefined;
  });

  /** Makes 20 successful calls, so that the budget allows 2 extra attempts. */
  async function fillBudget({ port }: TestProxy): Promise<void> {
    for (let count = 0; count < 20; count++) {
      expect((await exchange(port, [get('/fill')])).text).toMatch(/^HTTP\/1.1 200/);
    }
  }

  /** Responds to the calls of `fillBudget` at once, and passes all others to the handler. */
  function afterFill(endpoint: RequestListener): RequestListener {
    return (request, response) => {
      if (request.url === '/fill') response.end();
      else endpoint(request, response);
    };
  }

  // Guards against calls that fail although a retry is safe, and against unsafe retries.
  it.each([
    { name: 'a refused connection', first: 'refusing', repeat: 'once', status: 200 },
    { name: 'a shed call', first: shedding, repeat: 'once', status: 200 },
    { name: 'a connection reset', first: resetting, repeat: 'idempotent', status: 200 },
    // Guards I4: a `once` call is not retried after an attempt that may have run.
    {
      name: 'a connection reset',
      first: resetting,
      repeat: 'once',
      status: 502,
      outcome: 'may-have-run',
    },
    // Guards against a status such as 000 that reaches the caller.
    ...invalidStatusLines.flatMap((line) => {
      const first: FakeEndpoint = {
        raw: (socket) =>
          socket.on('data', () => socket.write(`${line}\r\nContent-Length: 4\r\n\r\nbody`)),
      };
      return [
        { name: line, first, repeat: 'idempotent', status: 200 },
        { name: line, first, repeat: 'once', status: 502, outcome: 'may-have-run' },
      ];
    }),
    { name: 'a retryable status', first: respondingWith(502), repeat: 'idempotent', status: 200 },
    { name: 'a retryable status', first: respondingWith(502), repeat: 'once', status: 502 },
    {
      name: 'a status that is not retryable',
      first: respondingWith(500),
      repeat: 'idempotent',
      status: 500,
    },
  ] as { name: string; first: FakeEndpoint; repeat: string; status: number; outcome?: string }[])(
    'responds with $status after $name of a call of class $repeat',
    async ({ first, repeat, status, outcome }) => {
      let ran = 0;
      const second: RequestListener = (_request, response) => {
        ran += 1;
        response.end('good');
      };
      proxy = await openProxy([first, second], { repeat, retryStatuses: [502] }, {}, 20);
      const { text } = await exchange(proxy.port, [get()]);
      expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
      if (outcome) expect(text).toContain(`x-request-outcome: ${outcome}`);
      expect(ran).toBe(status === 200 ? 1 : 0);
    },
  );

  it.each([
    // Guards I3: the verdict covers every attempt, not just the last one.
    {
      name: 'a connection reset, then a shed call',
      endpoints: [resetting, shedding],
      status: 503,
      outcome: 'may-have-run',
      retryAfter: '7',
    },
    {
      name: 'two shed calls',
      endpoints: [shedding, shedding],
      status: 503,
      outcome: 'not-run',
      retryAfter: '7',
    },
    {
      name: 'two refused connections',
      endpoints: ['refusing', 'refusing'],
      status: 503,
      outcome: 'not-run',
      retryAfter: '1',
    },
    {
      name: 'a connection reset, then no further endpoint',
      endpoints: [resetting],
      status: 503,
      outcome: 'may-have-run',
      retryAfter: '1',
    },
  ] as {
    name: string;
    endpoints: FakeEndpoint[];
    status: number;
    outcome: string;
    retryAfter: string;
  }[])(
    'has the verdict $outcome after $name',
    async ({ endpoints, status, outcome, retryAfter }) => {
      proxy = await openProxy(endpoints, { maxAttempts: 2 }, {}, 20);
      const { text } = await exchange(proxy.port, [get()]);
      expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
      expect(text).toContain(`x-request-outcome: ${outcome}`);
      expect(text).toContain(`retry-after: ${retryAfter}\r\n`);
    },
  );

  // Guards against retry storms.
  it('limits retries to a tenth of the calls when every endpoint sheds load', async () => {
    let attempts = 0;
    const shed: RequestListener = (request, response) => {
      attempts += 1;
      shedding(request, response);
    };
    proxy = await openProxy([shed, shed, shed]);
    for (let count = 0; count < 100; count++) await exchange(proxy.port, [get()]);
    expect(attempts).toBeGreaterThan(105);
    expect(attempts).toBeLessThanOrEqual(110);
  });

  // Guards against a retry with an incomplete body, and against a lost retry of a small body.
  it('resends a buffered body, but not a streamed one', async () => {
    const received: number[] = [];
    const handler: RequestListener = (request, response) => {
      let size = 0;
      request.on('data', (chunk: Buffer) => {
        size += chunk.length;
      });
      request.on('end', () => {
        received.push(size);
        if (received.length % 2 === 1) shedding(request, response);
        else response.end('good');
      });
    };
    proxy = await openProxy([handler, handler], { methods: ['POST'] }, {}, 40);
    const post = async (size: number) => {
      const head = `POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${size}\r\n\r\n`;
      return (await exchange((proxy as TestProxy).port, [head, 'a'.repeat(size)])).text.slice(
        0,
        12,
      );
    };
    expect(await post(60_000)).toBe('HTTP/1.1 200');
    expect(await post(70_000)).toBe('HTTP/1.1 503');
    expect(received).toEqual([60_000, 60_000, 70_000]);
  });

  // Guards against slow calls that a hedged request would have shortened.
  it.each([
    { repeat: 'idempotent', hedge: true, hedged: true },
    { repeat: 'idempotent', hedge: false, hedged: false },
    // Guards I4: a `once` call is sent to one endpoint only, even if its rule enables hedging.
    { repeat: 'once', hedge: true, hedged: false },
  ])(
    'hedges a slow call of class $repeat with hedge $hedge: $hedged',
    async ({ repeat, hedge, hedged }) => {
      let cancelled = 0;
      const slow = afterFill((_request, response) => {
        response.on('close', () => {
          if (!response.writableFinished) cancelled += 1;
        });
        setTimeout(() => response.end('slow'), 400);
      });
      proxy = await openProxy([slow, good], { repeat, hedge });
      await fillBudget(proxy);
      const { text } = await exchange(proxy.port, [get()]);
      expect(text).toContain(hedged ? 'good' : 'slow');
      await waitFor(() => cancelled === (hedged ? 1 : 0));
      const results = proxy.outcomes.slice(20).map(({ result }) => result);
      expect(results.sort()).toEqual(hedged ? ['answered', 'cancelled'] : ['answered']);
      if (hedged)
        expect(proxy.requests.at(-1)).toMatchObject({ tried: ['e0'], avoidDomains: ['d0'] });
    },
  );

  // Guards against the failure of a call because only its hedged request failed.
  it('returns the response of the first attempt if the hedged request fails', async () => {
    const slow = afterFill((_request, response) => {
      setTimeout(() => response.end('slow'), 300);
    });
    proxy = await openProxy([slow, resetting], { hedge: true });
    await fillBudget(proxy);
    expect((await exchange(proxy.port, [get()])).text).toContain('slow');
  });
});
