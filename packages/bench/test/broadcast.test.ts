import { describe, expect, it } from 'vitest';
import { broadcastScenario } from '../src/broadcast.js';

/** Guards the comparison: a model that lost members by itself would decide it wrongly. */
describe('the model of the broadcast', () => {
  it('reaches every member by tree with one message each, and by push with digests', async () => {
    const figures = await broadcastScenario.run({ seed: 1, runs: 1, tell: () => undefined });
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
