import { readFileSync } from 'node:fs';
import { z } from 'zod';

/** A stretch of time with a call rate that runs evenly from one value to another. */
export const phaseSchema = z.object({
  ms: z.number().min(1).max(3_600_000),
  callsPerSecond: z.number().min(0).max(100_000),
  /** Rate at the end of the phase; the same as at its start when absent. */
  toCallsPerSecond: z.number().min(0).max(100_000).optional(),
});

/** One kind of call in the mix. */
export const kindSchema = z.object({
  name: z.string().min(1).max(64),
  weight: z.number().min(0).default(1),
  method: z.string().default('GET'),
  /** Path; the query names the work: `ms`, `bytes`. */
  path: z.string().startsWith('/'),
  tenant: z.string().default('default'),
  /** Mean time that the endpoint works on a call, in milliseconds. */
  workMs: z.number().min(0).default(5),
  /** `exponential` draws the time of each call; `fixed` gives all the same. */
  spread: z.enum(['fixed', 'exponential']).default('fixed'),
  /** Share of calls that take `longFactor` times as long. */
  longShare: z.number().min(0).max(1).default(0),
  longFactor: z.number().min(1).max(10_000).default(50),
  answerBytes: z
    .number()
    .int()
    .min(0)
    .max(2 ** 24)
    .default(0),
  bodyBytes: z
    .number()
    .int()
    .min(0)
    .max(2 ** 24)
    .default(0),
  /** Each call gets an idempotency key of its own, and its re-sends carry the same. */
  keyed: z.boolean().default(false),
  /** How often a caller sends again after a refusal, a cut or a timeout. */
  resends: z.number().int().min(0).max(100).default(0),
  resendAfterMs: z.number().min(0).max(60_000).default(100),
});

export const planSchema = z.object({
  seed: z.number().int().default(1),
  targets: z.array(z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d+$/)).min(1),
  phases: z.array(phaseSchema).min(1),
  mix: z.array(kindSchema).min(1),
  /** A caller gives up after this time. */
  timeoutMs: z.number().min(1).max(600_000).default(10_000),
});

export type Phase = z.infer<typeof phaseSchema>;
export type Kind = z.infer<typeof kindSchema>;
export type Plan = z.infer<typeof planSchema>;
export type PlanInput = z.input<typeof planSchema>;

/**
 * Reads a plan from a JSON file.
 *
 * @param path - Path of the file.
 * @returns The plan with defaults filled in.
 * @throws RangeError when the file is not a plan.
 */
export function readPlan(path: string): Plan {
  const parsed = planSchema.safeParse(JSON.parse(readFileSync(path, 'utf8')));
  if (!parsed.success) throw new RangeError(`${path}: ${z.prettifyError(parsed.error)}`);
  return parsed.data;
}
