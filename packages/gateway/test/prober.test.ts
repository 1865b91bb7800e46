import { once } from 'node:events';
import type { IncomingHttpHeaders } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { Metrics, createLogger } from '@dotterelpass/telemetry';
import { systemClock } from '@dotterelpass/values';
import type { EndpointId, FailureDomain, ServiceId } from '@dotterelpass/values';
import type { Credential } from '@dotterelpass/workspaces';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { HeaderCodec } from '../src/codec.js';
import type {
  ParsedBackpressure,
  ProbeResult,
  ResponseClassification,
  ResponseHead,
} from '../src/codec.js';
import { BackpressureRecorder } from '../src/backpressure.js';
import { Endpoint } from '../src/endpoint.js';
import { createBackpressure } from './backpressure.js';
import { UnlimitedLimiter } from './unlimited.js';
import { WarmupGate } from '../src/gate.js';
import { invalidStatusLines } from './raw.js';
import { Prober } from '../src/prober.js';

/** Reads the load from the header `load`, which holds the number of running calls. */
class TestCodec extends HeaderCodec {
  override readonly replacedRequestHeaders: ReadonlySet<string> = new Set();

  override readonly credentialHeaders: ReadonlySet<string> = new Set();

  override readonly challenge = '';

  override readonly internalResponseHeaders: ReadonlySet<string> = new Set();

  override parseRequestHeaders() {
    return { id: undefined, timeoutMs: undefined };
  }

  override buildTimeoutHeaders(): string[] {
    return [];
  }

  override buildAttemptHeaders(): string[] {
    return [];
  }

  override classifyResponse(): ResponseClassification {
    return { kind: 'answer', isSuccess: true };
  }

  override parseCredential(): Credential {
    return { kind: 'missing' };
  }

  override buildWorkspaceHeaders(): string[] {
    return [];
  }

  override parseLoadReport() {
    return undefined;
  }

  override parseBackpressure({ headers }: ResponseHead): ParsedBackpressure {
    const limit = headers.limit === undefined ? undefined : Number(headers.limit);
    return {
      signal: { maxRequestsPerSecond: limit, isLeaving: false, quietMs: 0 },
      malformed: undefined,
    };
  }

  override hasRequestId({ request }: IncomingHttpHeaders): boolean {
    return request !== undefined;
  }

  override parseProbeResponse({ status, headers }: ResponseHead): ProbeResult {
    const running = Number(headers.load ?? 0);
    const report = { running, waiting: 0, slots: 2, slowdown: 1 };
    return { isHealthy: status === 200, id: undefined, report };
  }
}

const answer = 'HTTP/1.1 200 OK\r\nload: 1\r\ncontent-length: 0\r\n\r\n';
const endlessChunk = 'x'.repeat(8192);

/** Handles one request, given as its index on the connection. */
type Behaviour = (socket: Socket, request: number) => void;

const respond: Behaviour = (socket) => {
  socket.write(answer);
};

/** Writes without end, until the peer closes the connection. */
function writeEndlessly(socket: Socket, head: string, chunk: string): void {
  socket.write(head);
  const write = () => {
    if (socket.destroyed) return;
    socket.write(chunk, () => setImmediate(write));
  };
  write();
}

let servers: Server[] = [];
let endpoints: Endpoint[] = [];
let sockets: Socket[] = [];

afterEach(() => {
  endpoints.forEach((endpoint) => endpoint.close());
  sockets.forEach((socket) => socket.destroy());
  servers.forEach((server) => server.close());
  [servers, endpoints, sockets] = [[], [], []];
});

interface Fixture {
  readonly endpoint: Endpoint;
  readonly prober: Prober;
  readonly onLateReport: ReturnType<typeof vi.fn>;
  /** Number of connections that the endpoint has accepted. */
  countConnections(): number;
}

async function openFixture(behaviour: Behaviour): Promise<Fixture> {
  const accepted: Socket[] = [];
  const server = createServer((socket) => {
    accepted.push(socket);
    sockets.push(socket);
    let requests = 0;
    socket.on('error', () => undefined);
    socket.on('data', () => {
      behaviour(socket, requests);
      requests += 1;
    });
  });
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const registration = {
    id: 'e' as EndpointId,
    service: 'a' as ServiceId,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    failureDomain: 'z' as FailureDomain,
    slots: 2,
    state: 'ready' as const,
    startedAtMs: undefined,
    warmupMs: 0,
  };
  const endpoint = new Endpoint(registration, 8, systemClock, createBackpressure(systemClock));
  endpoints.push(endpoint);
  const onLateReport = vi.fn();
  const headerCodec = new TestCodec();
  const metrics = new Metrics();
  const log = createLogger('test');
  const prober = new Prober({
    headerCodec,
    backpressure: new BackpressureRecorder({ headerCodec, log, metrics }),
    warmup: new WarmupGate({
      limiter: new UnlimitedLimiter(),
      log,
      metrics,
      findRate: () => undefined,
    }),
    metrics,
    getMaxProbesPerSecond: () => 1000,
    findHealthPath: () => '/health',
    onLateReport,
  });
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
  return { endpoint, prober, onLateReport, countConnections: () => accepted.length };
}

describe('Prober', () => {
  it('records the load of an endpoint and keeps its connection', async () => {
    const { endpoint, prober, countConnections } = await openFixture(respond);
    expect(await prober.probe(endpoint)).toBe(true);
    expect(await prober.probe(endpoint)).toBe(true);
    expect(endpoint.load).toBe(1);
    expect(countConnections()).toBe(1);
  });

  /**
   * Guards against endpoints whose slots are all in use, and that let a new connection wait for one
   * of them, being taken for idle or for unreachable ones: both send calls to their queues.
   */
  it('takes an endpoint that answers late on a new connection for full', async () => {
    const { endpoint, prober, onLateReport, countConnections } = await openFixture((socket) => {
      setTimeout(() => socket.write(answer), 400);
    });
    expect(await prober.probe(endpoint)).toBe(false);
    expect(endpoint).toMatchObject({ isReachable: true, load: 2 });
    expect(await prober.probe(endpoint)).toBe(false);
    await vi.waitFor(() => expect(onLateReport).toHaveBeenCalledTimes(1));
    expect(endpoint.load).toBe(1);
    expect(countConnections()).toBe(1);
  });

  it.each<{ name: string; behaviour: Behaviour; expected: object }>([
    {
      name: 'resets new connections',
      behaviour: (socket) => socket.resetAndDestroy(),
      expected: { isReachable: true, load: 2 },
    },
    // Guards against the ejection of an endpoint that only dropped an idle connection.
    {
      name: 'drops a connection that was idle',
      behaviour: (socket, request) => {
        if (request === 0) socket.write(answer);
        else socket.resetAndDestroy();
      },
      expected: { isReachable: true, load: 1 },
    },
    // Something between both ends may lose track of a connection.
    {
      name: 'is silent on a connection that was idle',
      behaviour: (socket, request) => {
        if (request === 0) socket.write(answer);
      },
      expected: { isReachable: true, load: 1 },
    },
  ])('judges an endpoint that $name', async ({ behaviour, expected }) => {
    const { endpoint, prober } = await openFixture(behaviour);
    await prober.probe(endpoint);
    await prober.probe(endpoint);
    expect(endpoint).toMatchObject(expected);
  });

  /**
   * Guards against a late second answer to a call that counts as the answer to a probe: its load is
   * out of date, and the probe's own answer would reach the next call on the connection.
   */
  it('does not take the answer to a call for its own', async () => {
    const copy = 'HTTP/1.1 200 OK\r\nrequest: c1\r\nload: 0\r\ncontent-length: 0\r\n\r\n';
    const { endpoint, prober, countConnections } = await openFixture((socket, request) => {
      socket.write(request === 1 ? copy + answer : answer);
    });
    await prober.probe(endpoint);
    expect(await prober.probe(endpoint)).toBe(true);
    expect(endpoint.load).toBe(1);
    expect(countConnections()).toBe(2);
    expect(sockets[0]?.destroyed).toBe(true);
  });

  it('ejects an endpoint that refuses connections', async () => {
    const { endpoint, prober } = await openFixture(respond);
    servers.forEach((server) => server.close());
    expect(await prober.probe(endpoint)).toBe(false);
    expect(endpoint.isReachable).toBe(false);
  });

  /**
   * Guards against a load report in a response with a status such as 000: the endpoint would count
   * as reachable, and get calls.
   */
  it.each(invalidStatusLines)('takes no answer from a response with %s', async (line) => {
    const bad = `${line}\r\nload: 0\r\ncontent-length: 0\r\n\r\n`;
    const { endpoint, prober, countConnections } = await openFixture((socket, request) => {
      socket.write(request === 0 && sockets.length === 1 ? answer : bad);
    });
    expect(await prober.probe(endpoint)).toBe(true);
    const { answeredAt } = endpoint;
    // On the kept connection it may belong to an earlier call, so the probe is repeated on a new one.
    expect(await prober.probe(endpoint)).toBe(false);
    expect(countConnections()).toBe(2);
    expect(endpoint).toMatchObject({ isReachable: false, answeredAt, report: undefined });
    await vi.waitFor(() => expect(sockets.every(({ destroyed }) => destroyed)).toBe(true));
  });

  it.each(invalidStatusLines)('takes no late answer from a response with %s', async (line) => {
    const { endpoint, prober, onLateReport } = await openFixture((socket) => {
      setTimeout(() => socket.write(`${line}\r\nload: 0\r\ncontent-length: 0\r\n\r\n`), 200);
    });
    expect(await prober.probe(endpoint)).toBe(false);
    await vi.waitFor(() => expect(endpoint.isReachable).toBe(false));
    expect(onLateReport).not.toHaveBeenCalled();
    expect(endpoint.report).toBeUndefined();
  });

  /** Guards against responses without end, which would use memory and time until the time limit. */
  it.each([
    {
      name: 'body',
      head: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
      chunk: `2000\r\n${endlessChunk}\r\n`,
    },
    { name: 'body without a length', head: 'HTTP/1.1 200 OK\r\n\r\n', chunk: endlessChunk },
    { name: 'head', head: 'HTTP/1.1 200 OK\r\n', chunk: `a: ${endlessChunk}\r\n` },
    { name: 'header name', head: 'HTTP/1.1 200 OK\r\n', chunk: endlessChunk },
    { name: 'series of 1xx', head: '', chunk: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(50) },
    { name: 'no HTTP', head: '', chunk: endlessChunk },
  ])('closes the connection of an endless $name', async ({ head, chunk }) => {
    let written = 0;
    const { endpoint, prober } = await openFixture((socket) => {
      socket.on('close', () => {
        written = socket.bytesWritten;
      });
      writeEndlessly(socket, head, chunk);
    });
    expect(await prober.probe(endpoint)).toBe(false);
    await vi.waitFor(() => expect(sockets.every(({ destroyed }) => destroyed)).toBe(true));
    expect(written).toBeGreaterThan(0);
    expect(written).toBeLessThan(8 * 1024 * 1024);
  });
});
