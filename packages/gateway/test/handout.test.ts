import { describe, expect, it } from 'vitest';
import { deflateItem, inflateItem } from '../src/handout.js';

const makeItem = (value: Buffer) => ({ key: 'op/config', value, epoch: 1, revision: 7 });

/** Routes as configurations hold them. */
const routes = Buffer.from(
  JSON.stringify(
    Array.from({ length: 1400 }, (_, index) => ({
      resource_type: 'routes',
      metadata: { name: `route-${index}` },
      spec: { hostname: `host-${index % 20}.example`, prefix: `/part-${index}/`, timeout_s: 1.2 },
    })),
  ),
);

describe('a configuration for another instance', () => {
  // Guards against a version that takes seconds to reach the instances of a failure domain (issue 46).
  it.each([
    { name: 'a large one is compressed', value: routes, maxShare: 0.1, isDeflated: true },
    { name: 'a small one is not', value: routes.subarray(0, 8000), maxShare: 1, isDeflated: false },
  ])('arrives as it was: $name', ({ value, maxShare, isDeflated }) => {
    const shared = deflateItem(makeItem(value));
    expect(shared.isDeflated ?? false).toBe(isDeflated);
    expect(shared.value.length).toBeLessThanOrEqual(value.length * maxShare);
    expect(inflateItem(shared)).toEqual({ value: makeItem(value) });
  });

  // Guards against an update that ends the process, or fills its memory.
  it.each([
    { name: 'is no compressed data', value: Buffer.from('not deflated') },
    { name: 'has no end', value: deflateItem(makeItem(routes)).value.subarray(0, 5000) },
    {
      name: 'grows beyond the limit',
      value: deflateItem(makeItem(Buffer.alloc(17 * 1024 * 1024))).value,
    },
  ])('is an error if it $name', ({ value }) => {
    expect(inflateItem({ ...makeItem(value), isDeflated: true }).isErr()).toBe(true);
  });
});
