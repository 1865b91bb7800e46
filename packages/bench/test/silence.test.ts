import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cluster, call, findPort, waitFor } from '../src/cluster.js';

/**
 * Guards callers against waiting for their deadline when an endpoint no longer responds on its open
 * connections but responds on new ones (5.7).
 */
describe('an endpoint that stops responding on its open connections', () => {
  const cluster = new Cluster();
  let callerPort = 0;
  let endpointPort = 0;

  beforeAll(async () => {
    const [platformPort, operatorPort] = [await findPort(), await findPort()];
    callerPort = await findPort();
    endpointPort = await findPort();
    await cluster.start('platform', { listen: `127.0.0.1:${platformPort}` });
    const listen = `127.0.0.1:${endpointPort}`;
    await cluster.start('endpoint', { listen, name: 'e1' });
    const rule = { repeat: 'idempotent', methods: ['GET'], deadlineMs: 20_000 };
    const service = {
      name: 's',
      routes: [{ pathPrefix: '/' }],
      endpoints: [{ id: 'e1', address: listen, failureDomain: 'cercado' }],
      rules: [
        { ...rule, name: 'read' },
        { ...rule, name: 'pay', repeat: 'once', methods: ['POST'] },
      ],
      // Probes that check an open connection count against this limit.
      limits: { probesPerSecond: 40 },
    };
    await call(platformPort, '/v1/kv/config/services/s?cas=0', {
      method: 'PUT',
      body: JSON.stringify({ revision: 1, service, history: [] }),
    });
    await cluster.start('entry', {
      instance: 'entry-1',
      failureDomain: 'cercado',
      callerPort,
      operatorPort,
      peerPort: 0,
      peerKey: 'a shared key of tests',
      operatorToken: 'a token of the tests',
      platform: `127.0.0.1:${platformPort}`,
      fleetMaxInstances: 1,
      fleetSlot: 0,
    });
    await waitFor(
      async () => (await call(operatorPort, '/readyz')).status === 200,
      10_000,
      'the entry instance is not ready',
    );
    // The retry budget is a tenth of the calls, so one retry needs earlier calls.
    for (let count = 0; count < 30; count++) await call(callerPort, '/x?ms=1');
  });

  afterAll(() => cluster.close());

  async function setFaults(faults: object): Promise<void> {
    const body = JSON.stringify(faults);
    expect((await call(endpointPort, '/standin/faults', { method: 'PUT', body })).status).toBe(200);
  }

  it.each([
    { method: 'GET', status: 200, outcome: undefined },
    { method: 'POST', status: 502, outcome: 'may-have-run' },
  ])('answers $status to $method before its deadline', async ({ method, status, outcome }) => {
    const startedAt = performance.now();
    const pending = call(callerPort, '/x?ms=300', { method });
    await waitFor(
      async () =>
        (
          JSON.parse((await call(endpointPort, '/standin/counts')).body.toString()) as {
            running: number;
          }
        ).running > 0,
      5000,
      'the call has not reached the endpoint',
    );
    await setFaults({ silenceOpen: true });
    const reply = await pending;
    await setFaults({});
    expect(reply.status).toBe(status);
    expect(reply.headers['x-request-outcome']).toBe(outcome);
    expect(performance.now() - startedAt).toBeLessThan(19_000);
  });

  // Guards against failing calls whose endpoint is slow but still works on them.
  it('does not interrupt slow calls', async () => {
    const replies = await Promise.all(
      [2500, 3000, 3500].map((ms) => call(callerPort, `/x?ms=${ms}`, { method: 'POST' })),
    );
    expect(replies.map(({ status }) => status)).toEqual([200, 200, 200]);
  });
});
