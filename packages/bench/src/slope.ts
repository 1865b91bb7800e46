import { fitLine } from './fit.js';
import { components } from './components.js';
import type { Figure, Scenario } from './scenario.js';

/** Fits the memory, messages and processor time of the components of a process to lines over size. */
export const slopeScenario: Scenario = {
  name: 'slope',
  description: 'memory, messages and processor time of the components of a process by size',
  async run({ seed, runs, reportProgress }) {
    const measured = new Map<string, { unit: string; values: number[] }>();
    const add = (name: string, unit: string, value: number) => {
      const figure = measured.get(name) ?? { unit, values: [] };
      figure.values.push(value);
      measured.set(name, figure);
    };
    for (let run = 0; run < runs; run++) {
      for (const { name, size, measure } of components) {
        for (const quantity of await measure(seed + run)) {
          const title = `${name}: ${quantity.name}`;
          quantity.points.forEach((point) =>
            add(`${title} at ${point.size} ${size}s`, quantity.unit, point.value),
          );
          const { slope, intercept, fit } = fitLine(quantity.points);
          add(`${title}, slope`, `${quantity.unit}/${size}`, slope);
          add(`${title}, base`, quantity.unit, intercept);
          add(`${title}, fit`, 'R²', fit);
        }
      }
      reportProgress(`run ${run + 1} done`);
    }
    return [...measured].map(([name, figure]): Figure => ({ name, ...figure }));
  },
};
