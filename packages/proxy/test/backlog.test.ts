import { afterEach, describe, expect, it } from 'vitest';
import { CallerServer, readAheadBytes } from '../src/index.js';
import type { CallerLimits } from '../src/index.js';
import { exchange } from './raw.js';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const formatGet = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

describe('the limits on waiting responses', () => {
  let server: CallerServer | undefined;
  let handled: string[] = [];
  let finishFirst: (() => void)[] = [];

  afterEach(async () => {
    await server?.close(100);
    handled = [];
    finishFirst = [];
  });

  /** Starts a server that answers `/first` of each connection when told so. */
  async function listen(limits: Partial<CallerLimits>): Promise<number> {
    server = new CallerServer(async ({ response, target: { path }, turn }) => {
      handled = [...handled, path];
      if (path === '/first') {
        await new Promise<void>((resolve) => {
          finishFirst = [...finishFirst, resolve];
        });
      }
      response.end(`<${path}>`);
      if (path === '/small') turn.reduceTo(1);
    }, limits);
    return server.listen('127.0.0.1', 0);
  }

  const unlimited = { maxWaitingBytesPerConnection: Infinity, maxWaitingBytes: Infinity };

  // Guards against requests that are handled although no memory is left for their responses, and
  // against requests that are never handled.
  it.each([
    { name: 'none', limits: unlimited, path: '/next', connections: 2, early: 8 },
    {
      name: 'of the connection',
      limits: { ...unlimited, maxWaitingBytesPerConnection: 2 * readAheadBytes },
      path: '/next',
      connections: 2,
      early: 4,
    },
    {
      name: 'of the process',
      limits: { ...unlimited, maxWaitingBytes: 3 * readAheadBytes },
      path: '/next',
      connections: 3,
      early: 3,
    },
    {
      name: 'below what one call reserves',
      limits: { ...unlimited, maxWaitingBytes: readAheadBytes - 1 },
      path: '/next',
      connections: 2,
      early: 0,
    },
    {
      name: 'that complete small responses leave free',
      limits: { ...unlimited, maxWaitingBytes: readAheadBytes + 8 },
      path: '/small',
      connections: 2,
      early: 8,
    },
  ])('hold back requests: $name', async ({ limits, path, connections, early }) => {
    const port = await listen(limits);
    const requests = [formatGet('/first'), ...Array<string>(4).fill(formatGet(path))].join('');
    const exchanges = Array.from({ length: connections }, () =>
      exchange(port, [requests], (text) => text.split(`<${path}>`).length === 5),
    );
    while (finishFirst.length < connections) await sleep(10);
    await sleep(100);
    expect(handled.filter((each) => each === path)).toHaveLength(early);
    finishFirst.forEach((finish) => finish());
    for (const { text } of await Promise.all(exchanges)) {
      const bodies = text.match(/<[^>]*>/g);
      expect(bodies).toEqual(['</first>', ...Array<string>(4).fill(`<${path}>`)]);
    }
    expect(handled).toHaveLength(5 * connections);
    expect(server?.waitingBytes).toBe(0);
  });

  // Guards against a connection that waits for its own turn although others have made room.
  it('let requests of other connections go on when one has made room', async () => {
    const port = await listen({ ...unlimited, maxWaitingBytes: readAheadBytes });
    const requests = formatGet('/first') + formatGet('/next');
    const isDone = (text: string) => text.includes('</next>');
    const first = exchange(port, [requests], isDone);
    while (handled.length < 2) await sleep(10);
    const second = exchange(port, [requests], isDone);
    while (finishFirst.length < 2) await sleep(10);
    await sleep(100);
    expect(handled).toEqual(['/first', '/next', '/first']);
    finishFirst[0]?.();
    await first;
    await sleep(100);
    expect(handled).toEqual(['/first', '/next', '/first', '/next']);
    finishFirst[1]?.();
    expect((await second).text).toMatch(/<\/first>[^]*<\/next>/);
  });
});
