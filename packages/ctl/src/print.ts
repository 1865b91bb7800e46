import Table from 'cli-table3';
import type { Condition } from './grammar.js';

/** One line of an answer to a query. */
export type Row = Readonly<Record<string, unknown>>;

/**
 * Keeps the rows that meet all conditions.
 *
 * @param rows - The rows.
 * @param conditions - Numbers are compared as numbers, lists by whether they hold the value.
 * @returns The rows that fit.
 * @throws RangeError when no row has a field of a condition.
 */
export function pickRows(rows: readonly Row[], conditions: readonly Condition[]): readonly Row[] {
  const fields = new Set(rows.flatMap((row) => Object.keys(row)));
  const unknown = conditions.find(({ field }) => rows.length > 0 && !fields.has(field));
  if (unknown) {
    const known = [...fields].join(', ');
    throw new RangeError(`there is no field ${unknown.field}; the fields are ${known}`);
  }
  return rows.filter((row) => conditions.every((condition) => isMet(row, condition)));
}

/**
 * Writes rows as a table for people.
 *
 * @param rows - The rows; the first ones decide the order of columns.
 * @returns Lines without a final line break.
 */
export function writeTable(rows: readonly Row[]): string {
  const fields = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  if (fields.length === 0) return '(none)';
  const table = new Table({ head: fields, style: { head: [], border: [] } });
  table.push(...rows.map((row) => fields.map((field) => writeCell(row[field]))));
  return table.toString();
}

function isMet(row: Row, { field, operator, value }: Condition): boolean {
  const given = row[field];
  const equal = Array.isArray(given)
    ? given.map(String).includes(value)
    : writeCell(given) === value;
  if (operator === '=') return equal;
  if (operator === '!=') return !equal;
  if (given === undefined || given === null) return false;
  const order = typeof given === 'number' ? given - Number(value) : rankText(String(given), value);
  return operator === '<' ? order < 0 : order > 0;
}

function rankText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function writeCell(value: unknown): string {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.map(writeCell).join(',');
  if (typeof value !== 'object') return String(value);
  return Object.entries(value)
    .map(([key, item]) => `${key}=${writeCell(item)}`)
    .join(' ');
}
