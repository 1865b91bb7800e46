import { Agent, request } from 'node:http';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cluster, call, findPort, sleep, waitFor } from '../src/cluster.js';
import type { RunningProgram } from '../src/cluster.js';

/**
 * Guards I6: a planned stop interrupts no call, takes bounded time, and ends with exit code 0.
 */
describe('the stop of an entry instance under load', () => {
  const cluster = new Cluster();
  let platformPort = 0;
  let endpointPort = 0;

  beforeAll(async () => {
    platformPort = await findPort();
    endpointPort = await findPort();
    await cluster.start('platform', { listen: `127.0.0.1:${platformPort}` });
    const listen = `127.0.0.1:${endpointPort}`;
    await cluster.start('endpoint', { listen, name: 'e1', slots: 64, queue: 1000 });
    const service = {
      name: 's',
      routes: [{ pathPrefix: '/' }],
      endpoints: [{ id: 'e1', address: listen, failureDomain: 'cercado', slots: 64 }],
      rules: [{ name: 'r', repeat: 'idempotent', deadlineMs: 2000 }],
    };
    await call(platformPort, '/v1/kv/config/services/s?cas=0', {
      method: 'PUT',
      body: JSON.stringify({ revision: 1, service, history: [] }),
    });
  });

  afterAll(() => cluster.close());

  async function startEntry(): Promise<{ entry: RunningProgram; callerPort: number }> {
    const [callerPort, operatorPort] = [await findPort(), await findPort()];
    const entry = await cluster.start('entry', {
      instance: 'entry-1',
      failureDomain: 'cercado',
      callerPort,
      operatorPort,
      peerPort: 0,
      peerKey: 'a shared key of tests',
      operatorToken: 'a token of the tests',
      platform: `127.0.0.1:${platformPort}`,
      stopWaitMs: 300,
    });
    await waitFor(
      async () => (await call(operatorPort, '/readyz')).status === 200,
      10_000,
      'the entry instance is not ready',
    );
    return { entry, callerPort };
  }

  /** Sends one call; `problem` is empty when the response was complete. */
  async function sendCall(agent: Agent, port: number, ms: number) {
    return new Promise<{ problem: string; isOpen: boolean }>((resolve) => {
      const fail = ({ message }: Error) => resolve({ problem: message, isOpen: false });
      const outgoing = request({ port, path: `/x?ms=${ms}&bytes=20000`, agent }, (answer) => {
        let size = 0;
        answer.on('data', (chunk: Buffer) => {
          size += chunk.length;
        });
        answer.on('end', () => {
          const isWhole = answer.statusCode === 200 && size === 20_000;
          const problem = isWhole ? '' : `status ${answer.statusCode} with ${size} bytes`;
          resolve({ problem, isOpen: answer.headers.connection !== 'close' });
        });
        answer.on('error', fail);
      });
      outgoing.on('error', fail).end();
    });
  }

  /** Sends calls on a keep-alive connection until the instance asks to close it. */
  async function sendCallsUntilClosed(port: number, ms: number): Promise<string[]> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const problems: string[] = [];
    for (let isOpen = true; isOpen;) {
      const result = await sendCall(agent, port, ms);
      problems.push(result.problem);
      isOpen = result.isOpen;
    }
    agent.destroy();
    return problems;
  }

  it('interrupts no call and closes keep-alive connections cleanly', async () => {
    const { entry, callerPort } = await startEntry();
    const callers = Array.from({ length: 40 }, (_none, index) =>
      sendCallsUntilClosed(callerPort, 5 + (index % 8) * 60),
    );
    await sleep(500);
    const stoppedAt = performance.now();
    const code = await entry.end('SIGTERM');
    const results = await Promise.all(callers);
    expect(results.flat().filter(Boolean)).toEqual([]);
    expect(Math.min(...results.map(({ length }) => length))).toBeGreaterThanOrEqual(1);
    expect(code).toBe(0);
    // 300 ms until the platform's load balancer sends no more calls, then at most the longest
    // deadline, here the default of 10 s.
    expect(performance.now() - stoppedAt).toBeLessThan(10_300);
  });

  it('exits in bounded time although a caller never finishes its request', async () => {
    const { entry, callerPort } = await startEntry();
    const outgoing = request({ port: callerPort, method: 'POST', path: '/x' });
    outgoing.on('error', () => undefined);
    const writeTimer = setInterval(() => outgoing.write('x'), 50);
    await sleep(200);
    const code = await entry.end('SIGTERM');
    clearInterval(writeTimer);
    expect(code).toBe(0);
  });
});
