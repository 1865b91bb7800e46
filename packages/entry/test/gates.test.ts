import { request as sendRequest } from 'node:http';
import type { RequestListener } from 'node:http';
import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import type { OnceCall, OnceGate, OnceAdmission, OnceOutcome, SuspectGate } from '../src/gates.js';
import { exchange, openProxy, waitFor } from './proxy.js';
import type { FakeEndpoint, TestProxy } from './proxy.js';

const post = (body = 'fee', headers = 'Idempotency-Key: k1\r\n', url = '/pay') =>
  `POST ${url} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;

/** A gate that admits every key or gives a fixed decision, and records its calls. */
class RecordingOnce implements OnceGate {
  admitted: OnceCall[] = [];

  settled: OnceOutcome[] = [];

  #decision: OnceAdmission | undefined;

  constructor(decision?: OnceAdmission) {
    this.#decision = decision;
  }

  async admit(call: OnceCall): Promise<OnceAdmission> {
    this.admitted.push(call);
    const settle = (outcome: OnceOutcome) => {
      this.settled.push(outcome);
    };
    return this.#decision ?? { kind: 'run', settle };
  }

  issueTicket(): string {
    return 't1.x';
  }
}

let proxy: TestProxy | undefined;

afterEach(async () => {
  await proxy?.close();
  proxy = undefined;
});

describe('once calls', () => {
  const respondingWithBytes =
    (size: number): RequestListener =>
    (request, response) => {
      request
        .resume()
        .on('end', () => response.writeHead(201, { 'x-own': '1' }).end('a'.repeat(size)));
    };
  const shedding: RequestListener = (_request, response) => {
    response.writeHead(503, { 'x-request-outcome': 'not-run' }).end();
  };
  const truncating: FakeEndpoint = {
    raw: (socket) =>
      socket.on('data', () => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf')),
  };
  const resetting: FakeEndpoint = { raw: (socket) => socket.on('data', () => socket.destroy()) };

  it.each([
    {
      name: 'a response',
      endpoint: respondingWithBytes(65_536),
      outcome: { verdict: 'ran', answer: { status: 201 } },
    },
    {
      name: 'a response too large to store',
      endpoint: respondingWithBytes(65_537),
      outcome: { verdict: 'ran' },
    },
    // Guards against the replay of a truncated response as a complete one.
    { name: 'a truncated response', endpoint: truncating, outcome: { verdict: 'may-have-run' } },
    { name: 'a connection reset', endpoint: resetting, outcome: { verdict: 'may-have-run' } },
    // Guards against a claim that stays open for a call that never ran.
    { name: 'a shed call', endpoint: shedding, outcome: { verdict: 'not-run' } },
    { name: 'a refused connection', endpoint: 'refusing', outcome: { verdict: 'not-run' } },
  ] as { name: string; endpoint: FakeEndpoint; outcome: OnceOutcome }[])(
    'records the outcome after $name',
    async ({ endpoint, outcome }) => {
      const once = new RecordingOnce();
      proxy = await openProxy([endpoint], { repeat: 'once' }, { once });
      await exchange(proxy.port, [post()]);
      await waitFor(() => once.settled.length === 1);
      expect(once.settled).toMatchObject([outcome]);
      const [settled] = once.settled;
      const stored = settled?.verdict === 'ran' ? settled.answer : undefined;
      if ('answer' in outcome) {
        expect(stored?.body).toHaveLength(65_536);
        expect(stored?.headers['x-own']).toBe('1');
      } else expect(stored).toBeUndefined();
    },
  );

  // Guards against the verdict `may-have-run` where the response could have been stored.
  it('stores the response of a call whose caller has disconnected', async () => {
    const once = new RecordingOnce();
    const late: RequestListener = (request, response) => {
      request.resume();
      setTimeout(() => response.end('late'), 150);
    };
    proxy = await openProxy([late], { repeat: 'once' }, { once });
    const headers = { 'idempotency-key': 'k' };
    const outgoing = sendRequest({ port: proxy.port, method: 'POST', path: '/x', headers });
    outgoing.on('error', () => undefined).end('x');
    await waitFor(() => once.admitted.length === 1);
    setTimeout(() => outgoing.destroy(), 50);
    await waitFor(() => once.settled.length === 1);
    expect(once.settled).toMatchObject([{ verdict: 'ran', answer: { body: Buffer.from('late') } }]);
  });

  // Guards against a key that is accepted for a different request, or not recognized in quotes.
  it('passes the key and a digest of method, path, query and body to the gate', async () => {
    const once = new RecordingOnce();
    proxy = await openProxy([respondingWithBytes(1)], { repeat: 'once' }, { once });
    const requests = [
      post('fee'),
      post('fee', 'Idempotency-Key: "k1"\r\n'),
      post('fees'),
      post('fee', 'Idempotency-Key: k1\r\n', '/pay?x'),
    ];
    for (const each of requests) await exchange(proxy.port, [each]);
    expect(once.admitted.map(({ key }) => key)).toEqual(['k1', 'k1', 'k1', 'k1']);
    const [first, ...others] = once.admitted.map(({ requestDigest }) => requestDigest);
    expect(first).toMatch(/^[0-9a-f]{64}$/);
    expect(others.map((digest) => digest === first)).toEqual([true, false, false]);
  });

  // Guards against a second run of a repeated `once` call.
  it('replays a stored response without sending the call to an endpoint', async () => {
    const answer = { status: 201, headers: { 'x-own': '1' }, body: Buffer.from('stored') };
    proxy = await openProxy(
      [respondingWithBytes(1)],
      { repeat: 'once' },
      { once: new RecordingOnce({ kind: 'replay', answer }) },
    );
    const { text } = await exchange(proxy.port, [post()]);
    expect(text).toMatch(/^HTTP\/1.1 201 .*\r\nx-own: 1\r\n.*idempotency-replayed: true.*stored$/s);
    expect(proxy.requests).toEqual([]);
  });

  // Guards against calls that run without a usable key, and keys that are applied to other calls.
  it.each([
    {
      name: 'a key of 256 characters',
      headers: `Idempotency-Key: ${'k'.repeat(256)}\r\n`,
      status: 400,
      admitted: 0,
    },
    { name: 'a key with spaces', headers: 'Idempotency-Key: a b\r\n', status: 400, admitted: 0 },
    { name: 'no key', headers: '', status: 201, admitted: 0 },
    {
      name: 'no key where it is required',
      headers: '',
      requireKey: true,
      status: 400,
      admitted: 0,
    },
    {
      name: 'a key',
      headers: 'Idempotency-Key: k\r\n',
      requireKey: true,
      status: 201,
      admitted: 1,
    },
    {
      name: 'a key of an idempotent call',
      headers: 'Idempotency-Key: k\r\n',
      repeat: 'idempotent',
      status: 201,
      admitted: 0,
    },
  ])(
    'responds with $status to $name',
    async ({ headers, status, admitted, requireKey = false, repeat = 'once' }) => {
      const once = new RecordingOnce();
      proxy = await openProxy([respondingWithBytes(1)], { repeat }, { once, requireKey });
      const { text } = await exchange(proxy.port, [post('fee', headers)]);
      expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
      expect(once.admitted).toHaveLength(admitted);
    },
  );

  // Guards against tickets that are cached or issued without a gate.
  it.each([
    { name: 'issues a ticket on GET', method: 'GET', once: new RecordingOnce(), status: 200 },
    { name: 'issues no ticket on POST', method: 'POST', once: new RecordingOnce(), status: 405 },
    { name: 'issues no ticket without a gate', method: 'GET', once: undefined, status: 404 },
  ])('$name', async ({ method, once, status }) => {
    proxy = await openProxy([respondingWithBytes(1)], {}, { once });
    const head = `${method} /.well-known/dotterelpass/ticket HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`;
    const { text } = await exchange(proxy.port, [head]);
    expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    if (status === 200) expect(text).toMatch(/cache-control: no-store.*\{"ticket":"t1.x"\}$/is);
  });
});

describe('requests that crash endpoints', () => {
  class RecordingSuspects implements SuspectGate {
    crashes: (readonly string[])[] = [];

    finished: boolean[] = [];

    answered: boolean[] = [];

    readonly #exclusive: boolean;

    constructor(exclusive = false) {
      this.#exclusive = exclusive;
    }

    async admit() {
      const finish = (crashed: boolean, answered = !crashed) => {
        this.answered.push(answered);
        this.finished.push(crashed);
      };
      return { kind: 'run' as const, exclusive: this.#exclusive, finish };
    }

    reportCrash(_address: string, fingerprints: readonly string[]): void {
      this.crashes.push(fingerprints);
    }
  }

  /** Closes all connections once `count` of them have a request; it may continue to listen. */
  function makeCrashingEndpoint(count: number, listensOn: boolean): FakeEndpoint {
    let sockets: { destroy(): void }[] = [];
    return {
      raw(socket) {
        const { _server: server } = socket as unknown as {
          _server: ReturnType<typeof createServer>;
        };
        socket.on('data', () => {
          sockets = [...sockets, socket];
          if (sockets.length < count) return;
          if (!listensOn) server.close();
          sockets.forEach((each) => each.destroy());
        });
      },
    };
  }

  it.each([
    { name: 'a crash with all requests in flight', listensOn: false },
    // Guards against suspicion of requests because of a mere connection reset.
    { name: 'no crash if the endpoint still listens', listensOn: true },
  ])('reports $name', async ({ listensOn }) => {
    const suspects = new RecordingSuspects();
    proxy = await openProxy([makeCrashingEndpoint(3, listensOn)], { maxAttempts: 1 }, { suspects });
    const { port } = proxy;
    await Promise.all(['/1', '/2', '/2'].map((url) => exchange(port, [post('x', '', url)])));
    expect(suspects.finished).toEqual([!listensOn, !listensOn, !listensOn]);
    // A request without a response is not cleared.
    expect(suspects.answered).toEqual([false, false, false]);
    expect(suspects.crashes.map((fingerprints) => new Set(fingerprints).size)).toEqual(
      listensOn ? [] : [2],
    );
  });

  // Guards against the loss of other calls when a suspect crashes its endpoint.
  it('requests exclusive use of an endpoint if the gate requires it, and no hedge', async () => {
    const suspects = new RecordingSuspects(true);
    const good: RequestListener = (_request, response) => {
      response.end();
    };
    proxy = await openProxy([good], { hedge: true }, { suspects });
    await exchange(proxy.port, [post()]);
    expect(proxy.requests).toMatchObject([{ exclusive: true }]);
    expect(suspects.finished).toEqual([false]);
    expect(suspects.answered).toEqual([true]);
  });

  // Guards against a banned request that still reaches an endpoint.
  it('sends the refusal of the gate to the caller of a banned request', async () => {
    const refusal = { status: 503, verdict: 'may-have-run' as const, message: 'banned' };
    const suspects: SuspectGate = {
      admit: async () => ({ kind: 'refuse', refusal }),
      reportCrash: () => undefined,
    };
    proxy = await openProxy(['refusing'], {}, { suspects });
    const { text } = await exchange(proxy.port, [post()]);
    expect(text).toMatch(/^HTTP\/1.1 503 .*x-request-outcome: may-have-run.*banned/s);
    expect(proxy.requests).toEqual([]);
  });
});
