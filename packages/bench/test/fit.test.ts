import { describe, expect, it } from 'vitest';
import { fitLine } from '../src/fit.js';

/** Guards the capacity figures, all of which are taken from fitted lines. */
describe('fitLine', () => {
  it.each([
    {
      points: [
        [1, 5],
        [2, 7],
        [4, 11],
      ],
      slope: 2,
      intercept: 3,
      fit: 1,
    },
    {
      points: [
        [0, 1],
        [1, 0],
        [2, 1],
        [3, 0],
      ],
      slope: -0.2,
      intercept: 0.8,
      fit: 0.2,
    },
    {
      points: [
        [1, 4],
        [9, 4],
      ],
      slope: 0,
      intercept: 4,
      fit: 1,
    },
  ])('finds slope $slope', ({ points, slope, intercept, fit }) => {
    const line = fitLine(points.map(([size = 0, value = 0]) => ({ size, value })));
    expect(line.slope).toBeCloseTo(slope);
    expect(line.intercept).toBeCloseTo(intercept);
    expect(line.fit).toBeCloseTo(fit);
  });

  it('rejects points that all have the same size', () => {
    expect(() => fitLine([{ size: 1, value: 2 }])).toThrow(RangeError);
  });
});
