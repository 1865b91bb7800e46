import { describe, expect, it } from 'vitest';
import { broadcastScenario } from '../src/broadcast.js';

/** Guards the comparison of push and tree against a model that itself fails to reach members. */
describe('the broadcast model', () => {
  it('reaches every member: with one message each by tree, with digests by push', async () => {
    const figures = await broadcastScenario.run({
      seed: 1,
      runs: 1,
      reportProgress: () => undefined,
    });
    const find = (name: string) => figures.find((figure) => figure.name === name)?.values;
    for (const size of [5, 40, 200]) {
      expect(find(`tree ${size}, 0% down: messages`)).toEqual([size - 1]);
      expect(find(`tree ${size}, 0% down: missed`)).toEqual([0]);
      expect(find(`tree ${size}, 0% down: rounds`)).toEqual([Math.floor(Math.log2(size))]);
    }
    expect(find('push 5, 20% down: missed')).toEqual([0]);
    expect(find('push 200, 0% down: messages')?.[0]).toBeLessThanOrEqual(600);
  });
});
