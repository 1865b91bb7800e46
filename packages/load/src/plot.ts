import * as vega from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';
import { isAnswered } from './report.js';
import type { Outcome } from './runner.js';

const intervalMs = 100;

/**
 * Plots the rates of calls and answers and the highest latency over time.
 *
 * @param outcomes - Outcomes of all attempts.
 * @returns An SVG document.
 */
export async function plotOutcomes(outcomes: readonly Outcome[]): Promise<string> {
  const sent = new Map<number, number>();
  const answered = new Map<number, number>();
  const slowest = new Map<number, number>();
  for (const outcome of outcomes) {
    const interval = Math.floor(outcome.atMs / intervalMs);
    sent.set(interval, (sent.get(interval) ?? 0) + 1);
    if (!isAnswered(outcome)) continue;
    const endInterval = Math.floor((outcome.atMs + outcome.latencyMs) / intervalMs);
    answered.set(endInterval, (answered.get(endInterval) ?? 0) + 1);
    slowest.set(interval, Math.max(slowest.get(interval) ?? 0, outcome.latencyMs));
  }
  const toSeries = (series: string, counts: ReadonlyMap<number, number>, factor: number) =>
    [...counts].map(([interval, count]) => ({
      series,
      seconds: (interval * intervalMs) / 1000,
      value: count * factor,
    }));
  const perSecond = 1000 / intervalMs;
  return renderSvg({
    vconcat: [
      makeChart('calls/s', [
        ...toSeries('sent', sent, perSecond),
        ...toSeries('answered', answered, perSecond),
      ]),
      makeChart('slowest answer, ms', toSeries('slowest', slowest, 1)),
    ],
  });
}

/**
 * Renders a chart.
 *
 * @param spec - The chart as a Vega-Lite specification.
 * @returns An SVG document.
 */
export async function renderSvg(spec: TopLevelSpec): Promise<string> {
  const view = new vega.View(vega.parse(compile(spec).spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

function makeChart(title: string, values: { series: string; seconds: number; value: number }[]) {
  return {
    width: 720,
    height: 220,
    data: { values },
    mark: 'line' as const,
    encoding: {
      x: { field: 'seconds', type: 'quantitative' as const, title: 'time, s' },
      y: { field: 'value', type: 'quantitative' as const, title },
      color: { field: 'series', type: 'nominal' as const, title: '' },
    },
  };
}
