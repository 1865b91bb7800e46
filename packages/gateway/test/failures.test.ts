import type { RequestListener } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { LogFields } from '@dotterelpass/telemetry';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { Route } from '../src/catalog.js';
import { GatewayBed } from './bed.js';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const formatGet = (path: string, headers = '') =>
  `GET ${path} HTTP/1.1\r\nHost: h\r\n${headers}\r\n`;

const formatPost = (path: string, length: number, body: string, headers = '') =>
  `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: ${length}\r\n${headers}\r\n${body}`;

const id = 'id: c1\r\n';

const answer: RequestListener = (_request, response) => response.end('ok');
const ignore: RequestListener = () => undefined;
const reset: RequestListener = ({ socket }) => socket.resetAndDestroy();
const fail: RequestListener = (_request, response) => response.writeHead(500).end();
const notFound: RequestListener = (_request, response) => response.writeHead(404).end();
const endAtDeadline: RequestListener = (_request, response) => response.writeHead(504).end();
const shed: RequestListener = (request, response) => {
  request.resume();
  response.writeHead(503, { outcome: 'not-run' }).end();
};
const shedBehindBody: RequestListener = (request, response) => {
  request.resume().on('end', () => response.writeHead(503, { outcome: 'not-run' }).end());
};
const stopInBody =
  (length: number): RequestListener =>
  (_request, response) =>
    response.writeHead(200, { 'content-length': length }).write('half');

interface FailureCase {
  readonly name: string;
  readonly requests: readonly string[];
  readonly handlers: readonly RequestListener[];
  readonly route?: Partial<Route>;
  readonly retryAllowance?: number;
  readonly maxConnections?: number;
  readonly leavesAfterMs?: number;
  /** A field that is undefined must be missing. */
  readonly expected: Readonly<Record<string, unknown>>;
}

function expectFields(fields: LogFields | undefined, expected: FailureCase['expected']): void {
  const present = Object.entries(expected).filter(([, value]) => value !== undefined);
  expect(fields).toMatchObject(Object.fromEntries(present));
  Object.keys(expected).forEach((name) => {
    if (expected[name] === undefined) expect(fields).not.toHaveProperty(name);
  });
}

describe('the log line of a failed call', () => {
  let bed: GatewayBed;
  let caller: Socket | undefined;

  beforeEach(() => {
    bed = new GatewayBed();
  });

  afterEach(async () => {
    caller?.destroy();
    await bed.close();
  });

  /** Sends requests in one segment, and returns the log fields of the call `c1`. */
  async function findFields(row: FailureCase) {
    await bed.start(...row.handlers);
    bed.maxConnections = row.maxConnections ?? bed.maxConnections;
    bed.maxBodyBytes = 4 * 1024 * 1024;
    bed.setRoute(row.route ?? {});
    if (row.retryAllowance !== undefined) {
      bed.gateway.setLimits({
        retryShare: 0,
        retryAllowance: row.retryAllowance,
        retryWindowMs: 10_000,
        probesPerSecond: 10_000,
      });
    }
    caller = connect(bed.port, '127.0.0.1');
    caller.on('error', () => undefined).resume();
    caller.write(row.requests.join(''));
    if (row.leavesAfterMs !== undefined) {
      await sleep(row.leavesAfterMs);
      caller.destroy();
    }
    for (;;) {
      const line = bed.lines.find(({ fields }) => fields.requestId === 'c1');
      if (line) return line;
      await sleep(10);
    }
  }

  const noLimit = { timeLimit: undefined, timedOutIn: undefined };

  // Guards against a call that ended at a time limit, of which nobody can tell which one it was.
  it.each<FailureCase>([
    {
      name: 'the timeout of the route',
      requests: [formatGet('/', `${id}timeout-ms: 5000\r\n`)],
      handlers: [ignore],
      route: { timeoutMs: 200 },
      expected: {
        reason: 'timeout',
        status: 504,
        timeLimit: 'route-timeout',
        timedOutIn: 'response-head',
      },
    },
    {
      name: 'the timeout of the caller',
      requests: [formatGet('/', `${id}timeout-ms: 200\r\n`)],
      handlers: [ignore],
      route: { timeoutMs: 5000 },
      expected: {
        reason: 'timeout',
        status: 504,
        timeLimit: 'caller-timeout',
        timedOutIn: 'response-head',
      },
    },
    {
      name: 'an answer that does not go on',
      requests: [formatGet('/', id)],
      handlers: [stopInBody(5000)],
      route: { timeoutMs: 200 },
      expected: {
        reason: 'timeout',
        status: 504,
        timeLimit: 'route-timeout',
        timedOutIn: 'response-body',
      },
    },
    {
      name: 'a streamed answer that does not go on',
      requests: [formatGet('/', `${id}timeout-ms: 200\r\n`)],
      handlers: [stopInBody(5_000_000)],
      expected: {
        reason: 'answer-cut',
        timeLimit: 'caller-timeout',
        timedOutIn: 'response-body',
      },
    },
    {
      name: 'a request that does not go on',
      requests: [formatPost('/', 5, 'he', id)],
      handlers: [ignore],
      route: { timeoutMs: 200 },
      expected: {
        reason: 'body',
        status: 408,
        timeLimit: 'route-timeout',
        timedOutIn: 'request-body',
      },
    },
    {
      name: 'connections that are all in use',
      requests: [
        formatGet('/1', 'timeout-ms: 3000\r\n'),
        formatGet('/2', 'timeout-ms: 3000\r\n'),
        formatGet('/3', `${id}timeout-ms: 400\r\n`),
      ],
      handlers: [ignore],
      maxConnections: 2,
      expected: {
        reason: 'timeout',
        status: 503,
        verdict: 'not-run',
        timeLimit: 'caller-timeout',
        timedOutIn: 'connection',
        attempts: [{ outcome: 'no-connection' }],
      },
    },
    {
      name: 'an earlier call that does not end',
      requests: [formatGet('/slow'), formatGet('/large', `${id}timeout-ms: 200\r\n`)],
      handlers: [
        (request, response) => {
          if (request.url === '/large') response.end(Buffer.alloc(20_000_000));
        },
      ],
      expected: {
        reason: 'timeout',
        status: 504,
        timeLimit: 'caller-timeout',
        timedOutIn: 'earlier-calls',
      },
    },
    {
      name: 'none, after a reset',
      requests: [formatGet('/', id)],
      handlers: [reset],
      expected: { reason: 'reset', status: 502, ...noLimit },
    },
    {
      name: 'none, when the endpoint answers 504',
      requests: [formatGet('/', id)],
      handlers: [endAtDeadline],
      expected: { reason: 'endpoint-failed', status: 504, ...noLimit },
    },
  ])('tells the time limit: $name', async (row) => {
    const { event, fields } = await findFields(row);
    expect(event).toBe('request-failed');
    expectFields(fields, row.expected);
    expectFields(bed.gateway.findFailure('c1'), row.expected);
  });

  // Guards against a call that was refused although an attempt was left, without a cause.
  it.each<FailureCase>([
    {
      name: 'a call that may run once, after a reset',
      requests: [formatGet('/', id)],
      handlers: [reset, reset],
      expected: { status: 502, retryBlock: 'may-have-run', attempts: [{}] },
    },
    {
      name: 'a call that may run once, after an answer',
      requests: [formatGet('/', id)],
      handlers: [fail, fail],
      expected: { status: 500, retryBlock: 'may-have-run', attempts: [{}] },
    },
    {
      name: 'the attempts of the route, after a reset',
      requests: [formatGet('/', id)],
      handlers: [reset, reset, reset],
      route: { repeat: 'idempotent', maxAttempts: 2 },
      expected: { status: 502, retryBlock: 'attempts-used', attempts: [{}, {}] },
    },
    {
      name: 'the attempts of the route, after an answer',
      requests: [formatGet('/', id)],
      handlers: [fail, fail, fail],
      route: { repeat: 'idempotent', maxAttempts: 2 },
      expected: { status: 500, retryBlock: 'attempts-used', attempts: [{}, {}] },
    },
    {
      name: 'the attempts of the route, after a refusal',
      requests: [formatGet('/', id)],
      handlers: [shed, shed],
      route: { maxAttempts: 1 },
      expected: { status: 503, retryBlock: 'attempts-used', attempts: [{}] },
    },
    {
      name: 'the retry budget',
      requests: [formatGet('/', id)],
      handlers: [shed, shed],
      retryAllowance: 0,
      expected: { status: 503, retryBlock: 'retry-budget', attempts: [{}] },
    },
    {
      name: 'the time that is left',
      // The estimated latency of a new route is 0.3 of its target, here 6 s.
      requests: [formatGet('/', `${id}timeout-ms: 3000\r\n`)],
      handlers: [shed, shed],
      expected: { status: 503, retryBlock: 'time-left', attempts: [{}] },
    },
    {
      name: 'a body of which a part is gone',
      requests: [formatPost('/', 2_000_000, 'x'.repeat(2_000_000), id)],
      handlers: [shedBehindBody, shedBehindBody],
      expected: { status: 503, retryBlock: 'streamed-body', attempts: [{}] },
    },
    {
      name: 'no further endpoint',
      requests: [formatGet('/', id)],
      handlers: [shed],
      expected: { status: 503, retryBlock: 'no-endpoint', attempts: [{}] },
    },
    {
      name: 'a caller that has left',
      requests: [formatGet('/', id)],
      handlers: [ignore, ignore],
      route: { repeat: 'idempotent' },
      leavesAfterMs: 100,
      expected: { reason: 'caller-left', retryBlock: 'caller-left', attempts: [{}] },
    },
    {
      name: 'nothing, without an attempt',
      requests: [formatGet('/', id)],
      handlers: [],
      expected: { status: 503, reason: 'no-endpoint', retryBlock: undefined, attempts: [] },
    },
    {
      name: 'nothing, when the answer is not retried',
      requests: [formatGet('/', id)],
      handlers: [notFound, notFound],
      expected: { status: 404, retryBlock: undefined, attempts: [{}] },
    },
  ])('tells what forbade a further attempt: $name', async (row) => {
    const { event, fields } = await findFields(row);
    expect(event).toBe('request-failed');
    expectFields(fields, row.expected);
    expectFields(bed.gateway.findFailure('c1'), row.expected);
  });

  it('has no such fields when the call succeeds', async () => {
    const { event, fields } = await findFields({
      name: '',
      requests: [formatGet('/', id)],
      handlers: [answer],
      expected: {},
    });
    expect(event).toBe('request');
    expectFields(fields, { ...noLimit, retryBlock: undefined });
  });
});
