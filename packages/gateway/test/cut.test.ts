import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';

const body = 'the whole body';

const answers = {
  'with a length': {
    head: `HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: ${body.length}\r\n\r\n`,
    body,
  },
  'in chunks': {
    head: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n',
    body: `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  },
  'that ends with its connection': { head: 'HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n', body },
  'after 103': {
    head: `HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`,
    body,
  },
} as const;

type Ending = 'end' | 'reset';

/** What a caller receives until its connection closes. */
interface Received {
  readonly status: number;
  /** Whether the response is whole by its own length or chunks. */
  readonly looksWhole: boolean;
  readonly body: string;
}

describe('an answer that is cut', () => {
  let bed: GatewayBed;
  let sockets: Socket[] = [];

  beforeEach(() => {
    bed = new GatewayBed();
    sockets = [];
  });

  afterEach(async () => {
    sockets.forEach((socket) => socket.destroy());
    await bed.close();
  });

  /** Starts an endpoint that sends as many bytes of its answer as the path of the request says. */
  async function startEndpoint(answer: string, ending: Ending): Promise<void> {
    await bed.startRaw((socket) => {
      sockets.push(socket);
      let text = '';
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
        if (!text.includes('\r\n\r\n')) return;
        const path = /^\S+ \/(\S*)/.exec(text)?.[1] ?? '';
        text = '';
        if (path === 'healthz') {
          socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
          return;
        }
        socket.write(answer.slice(0, Number(path)), () => {
          if (ending === 'end') socket.end();
          else setTimeout(() => socket.resetAndDestroy(), 10);
        });
      });
    });
  }

  async function send(path: string): Promise<Received> {
    return new Promise((resolve) => {
      let text = '';
      const socket = connect(bed.port, '127.0.0.1');
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(parseResponse(text)));
      socket.write(`GET /${path} HTTP/1.1\r\nHost: h\r\nid: c${path}\r\nConnection: close\r\n\r\n`);
    });
  }

  const rows = Object.entries(answers).flatMap(([name, answer]) =>
    (['end', 'reset'] as const).map((ending) => ({ name, ending, ...answer })),
  );

  /** Guards against an answer that breaks off and reaches its caller as a complete success. */
  it.each(rows)('at each byte of its head is no success: $name, $ending', async (row) => {
    await startEndpoint(row.head + row.body, row.ending);
    const positions = Array.from({ length: row.head.length }, (_, index) => index);
    const responses = await Promise.all(positions.map((position) => send(String(position))));
    const statuses = responses.map(({ status }) => status);
    expect([...new Set(statuses)]).toEqual([502]);
  });

  it.each(rows)('at each byte of its body does not look whole: $name, $ending', async (row) => {
    await startEndpoint(row.head + row.body, row.ending);
    const length = row.head.length + row.body.length;
    const positions = Array.from(
      { length: row.body.length },
      (_, index) => row.head.length + index,
    );
    const responses = await Promise.all(positions.map((position) => send(String(position))));
    // Without a length or chunks, an orderly end cannot be told from the end of the whole.
    const isMarked = row.head.includes('Content-Length') || row.head.includes('chunked');
    const falseSuccesses = responses.filter(
      ({ status, looksWhole }) => status === 200 && looksWhole,
    );
    if (isMarked || row.ending === 'reset') expect(falseSuccesses).toEqual([]);
    if (row.ending === 'end') {
      expect(await send(String(length))).toEqual({ status: 200, looksWhole: true, body });
    }
  });
});

function parseResponse(text: string): Received {
  const end = text.indexOf('\r\n\r\n');
  const head = text.slice(0, Math.max(0, end));
  const rest = text.slice(end + 4);
  const status = Number(/^HTTP\/1.1 (\d+)/.exec(head)?.[1] ?? 0);
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  const looksWhole =
    length === undefined ? rest.endsWith('0\r\n\r\n') : rest.length === Number(length);
  return { status, looksWhole, body: rest };
}
