import Table from 'cli-table3';

/** How a scenario is to be run. */
export interface ScenarioOptions {
  readonly seed: number;
  /** Number of paired runs; the figures are medians over them. */
  readonly runs: number;
  /** Says what is going on. */
  readonly tell: (text: string) => void;
}

/** One measured figure over the paired runs. */
export interface Figure {
  readonly name: string;
  readonly unit: string;
  readonly values: readonly number[];
  /** The bound from the stated target, when there is one. */
  readonly target?: { readonly atMost?: number; readonly atLeast?: number };
}

/** A measurement that `npm run bench -- NAME` runs. */
export interface Scenario {
  readonly name: string;
  readonly describe: string;
  run(options: ScenarioOptions): Promise<readonly Figure[]>;
}

/**
 * Finds the middle value.
 *
 * @param values - At least one value.
 * @returns The median.
 */
export function findMedian(values: readonly number[]): number {
  if (values.length === 0) throw new RangeError('no values to take the median of');
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1
    ? (sorted[middle] as number)
    : ((sorted[middle - 1] as number) + (sorted[middle] as number)) / 2;
}

/**
 * Tells whether a figure meets its target.
 *
 * @param figure - The figure; its median counts.
 * @returns Undefined when it has no target.
 */
export function isMet({ values, target }: Figure): boolean | undefined {
  if (!target) return undefined;
  const median = findMedian(values);
  return median <= (target.atMost ?? Infinity) && median >= (target.atLeast ?? -Infinity);
}

/**
 * Formats figures for people.
 *
 * @param figures - The figures.
 * @returns A table with median, lowest and highest value.
 */
export function writeFigures(figures: readonly Figure[]): string {
  const table = new Table({
    head: ['figure', 'unit', 'median', 'lowest', 'highest', 'runs', 'target', 'met'],
    style: { head: [], border: [] },
  });
  for (const figure of figures) {
    const { name, unit, values, target } = figure;
    const show = (value: number) => Number(value.toPrecision(4)).toString();
    const bounds = [
      ...(target?.atMost === undefined ? [] : [`<= ${target.atMost}`]),
      ...(target?.atLeast === undefined ? [] : [`>= ${target.atLeast}`]),
    ];
    const met = isMet(figure);
    table.push([
      name,
      unit,
      show(findMedian(values)),
      show(Math.min(...values)),
      show(Math.max(...values)),
      values.length,
      bounds.join(', '),
      met === undefined ? '' : { content: met ? 'yes' : 'no' },
    ]);
  }
  return table.toString();
}
