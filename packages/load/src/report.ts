import Table from 'cli-table3';
import * as hdr from 'hdr-histogram-js';
import type { Outcome } from './runner.js';

/** Latency of a group of calls, in milliseconds. */
export interface Latency {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** What became of the calls of one tenant and kind. */
export interface Row {
  readonly tenant: string;
  readonly kind: string;
  readonly calls: number;
  readonly resends: number;
  readonly answered: number;
  readonly notRun: number;
  readonly mayHaveRun: number;
  /** Sendings that ended without a whole answer. */
  readonly cut: number;
  /** Of answered calls. */
  readonly latency: Latency;
}

/** Latencies are recorded in microseconds with three significant digits. */
const unitsPerMs = 1000;

/**
 * Measures the latency of a group of calls with an HDR histogram.
 *
 * @param latenciesMs - Latencies in milliseconds.
 * @returns Their percentiles; zeros for an empty group.
 */
export function measureLatency(latenciesMs: Iterable<number>): Latency {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  for (const ms of latenciesMs) histogram.recordValue(Math.max(0, Math.round(ms * unitsPerMs)));
  const read = (percent: number) => histogram.getValueAtPercentile(percent) / unitsPerMs;
  return {
    p50: read(50),
    p90: read(90),
    p99: read(99),
    p999: read(99.9),
    max: histogram.maxValue / unitsPerMs,
  };
}

/**
 * Sums up the outcomes by tenant and kind.
 *
 * @param outcomes - How each sending ended.
 * @returns One row for each tenant and kind, sorted by name.
 */
export function makeRows(outcomes: readonly Outcome[]): Row[] {
  const groups = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const name = `${outcome.tenant}\n${outcome.kind}`;
    const group = groups.get(name);
    if (group) group.push(outcome);
    else groups.set(name, [outcome]);
  }
  return [...groups.keys()].sort().map((name) => {
    const [tenant = '', kind = ''] = name.split('\n');
    return makeRow(tenant, kind, groups.get(name) ?? []);
  });
}

function makeRow(tenant: string, kind: string, group: readonly Outcome[]): Row {
  const answered = group.filter(isAnswered);
  const refused = group.filter((outcome) => !isAnswered(outcome));
  return {
    tenant,
    kind,
    calls: group.filter(({ sending }) => sending === 0).length,
    resends: group.filter(({ sending }) => sending > 0).length,
    answered: answered.length,
    notRun: refused.filter(({ verdict }) => verdict === 'not-run').length,
    mayHaveRun: refused.filter(({ verdict }) => verdict !== 'not-run').length,
    cut: refused.filter(({ status }) => status === 0).length,
    latency: measureLatency(answered.map(({ latencyMs }) => latencyMs)),
  };
}

/** @returns Whether the caller got the answer of an endpoint. */
export function isAnswered({ status }: Outcome): boolean {
  return status >= 200 && status < 500;
}

/**
 * Formats rows for people.
 *
 * @param rows - The rows.
 * @returns A table.
 */
export function writeTable(rows: readonly Row[]): string {
  const table = new Table({
    head: [
      'tenant',
      'kind',
      'calls',
      'resends',
      'answered',
      'not run',
      'may have run',
      'cut',
      'p50 ms',
      'p99 ms',
      'max ms',
    ],
    style: { head: [], border: [] },
  });
  for (const row of rows) {
    const { p50, p99, max } = row.latency;
    table.push([
      row.tenant,
      row.kind,
      row.calls,
      row.resends,
      row.answered,
      row.notRun,
      row.mayHaveRun,
      row.cut,
      p50.toFixed(2),
      p99.toFixed(2),
      max.toFixed(2),
    ]);
  }
  return table.toString();
}
