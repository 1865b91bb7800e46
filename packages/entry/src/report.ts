import { z } from 'zod';

/** Load that an endpoint reports about itself. */
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

const jsonPrefix = 'JSON ';

/** Endpoints repeat the same few reports, and a lookup is faster than parsing and validation. */
const cache = new Map<string, LoadReport | undefined>();
const maxCachedReports = 256;

/**
 * Reads an ORCA load report.
 *
 * @param text - Value of the `endpoint-load-metrics` header, or the JSON without its prefix.
 * @returns The report, or undefined if there is none or it is invalid.
 */
export function readReport(text: string | undefined): LoadReport | undefined {
  if (!text) return undefined;
  if (cache.has(text)) return cache.get(text);
  if (cache.size >= maxCachedReports) cache.clear();
  const report = parseReport(text);
  cache.set(text, report);
  return report;
}

function parseReport(text: string): LoadReport | undefined {
  try {
    const json: unknown = JSON.parse(
      text.startsWith(jsonPrefix) ? text.slice(jsonPrefix.length) : text,
    );
    const report = reportSchema.safeParse(json);
    if (!report.success) return undefined;
    const { slots_in_use: running, queued, draining } = report.data.named_metrics;
    return { calls: running + queued, draining: draining > 0 };
  } catch {
    return undefined;
  }
}
