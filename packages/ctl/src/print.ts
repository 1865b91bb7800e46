import Table from 'cli-table3';
import type { Condition } from './grammar.js';

/** Row of a query result. */
export type Row = Readonly<Record<string, unknown>>;

/**
 * Filters rows by conditions.
 *
 * @param rows - The rows.
 * @param conditions - Conditions that a row must all meet. Numbers are compared as numbers, and a
 * list equals a value when it contains the value.
 * @returns The matching rows.
 * @throws RangeError when there are rows, but none has the field of a condition.
 */
export function filterRows(rows: readonly Row[], conditions: readonly Condition[]): readonly Row[] {
  const fields = new Set(rows.flatMap((row) => Object.keys(row)));
  const unknown = conditions.find(({ field }) => rows.length > 0 && !fields.has(field));
  if (unknown) {
    const known = [...fields].join(', ');
    throw new RangeError(`there is no field ${unknown.field}; the fields are ${known}`);
  }
  return rows.filter((row) => conditions.every((condition) => matchesCondition(row, condition)));
}

/**
 * Formats rows as a text table.
 *
 * @param rows - The rows. Columns stand in the order in which their fields first occur.
 * @returns The lines, without a trailing line break.
 */
export function formatTable(rows: readonly Row[]): string {
  const fields = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  if (fields.length === 0) return '(none)';
  const table = new Table({ head: fields, style: { head: [], border: [] } });
  table.push(...rows.map((row) => fields.map((field) => formatCell(row[field]))));
  return table.toString();
}

function matchesCondition(row: Row, { field, operator, value }: Condition): boolean {
  const cell = row[field];
  const equal = Array.isArray(cell) ? cell.map(String).includes(value) : formatCell(cell) === value;
  if (operator === '=') return equal;
  if (operator === '!=') return !equal;
  if (cell === undefined || cell === null) return false;
  const order = typeof cell === 'number' ? cell - Number(value) : compareTexts(String(cell), value);
  return operator === '<' ? order < 0 : order > 0;
}

function compareTexts(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.map(formatCell).join(',');
  if (typeof value !== 'object') return String(value);
  return Object.entries(value)
    .map(([key, item]) => `${key}=${formatCell(item)}`)
    .join(' ');
}
