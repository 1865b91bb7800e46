import { describe, expect, it } from 'vitest';
import { makePreLookupRefusal } from '../src/refusal.js';
import { exchange, openProxy } from './proxy.js';

/**
 * Guards against the verdict `not-run` for a repeated request that is refused before its key is
 * looked up, since an earlier request with the key may have run. The history test that kills
 * instances found such a 404 and such a 503.
 */
describe('a refusal before the idempotency key is looked up', () => {
  it.each([
    { name: 'without a key', headers: {}, verdict: 'not-run' },
    { name: 'with a key', headers: { 'idempotency-key': 'k' }, verdict: 'may-have-run' },
  ])('has the verdict $verdict for a call $name', ({ headers, verdict }) => {
    const refusal = { status: 503, verdict: 'not-run', message: 'not ready' } as const;
    expect(makePreLookupRefusal({ headers }, refusal).verdict).toBe(verdict);
  });

  it.each([
    { name: 'a body beyond the limit, without a key', key: '', verdict: 'not-run' },
    {
      name: 'a body beyond the limit, with a key',
      key: 'Idempotency-Key: k\r\n',
      verdict: 'may-have-run',
    },
  ])('has the verdict $verdict for $name', async ({ key, verdict }) => {
    const proxy = await openProxy([(_request, response) => response.end()], {
      repeat: 'once',
      maxBodyBytes: 1,
    });
    try {
      const head = `POST /x HTTP/1.1\r\nHost: a\r\n${key}Content-Length: 2\r\n\r\nab`;
      const { text } = await exchange(proxy.port, [head]);
      expect(text).toMatch(/^HTTP\/1.1 413/);
      expect(text.toLowerCase()).toContain(`x-request-outcome: ${verdict}`);
    } finally {
      await proxy.close();
    }
  });
});
