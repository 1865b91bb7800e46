import { z } from 'zod';

/** What an endpoint says about its own load. */
export interface LoadReport {
  /** Running and queued calls. */
  readonly calls: number;
  readonly draining: boolean;
}

const reportSchema = z.object({
  named_metrics: z.object({
    slots_in_use: z.number().min(0),
    queued: z.number().min(0).default(0),
    draining: z.number().default(0),
  }),
});

const prefix = 'JSON ';

/** A report is read by the selection and by the detection of leaving endpoints, one after the other. */
let last: { readonly text: string; readonly report: LoadReport | undefined } | undefined;

/**
 * Reads an ORCA load report.
 *
 * @param text - Value of the `endpoint-load-metrics` header, or the JSON alone.
 * @returns The report, or undefined when there is none or it cannot be read.
 */
export function readReport(text: string | undefined): LoadReport | undefined {
  if (!text) return undefined;
  if (last?.text !== text) last = { text, report: parseReport(text) };
  return last.report;
}

function parseReport(text: string): LoadReport | undefined {
  try {
    const json: unknown = JSON.parse(text.startsWith(prefix) ? text.slice(prefix.length) : text);
    const report = reportSchema.safeParse(json);
    if (!report.success) return undefined;
    const { slots_in_use: running, queued, draining } = report.data.named_metrics;
    return { calls: running + queued, draining: draining > 0 };
  } catch {
    return undefined;
  }
}
