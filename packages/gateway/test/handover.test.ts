import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { Readable } from 'node:stream';
import { Cancellation } from '@dotterelpass/proxy';
import { Metrics } from '@dotterelpass/telemetry';
import { ManualClock, makeRandom } from '@dotterelpass/values';
import type { InstanceId, ServiceId } from '@dotterelpass/values';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { Call, CallResult, CallTrace } from '../src/call.js';
import { CallHandover } from '../src/handover.js';
import { MarkSigner, parseHandover } from '../src/mark.js';
import type { Reach } from '../src/reach.js';
import { invalidStatusLines } from './raw.js';
import { makeStreamedBody } from './streamed.js';

const service = 'a' as ServiceId;

const unsent: CallResult = {
  kind: 'failed',
  verdict: 'not-run',
  reason: 'no-endpoint',
  message: 'none',
};

const overloaded: CallResult = { ...unsent, reason: 'overload' };

const formatRefusal = (reason: string) =>
  'HTTP/1.1 503 Busy\r\nX-Request-Outcome: not-run\r\n' +
  `Dotterelpass-Refusal: ${reason}\r\nContent-Length: 0\r\n\r\n`;

const whole = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const cut = 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok';
const failed = 'HTTP/1.1 502 Bad\r\nX-Request-Outcome: may-have-run\r\nContent-Length: 0\r\n\r\n';
const unknownRoute = 'HTTP/1.1 404 No\r\nX-Request-Outcome: not-run\r\nContent-Length: 0\r\n\r\n';

let clock: ManualClock;

let reach: Reach;

/** Results of the calls that are sent to endpoints, in order; the last one repeats. */
let localResults: CallResult[];

let localCount: number;

let handover: CallHandover;

let servers: Server[];

/** Names of the peers that got a request, in order. */
let asked: string[];

beforeEach(() => {
  clock = new ManualClock();
  reach = 'none';
  localResults = [unsent];
  localCount = 0;
  servers = [];
  asked = [];
  handover = new CallHandover({
    instance: 'one' as InstanceId,
    headerCodec: {
      replacedRequestHeaders: new Set(),
      credentialHeaders: new Set(),
      buildTimeoutHeaders: (ms: number) => ['timeout-ms', String(ms)],
    } as never,
    sender: {
      sendCall: async () => {
        const result = localResults[Math.min(localCount, localResults.length - 1)];
        localCount += 1;
        return result;
      },
    } as never,
    signer: new MarkSigner(),
    reach: { checkReach: () => reach } as never,
    clock,
    random: makeRandom(3),
    metrics: new Metrics(),
    getConfigVersion: () => 7,
  });
});

afterEach(() => {
  handover.close();
  servers.forEach((server) => server.close());
});

/** Starts peers that answer each request with a text and then, if it is cut, close. */
async function startPeers(answers: Readonly<Record<string, string>>): Promise<void> {
  const addresses = new Map<InstanceId, string>();
  for (const [name, answer] of Object.entries(answers)) {
    const server = createServer((socket) => serve(socket, name, answer));
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    addresses.set(name as InstanceId, `127.0.0.1:${port}`);
  }
  handover.setPeers(addresses);
}

function serve(socket: Socket, name: string, answer: string): void {
  socket.on('error', () => undefined);
  socket.on('data', () => {
    asked.push(name);
    if (answer === '') socket.resetAndDestroy();
    else if (answer === cut) socket.end(answer);
    else socket.write(answer);
  });
}

async function send(change: Partial<Call> = {}): Promise<{ result: CallResult; trace: CallTrace }> {
  const call = {
    method: 'GET',
    service,
    route: { repeat: 'once' },
    body: { kind: 'none' },
    handedOverBy: undefined,
    deadlineAt: performance.now() + 1000,
    incoming: {
      request: { rawHeaders: ['Host', 'h'] },
      target: { pathAndQuery: '/' },
      cancellation: new Cancellation(),
      turn: { keep: () => true },
    },
    ...change,
  } as unknown as Call;
  const trace: CallTrace = { attempts: [], handovers: [] };
  return { result: await handover.sendCall(call, trace), trace };
}

function describeResult(result: CallResult): string {
  if (result.kind === 'answer') return String(result.response.statusCode);
  return `${result.reason} ${result.verdict}`;
}

describe('CallHandover', () => {
  /** Guards against a second run, and against a broken answer that counts as a success. */
  it.each([
    { name: 'a whole answer', answers: { a: whole }, expected: '200', count: 1 },
    {
      name: 'an answer that is cut',
      answers: { a: cut },
      expected: 'reset may-have-run',
      count: 1,
    },
    { name: 'a reset', answers: { a: '' }, expected: 'reset may-have-run', count: 1 },
    { name: 'a failure', answers: { a: failed, b: failed }, expected: '502', count: 1 },
    // A status that is not valid proves nothing, whatever the headers state.
    ...invalidStatusLines.map((line) => ({
      name: line,
      answers: { a: `${line}\r\nX-Request-Outcome: not-run\r\nContent-Length: 0\r\n\r\n` },
      expected: 'invalid may-have-run',
      count: 1,
    })),
    { name: 'an unknown route', answers: { a: unknownRoute }, expected: '404', count: 1 },
    {
      name: 'refusals',
      answers: { a: formatRefusal('overload'), b: formatRefusal('no-endpoint') },
      expected: 'no-endpoint not-run',
      count: 2,
    },
  ])('takes the result of a peer: $name', async ({ answers, expected, count }) => {
    await startPeers(answers as never);
    const { result, trace } = await send();
    expect(describeResult(result)).toBe(expected);
    expect(asked).toHaveLength(count);
    expect(trace.handovers).toHaveLength(count);
    expect(localCount).toBe(0);
  });

  /**
   * Guards against a peer that is not asked again although it had no room for a moment only, and
   * against calls that go round between instances that are cut off.
   */
  it.each([
    { reason: 'overload', waitMs: 10, count: 1 },
    { reason: 'overload', waitMs: 60, count: 2 },
    { reason: 'no-endpoint', waitMs: 60, count: 1 },
    { reason: 'no-endpoint', waitMs: 600, count: 2 },
  ])('asks a peer again $waitMs ms after $reason: $count', async ({ reason, waitMs, count }) => {
    await startPeers({ a: formatRefusal(reason) });
    await send();
    clock.advance(waitMs);
    await send();
    expect(asked).toHaveLength(count);
  });

  /** Guards against hand-overs without need, in circles, or of a body that is gone afterwards. */
  it.each([
    { name: 'that an endpoint in reach answers', localReach: 'all', local: [failedResult()] },
    { name: 'refused for lack of room', localReach: 'all', local: [overloaded] },
    { name: 'handed over by another', change: { handedOverBy: 'two' }, localReach: 'few' },
    { name: 'with a streamed body', change: { body: { kind: 'stream' } }, localReach: 'few' },
    { name: 'with a streamed body', change: { body: { kind: 'stream' } }, localReach: 'all' },
  ])('keeps a call $name', async ({ localReach, local = [unsent], change = {} }) => {
    await startPeers({ a: whole });
    reach = localReach as Reach;
    localResults = local;
    await send(change as never);
    expect(asked).toEqual([]);
    expect(localCount).toBe(1);
  });

  /** Guards against a streamed body that is sent a second time, when a part of it is gone. */
  it.each([
    { name: 'a whole answer', answers: { a: whole, b: whole }, expected: '200' },
    {
      name: 'refusals',
      answers: { a: formatRefusal('overload'), b: formatRefusal('overload') },
      expected: 'no-endpoint not-run',
    },
    { name: 'resets', answers: { a: '', b: '' }, expected: 'reset may-have-run' },
  ])('asks one peer with a streamed body: $name', async ({ answers, expected }) => {
    await startPeers(answers);
    const rest = Readable.from([Buffer.from('world')]);
    const body = makeStreamedBody(Buffer.from('hello'), rest, 10);
    const { result, trace } = await send({ body });
    expect(describeResult(result)).toBe(expected);
    expect(new Set(asked).size).toBe(1);
    expect(trace.handovers).toHaveLength(1);
    expect(localCount).toBe(0);
  });

  /** Guards against a call that fails although another instance has room for it. */
  it.each([
    { name: 'without an endpoint', localReach: 'all', local: unsent },
    { name: 'for lack of room', localReach: 'few', local: overloaded },
  ])('hands over a call that was refused here $name', async ({ localReach, local }) => {
    await startPeers({ a: whole });
    reach = localReach as Reach;
    localResults = [local];
    const { result } = await send();
    expect(describeResult(result)).toBe('200');
  });

  it('refuses a call of another instance at once when it reaches no endpoint', async () => {
    await startPeers({ a: whole });
    const { result } = await send({ handedOverBy: 'two' });
    expect(describeResult(result)).toBe('no-endpoint not-run');
    expect(asked).toEqual([]);
    expect(localCount).toBe(0);
  });
});

function failedResult(): CallResult {
  return { kind: 'failed', verdict: 'may-have-run', reason: 'reset', message: 'reset' };
}

describe('parseHandover', () => {
  it.each([
    { value: 'two 7', expected: { instance: 'two', configVersion: 7 } },
    { value: undefined, expected: undefined },
    { value: '', expected: undefined },
    { value: 'two', expected: undefined },
    { value: 'two x', expected: undefined },
    { value: 'two 1e400', expected: undefined },
  ])('parses $value', ({ value, expected }) => {
    expect(parseHandover({ 'dotterelpass-handed-over': value })).toEqual(expected);
  });
});
