import { subscribe, unsubscribe } from 'node:diagnostics_channel';
import { createHash } from 'node:crypto';
import type { RequestListener, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';

/** Size of one large answer, below the size from which answers are streamed. */
const answerBytes = 1_000_000;

/** Bytes that may be held for one connection, and what the heads of its answers may take besides. */
const maxHeldBytes = 8 * 1024 * 1024 + 256 * 1024;

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A different body for each path, so that answers in the wrong order are noticed. */
function makeBody(path: string, size: number): Buffer {
  return Buffer.alloc(size, createHash('sha256').update(path).digest('hex'));
}

const formatGet = (path: string, headers = '') =>
  `GET ${path} HTTP/1.1\r\nHost: h\r\n${headers}\r\n`;

/** Splits what a caller received into the statuses and bodies of answers with a length or chunks. */
function parseAnswers(received: Buffer): { status: number; body: Buffer }[] {
  const answers = [];
  let at = 0;
  while (at < received.length) {
    const bodyAt = received.indexOf('\r\n\r\n', at) + 4;
    const head = received.subarray(at, bodyAt).toString('latin1');
    const status = Number(/^HTTP\/1.1 (\d+)/.exec(head)?.[1]);
    const length = /content-length: (\d+)/i.exec(head)?.[1];
    let body: Buffer = Buffer.alloc(0);
    at = bodyAt;
    if (length !== undefined) {
      body = received.subarray(at, at + Number(length));
      at += Number(length);
    } else {
      const chunks: Buffer[] = [];
      for (let size = -1; size !== 0;) {
        const lineEnd = received.indexOf('\r\n', at);
        size = Number.parseInt(received.subarray(at, lineEnd).toString('latin1'), 16);
        if (Number.isNaN(size)) throw new Error(`no chunk at byte ${at}`);
        chunks.push(received.subarray(lineEnd + 2, lineEnd + 2 + size));
        at = lineEnd + 2 + size + 2;
      }
      body = Buffer.concat(chunks);
    }
    answers.push({ status, body });
  }
  return answers;
}

describe('answers that wait behind an earlier one', () => {
  let bed: GatewayBed;
  let upstreamSockets: Socket[] = [];
  let requestedPaths: string[] = [];
  let slowResponses: ServerResponse[] = [];

  const addSocket = (message: unknown) => {
    upstreamSockets = [...upstreamSockets, (message as { socket: Socket }).socket];
  };

  beforeEach(() => {
    bed = new GatewayBed();
    upstreamSockets = [];
    requestedPaths = [];
    slowResponses = [];
    subscribe('net.client.socket', addSocket);
  });

  afterEach(async () => {
    unsubscribe('net.client.socket', addSocket);
    await bed.close();
  });

  /** Bytes that the gateway has read from the endpoint. */
  const countBytesRead = () =>
    upstreamSockets
      .filter(({ remotePort }) => bed.endpointPorts.includes(remotePort ?? 0))
      .reduce((sum, { bytesRead }) => sum + bytesRead, 0);

  /** Waits until the gateway has stopped reading from the endpoint. */
  async function waitForQuiet(): Promise<void> {
    let bytes = -1;
    while (bytes !== countBytesRead() || requestedPaths.length < 2) {
      bytes = countBytesRead();
      await sleep(300);
    }
  }

  /** Starts an endpoint that answers `/slow` when told so, and other paths at once. */
  async function startBed(
    respond: (response: ServerResponse, path: string) => void,
    endpointCount = 1,
  ) {
    const handle: RequestListener = (request, response) => {
      const path = request.url ?? '';
      requestedPaths = [...requestedPaths, path];
      if (path === '/slow') slowResponses = [...slowResponses, response];
      else respond(response, path);
    };
    await bed.start(...Array<RequestListener>(endpointCount).fill(handle));
  }

  const finishSlow = () => slowResponses.forEach((response) => response.end('slow'));

  const respondInChunks = (response: ServerResponse, body: Buffer) => {
    response.write(body.subarray(0, 5));
    response.end(body.subarray(5));
  };

  const respondWithLength = (response: ServerResponse, body: Buffer) =>
    response.writeHead(200, { 'content-length': body.length }).end(body);

  /** Sends requests in one segment, and collects what the caller receives. */
  function openCaller(requests: readonly string[]) {
    const chunks: Buffer[] = [];
    const socket = connect(bed.port, '127.0.0.1');
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.write(requests.join(''));
    const closed = new Promise<void>((resolve) => {
      socket.on('close', () => resolve());
    });
    return { socket, closed, read: () => Buffer.concat(chunks) };
  }

  const closeHeader = 'Connection: close\r\n';

  // Guards against a caller that makes the gateway hold any number of answers: the memory of the
  // process would be used up.
  it.each([
    {
      name: 'with a length',
      count: 40,
      size: answerBytes,
      respond: respondWithLength,
    },
    {
      name: 'in chunks',
      count: 40,
      size: answerBytes,
      respond: respondInChunks,
    },
    {
      name: 'of a size that is streamed, with a length',
      count: 30,
      size: 3 * answerBytes,
      respond: respondWithLength,
    },
    {
      name: 'of a size that is streamed, in chunks',
      count: 30,
      size: 3 * answerBytes,
      respond: respondInChunks,
    },
    {
      name: 'of few bytes each, on as many calls as a connection may have',
      count: 200,
      size: 60_000,
      respond: (response: ServerResponse, body: Buffer) => response.end(body),
    },
  ])(
    'are not read beyond the limit, and arrive whole and in order: $name',
    async ({ count, size, respond }) => {
      const paths = Array.from({ length: count }, (_, index) => `/${index}`);
      await startBed((response, path) => respond(response, makeBody(path, size)));
      const caller = openCaller([
        formatGet('/slow'),
        ...paths.slice(0, -1).map((path) => formatGet(path)),
        formatGet(paths.at(-1) ?? '', closeHeader),
      ]);
      await waitForQuiet();
      expect(caller.read()).toHaveLength(0);
      expect(countBytesRead()).toBeGreaterThan(0);
      expect(countBytesRead()).toBeLessThan(maxHeldBytes);
      finishSlow();
      await caller.closed;
      const answers = parseAnswers(caller.read());
      expect(answers.map(({ status }) => status)).toEqual(Array(count + 1).fill(200));
      expect(answers[0]?.body.toString()).toBe('slow');
      const isRight = paths.map(
        (path, index) => answers[index + 1]?.body.equals(makeBody(path, size)) === true,
      );
      expect(isRight).toEqual(Array(count).fill(true));
      expect([...requestedPaths].sort()).toEqual(['/slow', ...paths].sort());
    },
    30_000,
  );

  /** Sends `/slow` and requests for other paths behind it, which have the given headers. */
  function openPipeline(paths: readonly string[], headers = '') {
    return openCaller([
      formatGet('/slow'),
      ...paths.slice(0, -1).map((path) => formatGet(path, headers)),
      formatGet(paths.at(-1) ?? '', headers + closeHeader),
    ]);
  }

  const makePaths = (count: number) => Array.from({ length: count }, (_, index) => `/${index}`);

  // Guards against extra load on endpoints: an answer that is left with its endpoint is not late.
  it('are not asked for a second time while they wait', async () => {
    const paths = makePaths(40);
    await startBed((response, path) => respondWithLength(response, makeBody(path, answerBytes)), 2);
    // Answers that have not begun after 1.2 s are asked for again.
    bed.setRoute({ repeat: 'idempotent', targetLatencyMs: 2000, maxAttempts: 2 });
    const caller = openPipeline(paths);
    await waitForQuiet();
    await sleep(1500);
    finishSlow();
    await caller.closed;
    expect(parseAnswers(caller.read()).map(({ status }) => status)).toEqual(Array(41).fill(200));
    expect(requestedPaths.filter((path) => path !== '/slow').sort()).toEqual([...paths].sort());
  });

  // Guards against calls that run although their caller has given up, and against answers that
  // are refused as `not-run` although their call ran.
  it('keep to their own deadlines', async () => {
    const paths = makePaths(60);
    const makeSizedBody = (path: string) => makeBody(path, path === '/0' ? 1000 : answerBytes);
    await startBed((response, path) => respondWithLength(response, makeSizedBody(path)));
    const caller = openCaller([
      formatGet('/slow'),
      ...paths.slice(0, 50).map((path) => formatGet(path, 'timeout-ms: 900\r\n')),
      // These calls are not sent before room is made at the deadline of the others.
      ...paths.slice(50, -1).map((path) => formatGet(path, 'timeout-ms: 200\r\n')),
      formatGet(paths.at(-1) ?? '', `timeout-ms: 200\r\n${closeHeader}`),
    ]);
    await waitForQuiet();
    await sleep(1000);
    finishSlow();
    await caller.closed;
    const [first, ...others] = parseAnswers(caller.read());
    expect(first?.status).toBe(200);
    expect(others).toHaveLength(paths.length);
    const statuses = others.map(({ status }) => status);
    expect(statuses[0]).toBe(200);
    expect(statuses[1]).toBe(504);
    expect(statuses.slice(50)).toEqual(Array<number>(10).fill(503));
    others.forEach(({ status, body }, index) => {
      const path = paths[index] ?? '';
      expect([200, 503, 504]).toContain(status);
      if (status === 200) expect(body.equals(makeSizedBody(path))).toBe(true);
      if (status === 503) expect(requestedPaths).not.toContain(path);
    });
  });

  // Guards against part of an answer that passes for the whole, or that closes the connection
  // before the answers behind it.
  it('are refused when their endpoint fails before they are read', async () => {
    const paths = makePaths(40);
    let sockets: Socket[] = [];
    await startBed((response, path) => {
      const body = makeBody(path, answerBytes);
      response.writeHead(200, { 'content-length': body.length }).write(body.subarray(0, -1));
      if (response.socket) sockets = [...sockets, response.socket];
    });
    const caller = openPipeline(paths);
    await waitForQuiet();
    sockets.forEach((socket) => socket.resetAndDestroy());
    const isDone = () => parseAnswers(caller.read()).length === paths.length + 1;
    finishSlow();
    // Calls that were held are sent to the endpoint now.
    while (!isDone()) {
      await sleep(50);
      sockets.forEach((socket) => socket.resetAndDestroy());
    }
    const statuses = parseAnswers(caller.read()).map(({ status }) => status);
    expect(statuses).toEqual([200, ...Array<number>(paths.length).fill(502)]);
    caller.socket.destroy();
  });

  // Guards against reservations that outlive their connection and slow down all others.
  it('are given up when their caller leaves', async () => {
    const paths = makePaths(60);
    await startBed((response, path) => respondWithLength(response, makeBody(path, answerBytes)));
    const caller = openPipeline(paths);
    await waitForQuiet();
    expect(bed.gateway.callers.waitingBytes).toBeGreaterThan(0);
    const requestedBefore = requestedPaths.length;
    expect(requestedBefore).toBeLessThan(paths.length);
    caller.socket.destroy();
    await caller.closed;
    while (bed.gateway.callers.activeCalls > 0) await sleep(10);
    await sleep(50);
    expect(bed.gateway.callers.waitingBytes).toBe(0);
    expect(requestedPaths).toHaveLength(requestedBefore);
    const next = openCaller([formatGet('/next', closeHeader)]);
    await next.closed;
    expect(parseAnswers(next.read())[0]?.body.equals(makeBody('/next', answerBytes))).toBe(true);
  });
});
