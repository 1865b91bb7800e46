import { describe, expect, it } from 'vitest';
import { makePreLookupRefusal } from '../src/refusal.js';
import { exchange, openPath } from './path.js';

/**
 * Guards against a re-send that is told `not-run` before its key was looked up: an earlier sending
 * with the key may have run. The history of killed instances found this with a 404 and a 503.
 */
describe('a refusal before the key was looked up', () => {
  it.each([
    { name: 'without a key', headers: {}, verdict: 'not-run' },
    { name: 'with a key', headers: { 'idempotency-key': 'k' }, verdict: 'may-have-run' },
  ])('$name says $verdict', ({ headers, verdict }) => {
    const refusal = { status: 503, verdict: 'not-run', message: 'not ready' } as const;
    expect(makePreLookupRefusal({ headers }, refusal).verdict).toBe(verdict);
  });

  it.each([
    { name: 'an unreadable body, without a key', key: '', verdict: 'not-run' },
    {
      name: 'an unreadable body, with a key',
      key: 'Idempotency-Key: k\r\n',
      verdict: 'may-have-run',
    },
  ])('$name says $verdict', async ({ key, verdict }) => {
    const path = await openPath([(_request, response) => response.end()], {
      repeat: 'once',
      maxBodyBytes: 1,
    });
    try {
      const head = `POST /x HTTP/1.1\r\nHost: a\r\n${key}Content-Length: 2\r\n\r\nab`;
      const { text } = await exchange(path.port, [head]);
      expect(text).toMatch(/^HTTP\/1.1 413/);
      expect(text.toLowerCase()).toContain(`x-request-outcome: ${verdict}`);
    } finally {
      await path.close();
    }
  });
});
