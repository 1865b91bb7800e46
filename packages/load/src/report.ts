import Table from 'cli-table3';
import * as hdr from 'hdr-histogram-js';
import type { Outcome } from './runner.js';

/** Latency percentiles of a group of calls, in milliseconds. */
export interface Latency {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Summary of the calls of one tenant and kind. */
export interface ReportRow {
  readonly tenant: string;
  readonly kind: string;
  readonly calls: number;
  readonly resends: number;
  readonly answered: number;
  readonly notRun: number;
  readonly mayHaveRun: number;
  /** Attempts that ended without a complete response. */
  readonly cut: number;
  /** Latency of the answered attempts. */
  readonly latency: Latency;
}

/** The histogram records microseconds. */
const unitsPerMs = 1000;

/**
 * Computes latency percentiles with an HDR histogram of three significant digits.
 *
 * @param latenciesMs - Latencies in milliseconds.
 * @returns The percentiles; zeros for an empty group.
 */
export function measureLatency(latenciesMs: Iterable<number>): Latency {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  for (const ms of latenciesMs) histogram.recordValue(Math.max(0, Math.round(ms * unitsPerMs)));
  const readPercentile = (percent: number) => histogram.getValueAtPercentile(percent) / unitsPerMs;
  return {
    p50: readPercentile(50),
    p90: readPercentile(90),
    p99: readPercentile(99),
    p999: readPercentile(99.9),
    max: histogram.maxValue / unitsPerMs,
  };
}

/**
 * Summarizes outcomes by tenant and kind.
 *
 * @param outcomes - Outcomes of all attempts.
 * @returns A row for each tenant and kind, sorted by tenant and kind.
 */
export function makeRows(outcomes: readonly Outcome[]): ReportRow[] {
  const groups = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const groupKey = `${outcome.tenant}\n${outcome.kind}`;
    const group = groups.get(groupKey);
    if (group) group.push(outcome);
    else groups.set(groupKey, [outcome]);
  }
  return [...groups.keys()].sort().map((groupKey) => {
    const [tenant = '', kind = ''] = groupKey.split('\n');
    return makeRow(tenant, kind, groups.get(groupKey) ?? []);
  });
}

function makeRow(tenant: string, kind: string, group: readonly Outcome[]): ReportRow {
  const answered = group.filter(isAnswered);
  const unanswered = group.filter((outcome) => !isAnswered(outcome));
  return {
    tenant,
    kind,
    calls: group.filter(({ attempt: sending }) => sending === 0).length,
    resends: group.filter(({ attempt: sending }) => sending > 0).length,
    answered: answered.length,
    notRun: unanswered.filter(({ verdict }) => verdict === 'not-run').length,
    mayHaveRun: unanswered.filter(({ verdict }) => verdict !== 'not-run').length,
    cut: unanswered.filter(({ status }) => status === 0).length,
    latency: measureLatency(answered.map(({ latencyMs }) => latencyMs)),
  };
}

/** @returns Whether the caller received the response of an endpoint; server errors do not count. */
export function isAnswered({ status }: Outcome): boolean {
  return status >= 200 && status < 500;
}

/**
 * Formats rows as a text table.
 *
 * @param rows - The rows.
 * @returns The table, without a trailing line break.
 */
export function formatTable(rows: readonly ReportRow[]): string {
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
