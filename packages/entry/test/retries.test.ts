import type { RequestListener } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { exchange, openPath, waitFor } from './path.js';
import type { FakeEndpoint, Path } from './path.js';

const get = (path = '/x') => `GET ${path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`;
const good: RequestListener = (_request, response) => {
  response.end('good');
};
const answering =
  (status: number, headers: Record<string, string> = {}): RequestListener =>
  (_request, response) => {
    response.writeHead(status, headers).end('bad');
  };
const shedding = answering(503, { 'x-request-outcome': 'not-run', 'retry-after': '7' });
const resetting: FakeEndpoint = { raw: (socket) => socket.on('data', () => socket.destroy()) };

describe('retries and hedges', () => {
  let path: Path | undefined;

  afterEach(async () => {
    await path?.close();
    path = undefined;
  });

  /** Makes 20 calls that are answered, so that the budget allows 2 extra attempts. */
  async function fillBudget({ port }: Path): Promise<void> {
    for (let count = 0; count < 20; count++) {
      expect((await exchange(port, [get('/fill')])).text).toMatch(/^HTTP\/1.1 200/);
    }
  }

  /** The endpoint fails once the budget has been filled. */
  function failing(endpoint: RequestListener): RequestListener {
    return (request, response) => {
      if (request.url === '/fill') response.end();
      else endpoint(request, response);
    };
  }

  it.each([
    { name: 'a refused connection', first: 'refusing', repeat: 'once', status: 200 },
    { name: 'a shed call', first: shedding, repeat: 'once', status: 200 },
    { name: 'a reset', first: resetting, repeat: 'idempotent', status: 200 },
    // Guards I4: an attempt that may have run is the last one of a `once` call.
    { name: 'a reset', first: resetting, repeat: 'once', status: 502, outcome: 'may-have-run' },
    { name: 'a status', first: answering(502), repeat: 'idempotent', status: 200 },
    { name: 'a status', first: answering(502), repeat: 'once', status: 502 },
    { name: 'another status', first: answering(500), repeat: 'idempotent', status: 500 },
  ] as { name: string; first: FakeEndpoint; repeat: string; status: number; outcome?: string }[])(
    'answers $status after $name of an $repeat call',
    async ({ first, repeat, status, outcome }) => {
      let ran = 0;
      const second: RequestListener = (_request, response) => {
        ran += 1;
        response.end('good');
      };
      path = await openPath([first, second], { repeat, retryStatuses: [502] }, {}, 20);
      const { text } = await exchange(path.port, [get()]);
      expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
      if (outcome) expect(text).toContain(`x-request-outcome: ${outcome}`);
      expect(ran).toBe(status === 200 ? 1 : 0);
    },
  );

  it.each([
    // Guards I3: the verdict covers every attempt, not the last one alone.
    {
      name: 'a reset, then a shed call',
      endpoints: [resetting, shedding],
      status: 503,
      outcome: 'may-have-run',
      retryAfter: '7',
    },
    {
      name: 'shed calls',
      endpoints: [shedding, shedding],
      status: 503,
      outcome: 'not-run',
      retryAfter: '7',
    },
    {
      name: 'refused connections',
      endpoints: ['refusing', 'refusing'],
      status: 503,
      outcome: 'not-run',
      retryAfter: '1',
    },
    {
      name: 'a reset, then no endpoint',
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
  }[])('says $outcome after $name', async ({ endpoints, status, outcome, retryAfter }) => {
    path = await openPath(endpoints, { maxAttempts: 2 }, {}, 20);
    const { text } = await exchange(path.port, [get()]);
    expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    expect(text).toContain(`x-request-outcome: ${outcome}`);
    expect(text).toContain(`retry-after: ${retryAfter}\r\n`);
  });

  it('keeps retries below a tenth of the calls when every endpoint fails', async () => {
    let attempts = 0;
    const shed: RequestListener = (request, response) => {
      attempts += 1;
      shedding(request, response);
    };
    path = await openPath([shed, shed, shed]);
    for (let count = 0; count < 100; count++) await exchange(path.port, [get()]);
    expect(attempts).toBeGreaterThan(105);
    expect(attempts).toBeLessThanOrEqual(110);
  });

  it('sends a body again, but not one that was streamed', async () => {
    const received: number[] = [];
    const take: RequestListener = (request, response) => {
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
    path = await openPath([take, take], { methods: ['POST'] }, {}, 40);
    const post = async (size: number) => {
      const head = `POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: ${size}\r\n\r\n`;
      return (await exchange((path as Path).port, [head, 'a'.repeat(size)])).text.slice(0, 12);
    };
    expect(await post(60_000)).toBe('HTTP/1.1 200');
    expect(await post(70_000)).toBe('HTTP/1.1 503');
    expect(received).toEqual([60_000, 60_000, 70_000]);
  });

  it.each([
    { repeat: 'idempotent', hedge: true, hedged: true },
    { repeat: 'idempotent', hedge: false, hedged: false },
    // Guards I4: a `once` call runs on one endpoint, whatever its rule says.
    { repeat: 'once', hedge: true, hedged: false },
  ])('hedges a slow $repeat call with hedge $hedge: $hedged', async ({ repeat, hedge, hedged }) => {
    let cancelled = 0;
    const slow = failing((_request, response) => {
      response.on('close', () => {
        if (!response.writableFinished) cancelled += 1;
      });
      setTimeout(() => response.end('slow'), 400);
    });
    path = await openPath([slow, good], { repeat, hedge });
    await fillBudget(path);
    const { text } = await exchange(path.port, [get()]);
    expect(text).toContain(hedged ? 'good' : 'slow');
    await waitFor(() => cancelled === (hedged ? 1 : 0));
    const results = path.outcomes.slice(20).map(({ result }) => result);
    expect(results.sort()).toEqual(hedged ? ['answered', 'cancelled'] : ['answered']);
    if (hedged) expect(path.requests.at(-1)).toMatchObject({ tried: ['e0'], avoidDomains: ['d0'] });
  });

  it('takes the answer of the other attempt when one of two fails', async () => {
    const slow = failing((_request, response) => {
      setTimeout(() => response.end('slow'), 300);
    });
    path = await openPath([slow, resetting], { hedge: true });
    await fillBudget(path);
    expect((await exchange(path.port, [get()])).text).toContain('slow');
  });
});
