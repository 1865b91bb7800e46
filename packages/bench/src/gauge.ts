import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Point } from './fit.js';

/** One quantity of a part of a process, as a function of one size. */
export interface Quantity {
  readonly name: string;
  readonly unit: string;
  readonly points: readonly Point[];
}

/** A part of a process that can be measured by itself at several sizes. */
export interface Part {
  readonly name: string;
  /** What the size counts, such as members. */
  readonly size: string;
  measure(seed: number): Promise<readonly Quantity[]>;
}

/** @returns Bytes in use after a full collection. */
export function readMemory(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Measures the memory that a value holds.
 *
 * @param make - Makes the value.
 * @param copies - Values that are held at once, so that noise of the collector is small.
 * @returns Bytes of one value.
 */
export function measureMemory(make: () => unknown, copies = 1): number {
  // The first run fills caches of the engine, which belong to no value.
  make();
  const before = readMemory();
  const held = Array.from({ length: copies }, make);
  const bytes = readMemory() - before;
  held.pop();
  return bytes / copies;
}

/**
 * Measures the processor time of some work.
 *
 * @param work - The work.
 * @returns Milliseconds of the user and the system.
 */
export async function measureProcessor(work: () => Promise<void> | void): Promise<number> {
  const before = process.cpuUsage();
  await work();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1000;
}
