import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A request as an endpoint reads it. */
interface EndpointRequest {
  readonly method: string;
  readonly path: string;
  readonly id: string;
}

interface CopyCase {
  readonly name: string;
  readonly method?: string;
  /** Answer to the first call, if it is not an ordinary one. */
  readonly first?: string;
  /** What follows the first answer in the same segment. */
  readonly behindFirst?: string;
  /** What the endpoint sends when it has the request of the second call, before its answer. */
  readonly beforeSecond?: string;
  /** What the endpoint sends when it has the request that follows a health probe. */
  readonly afterProbe?: string;
  /** What the endpoint sends when it has the health probe that follows a call. */
  readonly beforeProbe?: string;
  readonly expected: readonly [number, number, number];
}

const formatAnswer = (id: string, body: string, status = '200 OK') =>
  `HTTP/1.1 ${status}\r\nid: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const formatHead = (id: string, status: string, headers = '') =>
  `HTTP/1.1 ${status}\r\nid: ${id}\r\n${headers}\r\n`;

const firstAnswer = formatAnswer('c1', 'body of c1');

describe('a second copy of an answer', () => {
  let bed: GatewayBed;
  let runs: string[] = [];
  let endpointSockets: Socket[] = [];
  let copiesSent = 0;

  beforeEach(() => {
    bed = new GatewayBed();
    runs = [];
    endpointSockets = [];
    copiesSent = 0;
  });

  afterEach(async () => {
    endpointSockets.forEach((socket) => socket.destroy());
    await bed.close();
  });

  /** Starts an endpoint that sends copies as the row says. */
  async function startEndpoint(row: CopyCase): Promise<void> {
    await bed.startRaw((socket) => {
      endpointSockets.push(socket);
      let previousPath: string | undefined;
      /** Answer to a probe that got a copy instead, sent when the next request is there. */
      let lateAnswer = '';
      /** Resolves when all earlier answers of the connection have been written. */
      let written = Promise.resolve();
      const sendCopy = (copy: string | undefined) => {
        if (copy === undefined) return '';
        copiesSent += 1;
        return copy;
      };
      const respond = ({ method, path, id }: EndpointRequest) => {
        const copies: string[] = [];
        const lastPath = previousPath;
        if (lastPath === '/healthz') copies.push(sendCopy(row.afterProbe));
        if (path === '/c2') copies.push(sendCopy(row.beforeSecond));
        previousPath = path;
        if (lateAnswer !== '') copies.push(lateAnswer);
        lateAnswer = '';
        const isProbe = path === '/healthz';
        if (!isProbe) runs.push(id);
        const hasBody = method !== 'HEAD';
        const own = hasBody
          ? formatAnswer(id, `body of ${id}`)
          : formatHead(id, '200 OK', 'Content-Length: 10\r\n');
        const answer = id === 'c1' ? (row.first ?? own) + sendCopy(row.behindFirst) : own;
        if (isProbe && lastPath === '/c1' && row.beforeProbe !== undefined) {
          // The own answer of the probe is late, too.
          lateAnswer = answer;
          socket.write(sendCopy(row.beforeProbe));
          return;
        }
        // The copies arrive in segments of their own, when the connection has its next request.
        const sent = copies.filter((copy) => copy !== '');
        written = written.then(async () => {
          for (const copy of sent) {
            socket.write(copy);
            await sleep(20);
          }
          socket.write(answer);
        });
      };
      let text = '';
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
        for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
          const head = text.slice(0, end);
          text = text.slice(end + 4);
          const [, method = '', path = ''] = /^(\S+) (\S+)/.exec(head) ?? [];
          respond({ method, path, id: /^id: (\S+)/im.exec(head)?.[1] ?? 'probe' });
        }
      });
    });
  }

  /** Sends a call on a connection of its own, and returns what its caller receives. */
  async function send(id: string, method = 'GET'): Promise<{ status: number; body: string }> {
    return new Promise((resolve) => {
      let text = '';
      const socket = connect(bed.port, '127.0.0.1');
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.on('close', () => {
        const status = Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0);
        resolve({ status, body: text.slice(text.indexOf('\r\n\r\n') + 4) });
      });
      socket.write(
        `${method} /${id} HTTP/1.1\r\nHost: h\r\nid: ${id}\r\nConnection: close\r\n\r\n`,
      );
    });
  }

  // Guards against an answer that reaches the caller of another request.
  const rows: CopyCase[] = [
    { name: 'with a body', beforeSecond: firstAnswer, expected: [200, 502, 200] },
    {
      name: 'without a body',
      beforeSecond: formatAnswer('c1', ''),
      expected: [200, 502, 200],
    },
    {
      name: 'in chunks',
      beforeSecond: formatHead('c1', '200 OK', 'Transfer-Encoding: chunked\r\n').concat(
        '2\r\nhi\r\n0\r\n\r\n',
      ),
      expected: [200, 502, 200],
    },
    {
      name: 'that ends with its connection',
      beforeSecond: formatHead('c1', '200 OK').concat('half'),
      expected: [200, 502, 200],
    },
    { name: 'twice', beforeSecond: firstAnswer.repeat(2), expected: [200, 502, 200] },
    {
      name: 'together with the next answer',
      beforeSecond: firstAnswer + formatAnswer('c2', 'body of c2'),
      expected: [200, 502, 200],
    },
    {
      name: 'as an informational response',
      beforeSecond: formatHead('c1', '103 Early Hints'),
      expected: [200, 200, 200],
    },
    {
      name: 'as 100 Continue',
      beforeSecond: formatHead('c1', '100 Continue'),
      expected: [200, 200, 200],
    },
    {
      name: 'that says that its call has not run',
      beforeSecond: formatHead('c1', '503 Busy', 'outcome: not-run\r\nContent-Length: 0\r\n'),
      expected: [200, 502, 200],
    },
    {
      name: 'of which only the body is repeated',
      beforeSecond: 'body of c1',
      expected: [200, 502, 200],
    },
    {
      name: 'in the segment of the first answer',
      behindFirst: firstAnswer,
      expected: [200, 200, 200],
    },
    {
      name: 'without a body in the segment of the first answer',
      behindFirst: formatAnswer('c1', ''),
      expected: [200, 200, 200],
    },
    {
      name: 'as an informational response in the segment of the first answer',
      behindFirst: formatHead('c1', '103 Early Hints'),
      expected: [200, 200, 200],
    },
    {
      name: 'after the answer to HEAD',
      method: 'HEAD',
      beforeSecond: formatHead('c1', '200 OK', 'Content-Length: 10\r\n'),
      expected: [200, 502, 200],
    },
    {
      name: 'as the body of the answer to HEAD',
      method: 'HEAD',
      beforeSecond: 'body of c1',
      expected: [200, 502, 200],
    },
    {
      name: 'as the body of the answer to HEAD, in its segment',
      method: 'HEAD',
      behindFirst: 'body of c1',
      expected: [200, 200, 200],
    },
    {
      name: 'after 204',
      first: formatHead('c1', '204 No Content'),
      beforeSecond: formatHead('c1', '204 No Content'),
      expected: [204, 502, 200],
    },
    {
      name: 'as a body after 204, in its segment',
      first: formatHead('c1', '204 No Content'),
      behindFirst: 'body of c1',
      expected: [204, 200, 200],
    },
    {
      name: 'after 304',
      first: formatHead('c1', '304 Not Modified', 'Content-Length: 10\r\n'),
      beforeSecond: formatHead('c1', '304 Not Modified', 'Content-Length: 10\r\n'),
      expected: [304, 502, 200],
    },
    {
      name: 'as a body after 304, in its segment',
      first: formatHead('c1', '304 Not Modified', 'Content-Length: 10\r\n'),
      behindFirst: 'body of c1',
      expected: [304, 200, 200],
    },
    {
      name: 'on the connection of the next probe',
      beforeProbe: firstAnswer,
      expected: [200, 200, 200],
    },
    {
      name: 'of a probe',
      afterProbe: formatAnswer('probe', 'ok'),
      expected: [502, 502, 502],
    },
  ];

  it.each(rows)('reaches no other caller: $name', async (row) => {
    await startEndpoint(row);
    const { method = 'GET', expected } = row;
    for (const [index, id] of ['c1', 'c2', 'c3'].entries()) {
      // A load report of this age makes the next call probe the endpoint again.
      await sleep(40);
      const { status, body } = await send(id, method);
      expect({ id, status }).toEqual({ id, status: expected[index] });
      const isBodiless = method === 'HEAD' || status === 204 || status === 304;
      if (status === 200 && !isBodiless) expect(body).toBe(`body of ${id}`);
      if (isBodiless) expect(body).toBe('');
    }
    expect(copiesSent).toBeGreaterThan(0);
    // A call that may run once is not sent again because of the copy.
    expect(runs).toEqual(['c1', 'c2', 'c3']);
  });
});
