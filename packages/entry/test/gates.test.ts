import { request as sendRequest } from 'node:http';
import type { RequestListener } from 'node:http';
import { createServer } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import type { OnceCall, OnceGate, OnceAdmission, OnceOutcome, SuspectGate } from '../src/gates.js';
import { exchange, openPath, waitFor } from './path.js';
import type { FakeEndpoint, Path } from './path.js';

const post = (body = 'fee', headers = 'Idempotency-Key: k1\r\n', url = '/pay') =>
  `POST ${url} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;

/** Lets every key run, and records what it is told. */
class RecordingOnce implements OnceGate {
  admitted: OnceCall[] = [];

  settled: OnceOutcome[] = [];

  #answer: OnceAdmission | undefined;

  constructor(answer?: OnceAdmission) {
    this.#answer = answer;
  }

  async admit(call: OnceCall): Promise<OnceAdmission> {
    this.admitted.push(call);
    const settle = (outcome: OnceOutcome) => {
      this.settled.push(outcome);
    };
    return this.#answer ?? { kind: 'run', settle };
  }

  issueTicket(): string {
    return 't1.x';
  }
}

let path: Path | undefined;

afterEach(async () => {
  await path?.close();
  path = undefined;
});

describe('once calls', () => {
  const sized =
    (size: number): RequestListener =>
    (request, response) => {
      request
        .resume()
        .on('end', () => response.writeHead(201, { 'x-own': '1' }).end('a'.repeat(size)));
    };
  const shed: RequestListener = (_request, response) => {
    response.writeHead(503, { 'x-request-outcome': 'not-run' }).end();
  };
  const cut: FakeEndpoint = {
    raw: (socket) =>
      socket.on('data', () => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf')),
  };
  const reset: FakeEndpoint = { raw: (socket) => socket.on('data', () => socket.destroy()) };

  it.each([
    {
      name: 'an answer',
      endpoint: sized(65_536),
      outcome: { verdict: 'ran', answer: { status: 201 } },
    },
    { name: 'a large answer', endpoint: sized(65_537), outcome: { verdict: 'ran' } },
    // Guards against replaying half an answer as the whole.
    { name: 'a cut answer', endpoint: cut, outcome: { verdict: 'may-have-run' } },
    { name: 'a reset', endpoint: reset, outcome: { verdict: 'may-have-run' } },
    // Guards against a claim that is held for a call that never ran.
    { name: 'a shed call', endpoint: shed, outcome: { verdict: 'not-run' } },
    { name: 'a refused connection', endpoint: 'refusing', outcome: { verdict: 'not-run' } },
  ] as { name: string; endpoint: FakeEndpoint; outcome: OnceOutcome }[])(
    'settles after $name',
    async ({ endpoint, outcome }) => {
      const once = new RecordingOnce();
      path = await openPath([endpoint], { repeat: 'once' }, { once });
      await exchange(path.port, [post()]);
      await waitFor(() => once.settled.length === 1);
      expect(once.settled).toMatchObject([outcome]);
      const [settled] = once.settled;
      const kept = settled?.verdict === 'ran' ? settled.answer : undefined;
      if ('answer' in outcome) {
        expect(kept?.body).toHaveLength(65_536);
        expect(kept?.headers['x-own']).toBe('1');
      } else expect(kept).toBeUndefined();
    },
  );

  // Guards against "may have run" where the result could have been kept.
  it('keeps the answer of a call whose caller has left', async () => {
    const once = new RecordingOnce();
    const late: RequestListener = (request, response) => {
      request.resume();
      setTimeout(() => response.end('late'), 150);
    };
    path = await openPath([late], { repeat: 'once' }, { once });
    const headers = { 'idempotency-key': 'k' };
    const outgoing = sendRequest({ port: path.port, method: 'POST', path: '/x', headers });
    outgoing.on('error', () => undefined).end('x');
    await waitFor(() => once.admitted.length === 1);
    setTimeout(() => outgoing.destroy(), 50);
    await waitFor(() => once.settled.length === 1);
    expect(once.settled).toMatchObject([{ verdict: 'ran', answer: { body: Buffer.from('late') } }]);
  });

  it('hands over the key, and a digest of method, path, query and body', async () => {
    const once = new RecordingOnce();
    path = await openPath([sized(1)], { repeat: 'once' }, { once });
    const requests = [
      post('fee'),
      post('fee', 'Idempotency-Key: "k1"\r\n'),
      post('fees'),
      post('fee', 'Idempotency-Key: k1\r\n', '/pay?x'),
    ];
    for (const each of requests) await exchange(path.port, [each]);
    expect(once.admitted.map(({ key }) => key)).toEqual(['k1', 'k1', 'k1', 'k1']);
    const [first, ...others] = once.admitted.map(({ requestDigest: bodyDigest }) => bodyDigest);
    expect(first).toMatch(/^[0-9a-f]{64}$/);
    expect(others.map((digest) => digest === first)).toEqual([true, false, false]);
  });

  it('answers a re-send from the store, without asking an endpoint', async () => {
    const answer = { status: 201, headers: { 'x-own': '1' }, body: Buffer.from('stored') };
    path = await openPath(
      [sized(1)],
      { repeat: 'once' },
      { once: new RecordingOnce({ kind: 'replay', answer }) },
    );
    const { text } = await exchange(path.port, [post()]);
    expect(text).toMatch(/^HTTP\/1.1 201 .*\r\nx-own: 1\r\n.*idempotency-replayed: true.*stored$/s);
    expect(path.requests).toEqual([]);
  });

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
    'answers $status to $name',
    async ({ headers, status, admitted, requireKey = false, repeat = 'once' }) => {
      const once = new RecordingOnce();
      path = await openPath([sized(1)], { repeat }, { once, requireKey });
      const { text } = await exchange(path.port, [post('fee', headers)]);
      expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
      expect(once.admitted).toHaveLength(admitted);
    },
  );

  it.each([
    { name: 'gives a ticket', method: 'GET', once: new RecordingOnce(), status: 200 },
    { name: 'gives no ticket to POST', method: 'POST', once: new RecordingOnce(), status: 405 },
    { name: 'has no tickets without a gate', method: 'GET', once: undefined, status: 404 },
  ])('$name', async ({ method, once, status }) => {
    path = await openPath([sized(1)], {}, { once });
    const head = `${method} /.well-known/dotterelpass/ticket HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`;
    const { text } = await exchange(path.port, [head]);
    expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `));
    if (status === 200) expect(text).toMatch(/cache-control: no-store.*\{"ticket":"t1.x"\}$/is);
  });
});

describe('requests that crash endpoints', () => {
  class RecordingSuspects implements SuspectGate {
    crashes: (readonly string[])[] = [];

    finished: boolean[] = [];

    answered: boolean[] = [];

    readonly #alone: boolean;

    constructor(alone = false) {
      this.#alone = alone;
    }

    async admit() {
      const finish = (crashed: boolean, answered = !crashed) => {
        this.answered.push(answered);
        this.finished.push(crashed);
      };
      return { kind: 'run' as const, exclusive: this.#alone, finish };
    }

    reportCrash(_address: string, fingerprints: readonly string[]): void {
      this.crashes.push(fingerprints);
    }
  }

  /** Ends all its connections when it has `count` of them with a request; it may listen on. */
  function crashing(count: number, listensOn: boolean): FakeEndpoint {
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
    { name: 'a crash, with all requests in flight', listensOn: false },
    // Guards against calling a request dangerous because a connection was reset.
    { name: 'no crash of an endpoint that still listens', listensOn: true },
  ])('reports $name', async ({ listensOn }) => {
    const suspects = new RecordingSuspects();
    path = await openPath([crashing(3, listensOn)], { maxAttempts: 1 }, { suspects });
    const { port } = path;
    await Promise.all(['/1', '/2', '/2'].map((url) => exchange(port, [post('x', '', url)])));
    expect(suspects.finished).toEqual([!listensOn, !listensOn, !listensOn]);
    // A request that was not answered is not cleared.
    expect(suspects.answered).toEqual([false, false, false]);
    expect(suspects.crashes.map((prints) => new Set(prints).size)).toEqual(listensOn ? [] : [2]);
  });

  it('asks for an endpoint alone when the gate says so, and never hedges there', async () => {
    const suspects = new RecordingSuspects(true);
    const good: RequestListener = (_request, response) => {
      response.end();
    };
    path = await openPath([good], { hedge: true }, { suspects });
    await exchange(path.port, [post()]);
    expect(path.requests).toMatchObject([{ alone: true }]);
    expect(suspects.finished).toEqual([false]);
    expect(suspects.answered).toEqual([true]);
  });

  it('tells the caller of a banned request what the gate says', async () => {
    const refusal = { status: 503, verdict: 'may-have-run' as const, message: 'banned' };
    const suspects: SuspectGate = {
      admit: async () => ({ kind: 'refuse', refusal }),
      reportCrash: () => undefined,
    };
    path = await openPath(['refusing'], {}, { suspects });
    const { text } = await exchange(path.port, [post()]);
    expect(text).toMatch(/^HTTP\/1.1 503 .*x-request-outcome: may-have-run.*banned/s);
    expect(path.requests).toEqual([]);
  });
});
