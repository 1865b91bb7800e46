import type { RequestListener } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';

/** Time that the call after the early answer takes; longer than the rest of a body is read. */
const longCallMs = 2500;

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A connection of a caller that is used for several calls. */
class CallerSocket {
  readonly socket: Socket;

  isClosed = false;

  #text = '';

  constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('data', (chunk) => {
      this.#text += chunk.toString('latin1');
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
    });
  }

  /** Statuses of the responses whose heads have arrived. */
  get statuses(): number[] {
    return [...this.#text.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => Number(status));
  }

  /** Waits until so many responses have arrived, or the connection is closed. */
  async waitForResponses(count: number): Promise<void> {
    while (this.statuses.length < count && !this.isClosed) await sleep(5);
  }

  write(text: string): void {
    if (!this.isClosed) this.socket.write(text, 'latin1');
  }
}

const answerLater: RequestListener = (_request, response) => {
  setTimeout(() => response.end('served'), longCallMs);
};

/** Ways of an endpoint to end a call before it has read the body. */
const earlyAnswers: readonly { name: string; status: number; handle: RequestListener }[] = [
  {
    name: 'answers and reads on later',
    status: 413,
    handle: (request, response) => {
      response.writeHead(413, { 'content-length': 8 }).end('too long');
      setTimeout(() => request.resume(), 50);
    },
  },
  {
    name: 'answers and does not read on',
    status: 413,
    handle: (_request, response) => {
      response.writeHead(413, { 'content-length': 8 }).end('too long');
    },
  },
  {
    name: 'answers and closes the connection',
    status: 413,
    handle: (_request, response) => {
      response.writeHead(413, { 'content-length': 8, connection: 'close' }).end('too long');
    },
  },
  {
    name: 'says that it has not run the call',
    status: 503,
    handle: (request, response) => {
      response.writeHead(503, { outcome: 'not-run', 'content-length': 0 }).end();
      setTimeout(() => request.resume(), 50);
    },
  },
  {
    name: 'resets the connection',
    status: 502,
    handle: (request) => {
      request.socket.resetAndDestroy();
    },
  },
];

describe('a long body whose endpoint', () => {
  let bed: GatewayBed;

  let caller: CallerSocket;

  let endpointSockets: Set<Socket>;

  beforeEach(() => {
    bed = new GatewayBed();
    endpointSockets = new Set();
  });

  afterEach(async () => {
    caller.socket.destroy();
    await bed.close();
  });

  async function start(handle: RequestListener): Promise<void> {
    await bed.start((request, response) => {
      if (request.url === '/file') {
        endpointSockets.add(request.socket);
        request.socket.on('close', () => endpointSockets.delete(request.socket));
        handle(request, response);
      } else answerLater(request, response);
    });
    caller = new CallerSocket(bed.port);
  }

  // Guards against a connection that is closed two seconds after an early answer, whatever calls run
  // on it by then (review/2), or that is not read any more, and against connections to endpoints that
  // stay in use.
  it.each(
    earlyAnswers.flatMap((answer) => [
      { ...answer, pieces: 3, pieceBytes: 40_000 },
      { ...answer, pieces: 8, pieceBytes: 120_000 },
    ]),
  )(
    '$name leaves its connection to later calls: $pieces pieces of $pieceBytes bytes',
    async ({ handle, status, pieces, pieceBytes }) => {
      await start(handle);
      const length = pieces * pieceBytes;
      caller.write(`POST /file HTTP/1.1\r\nHost: h\r\nContent-Length: ${length}\r\n\r\n`);
      for (let piece = 1; piece < pieces; piece++) {
        caller.write('x'.repeat(pieceBytes));
        await sleep(40);
      }
      // The answer comes before the body is in, however slow the machine is.
      await caller.waitForResponses(1);
      caller.write('x'.repeat(pieceBytes));
      caller.write('POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n');
      await caller.waitForResponses(2);
      expect({ statuses: caller.statuses, isClosed: caller.isClosed }).toEqual({
        statuses: [status, 200],
        isClosed: false,
      });
      expect(endpointSockets.size).toBe(0);
    },
    20_000,
  );

  /**
   * Guards against an answer that its caller never gets, because the rest of the body has reset the
   * connection that ends with the answer.
   */
  it.each(earlyAnswers)(
    '$name is answered to a caller that reads after it has sent the body',
    async ({ handle, status }) => {
      await start(handle);
      const [pieces, pieceBytes] = [20, 30_000];
      caller.socket.pause();
      const head = `Host: h\r\nConnection: close\r\nContent-Length: ${pieces * pieceBytes}`;
      caller.write(`POST /file HTTP/1.1\r\n${head}\r\n\r\n`);
      for (let piece = 0; piece < pieces; piece++) {
        caller.write('x'.repeat(pieceBytes));
        await sleep(10);
      }
      caller.socket.resume();
      while (!caller.isClosed) await sleep(5);
      expect(caller.statuses).toEqual([status]);
    },
  );

  // Guards against a caller that holds a connection and its memory by a body that never ends.
  it.each([
    { name: 'stops to send', write: () => undefined },
    { name: 'sends a byte at a time', write: () => caller.write('x') },
  ])('answers early is discarded for a limited time when its caller $name', async ({ write }) => {
    await start(earlyAnswers[0]?.handle ?? answerLater);
    caller.write('POST /file HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n');
    caller.write('x'.repeat(100_000));
    await caller.waitForResponses(1);
    const timer = setInterval(write, 100);
    while (!caller.isClosed) await sleep(20);
    clearInterval(timer);
    expect(caller.statuses).toEqual([413]);
    expect(endpointSockets.size).toBe(0);
  });

  /** Guards against a refusal although nothing of the body is lost, and another endpoint has room. */
  it('refuses it is sent to another one, while all that came in is kept', async () => {
    let refusals = 0;
    const received: number[] = [];
    const handle: RequestListener = (request, response) => {
      refusals += 1;
      if (refusals === 1) {
        response.writeHead(503, { outcome: 'not-run' }).end();
        return;
      }
      let size = 0;
      request.on('data', (chunk: Buffer) => {
        size += chunk.length;
      });
      request.on('end', () => {
        received.push(size);
        response.end('whole');
      });
    };
    await bed.start(handle, handle);
    caller = new CallerSocket(bed.port);
    caller.write('POST /file HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n');
    caller.write('x'.repeat(300_000));
    await caller.waitForResponses(1);
    expect(caller.statuses).toEqual([200]);
    expect(received).toEqual([300_000]);
  });

  /** Guards against a body that an endpoint gets with other bytes in it, or in part. */
  it('reads it whole gets its bytes', async () => {
    const pieces = Array.from({ length: 10 }, (_, index) => String(index).repeat(50_000));
    let received = '';
    await start((request, response) => {
      request.on('data', (chunk: Buffer) => {
        received += chunk.toString('latin1');
      });
      request.on('end', () => response.end('whole'));
    });
    caller.write('POST /file HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n');
    for (const piece of pieces) {
      caller.write(`${piece.length.toString(16)}\r\n${piece}\r\n`);
      await sleep(5);
    }
    caller.write('0\r\n\r\n');
    await caller.waitForResponses(1);
    expect(caller.statuses).toEqual([200]);
    expect(received === pieces.join('')).toBe(true);
    // A connection that has carried the whole body is used again.
    expect(endpointSockets.size).toBe(1);
  });
});
