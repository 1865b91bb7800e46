import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Cluster, call, findPort, waitFor } from '../src/cluster.js';

/**
 * Guards the path of a call as a whole: an endpoint from the configuration on the platform answers
 * the call.
 */
describe('the path of a call through real processes', () => {
  const cluster = new Cluster();
  let callerPort = 0;

  beforeAll(async () => {
    const [platformPort, endpointPort, operatorPort] = await Promise.all([
      findPort(),
      findPort(),
      findPort(),
    ]);
    callerPort = await findPort();
    await cluster.start('platform', { listen: `127.0.0.1:${platformPort}` });
    await cluster.start('endpoint', { listen: `127.0.0.1:${endpointPort}`, name: 'status-1' });
    const service = {
      name: 'status',
      routes: [{ pathPrefix: '/status' }],
      endpoints: [
        { id: 'status-1', address: `127.0.0.1:${endpointPort}`, failureDomain: 'cercado' },
      ],
    };
    const document = { revision: 1, service, history: [] };
    await call(platformPort, '/v1/kv/config/services/status?cas=0', {
      method: 'PUT',
      body: JSON.stringify(document),
    });
    await cluster.start('entry', {
      instance: 'entry-1',
      failureDomain: 'cercado',
      callerPort,
      operatorPort,
      peerPort: 0,
      peerKey: 'a shared key of tests',
      platform: `127.0.0.1:${platformPort}`,
    });
    await waitFor(
      async () => (await call(operatorPort, '/readyz')).status === 200,
      10_000,
      'the entry instance is not ready',
    );
  });

  afterAll(() => cluster.close());

  it.each([
    { method: 'GET', path: '/status/7?ms=1', status: 200 },
    { method: 'POST', path: '/status?ms=1', status: 200 },
    { method: 'GET', path: '/other', status: 404 },
  ])('answers $method $path with $status', async ({ method, path, status }) => {
    const body = method === 'POST' ? 'claim' : undefined;
    const reply = await call(callerPort, path, { method, ...(body ? { body } : {}) });
    expect(reply.status).toBe(status);
    if (status === 200) {
      expect(JSON.parse(reply.body.toString())).toMatchObject({
        endpoint: 'status-1',
        method,
        received: body?.length ?? 0,
      });
    } else {
      expect(reply.headers['x-request-outcome']).toBe('not-run');
    }
  });
});
