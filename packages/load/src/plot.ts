import * as vega from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';
import { isAnswered } from './report.js';
import type { Outcome } from './runner.js';

const stepMs = 100;

/**
 * Plots calls, answers and the slowest answers over time.
 *
 * @param outcomes - How each sending ended.
 * @returns An SVG document.
 */
export async function plotOutcomes(outcomes: readonly Outcome[]): Promise<string> {
  const sent = new Map<number, number>();
  const answered = new Map<number, number>();
  const slowest = new Map<number, number>();
  for (const outcome of outcomes) {
    const step = Math.floor(outcome.atMs / stepMs);
    sent.set(step, (sent.get(step) ?? 0) + 1);
    if (!isAnswered(outcome)) continue;
    const end = Math.floor((outcome.atMs + outcome.latencyMs) / stepMs);
    answered.set(end, (answered.get(end) ?? 0) + 1);
    slowest.set(step, Math.max(slowest.get(step) ?? 0, outcome.latencyMs));
  }
  const toSeries = (series: string, counts: ReadonlyMap<number, number>, factor: number) =>
    [...counts].map(([step, count]) => ({
      series,
      seconds: (step * stepMs) / 1000,
      value: count * factor,
    }));
  const perSecond = 1000 / stepMs;
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
