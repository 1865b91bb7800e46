import Table from 'cli-table3';

/** Options of one run of a scenario. */
export interface ScenarioOptions {
  readonly seed: number;
  /** Number of paired runs; the figures are medians over them. */
  readonly runs: number;
  /** Prints a line of progress. */
  readonly reportProgress: (text: string) => void;
}

/** A measured figure with one value per run. */
export interface Figure {
  readonly name: string;
  readonly unit: string;
  readonly values: readonly number[];
  /** Bounds for the median, if the project states a target for the figure. */
  readonly target?: { readonly atMost?: number; readonly atLeast?: number };
}

/** A measurement that `npm run bench -- NAME` runs. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  run(options: ScenarioOptions): Promise<readonly Figure[]>;
}

/**
 * Calculates the median.
 *
 * @param values - At least one value.
 * @returns The median.
 * @throws RangeError - There are no values.
 */
export function findMedian(values: readonly number[]): number {
  if (values.length === 0) throw new RangeError('the median needs at least one value');
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1
    ? (sorted[middle] as number)
    : ((sorted[middle - 1] as number) + (sorted[middle] as number)) / 2;
}

/**
 * Checks whether the median of a figure meets its target.
 *
 * @param figure - Figure to check.
 * @returns Undefined when the figure has no target.
 */
export function meetsTarget({ values, target }: Figure): boolean | undefined {
  if (!target) return undefined;
  const median = findMedian(values);
  return median <= (target.atMost ?? Infinity) && median >= (target.atLeast ?? -Infinity);
}

/**
 * Formats figures as a text table.
 *
 * @param figures - Figures to format.
 * @returns A table with the median, lowest and highest value of each figure.
 */
export function formatFigures(figures: readonly Figure[]): string {
  const table = new Table({
    head: ['figure', 'unit', 'median', 'lowest', 'highest', 'runs', 'target', 'met'],
    style: { head: [], border: [] },
  });
  for (const figure of figures) {
    const { name, unit, values, target } = figure;
    const formatValue = (value: number) => Number(value.toPrecision(4)).toString();
    const bounds = [
      ...(target?.atMost === undefined ? [] : [`<= ${target.atMost}`]),
      ...(target?.atLeast === undefined ? [] : [`>= ${target.atLeast}`]),
    ];
    const met = meetsTarget(figure);
    table.push([
      name,
      unit,
      formatValue(findMedian(values)),
      formatValue(Math.min(...values)),
      formatValue(Math.max(...values)),
      values.length,
      bounds.join(', '),
      met === undefined ? '' : { content: met ? 'yes' : 'no' },
    ]);
  }
  return table.toString();
}
