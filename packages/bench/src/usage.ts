import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Point } from './fit.js';

/** A measured quantity of a component at several sizes. */
export interface Quantity {
  readonly name: string;
  readonly unit: string;
  readonly points: readonly Point[];
}

/** A component of a process that can be measured in isolation at several sizes. */
export interface Component {
  readonly name: string;
  /** Unit of the size in the singular, such as `member`. */
  readonly size: string;
  measure(seed: number): Promise<readonly Quantity[]>;
}

/** @returns Bytes in use after a full garbage collection. */
export function measureUsedMemory(): number {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Measures the memory that a value holds.
 *
 * @param make - Creates the value.
 * @param copies - Number of values to hold at once; more values reduce the noise of the collector.
 * @returns Bytes per value.
 */
export function measureMemory(make: () => unknown, copies = 1): number {
  // The first value fills caches of the engine, which must not count.
  make();
  const before = measureUsedMemory();
  const values = Array.from({ length: copies }, make);
  const bytes = measureUsedMemory() - before;
  values.pop();
  return bytes / copies;
}

/**
 * Measures the processor time of a function.
 *
 * @param work - Function to measure.
 * @returns User and system time, in milliseconds.
 */
export async function measureProcessorTime(work: () => Promise<void> | void): Promise<number> {
  const before = process.cpuUsage();
  await work();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1000;
}
