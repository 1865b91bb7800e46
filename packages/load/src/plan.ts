import { readFileSync } from 'node:fs';
import { z } from 'zod';

/** Period whose call rate changes linearly from a start value to an end value. */
export const phaseSchema = z.object({
  ms: z.number().min(1).max(3_600_000),
  callsPerSecond: z.number().min(0).max(100_000),
  /** Rate at the end of the phase. The default is the rate at its start. */
  toCallsPerSecond: z.number().min(0).max(100_000).optional(),
});

/** Kind of call in the mix. */
export const callKindSchema = z.object({
  name: z.string().min(1).max(64),
  weight: z.number().min(0).default(1),
  method: z.string().default('GET'),
  /** Path of the call. The runner appends the query parameters `ms` and `bytes`. */
  path: z.string().startsWith('/'),
  tenant: z.string().default('default'),
  /** Mean service time of a call that is not long, in milliseconds. */
  workMs: z.number().min(0).default(5),
  /** `exponential` draws the service time of each call; `fixed` uses the mean for all calls. */
  spread: z.enum(['fixed', 'exponential']).default('fixed'),
  /** Share of calls whose service time is multiplied by `longFactor`. */
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
  /** Gives each call a unique idempotency key, which its resends repeat. */
  keyed: z.boolean().default(false),
  /** Largest number of resends after a refusal, a cut connection or a timeout. */
  resends: z.number().int().min(0).max(100).default(0),
  resendAfterMs: z.number().min(0).max(60_000).default(100),
});

export const planSchema = z.object({
  seed: z.number().int().default(1),
  targets: z.array(z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d+$/)).min(1),
  phases: z.array(phaseSchema).min(1),
  mix: z.array(callKindSchema).min(1),
  /** Time after which a caller aborts a call, in milliseconds. */
  timeoutMs: z.number().min(1).max(600_000).default(10_000),
});

export type Phase = z.infer<typeof phaseSchema>;
export type CallKind = z.infer<typeof callKindSchema>;
export type Plan = z.infer<typeof planSchema>;
export type PlanInput = z.input<typeof planSchema>;

/**
 * Reads a plan from a JSON file.
 *
 * @param path - Path of the file.
 * @returns The plan, with defaults filled in.
 * @throws RangeError when the file is not a valid plan.
 */
export function readPlan(path: string): Plan {
  const parsed = planSchema.safeParse(JSON.parse(readFileSync(path, 'utf8')));
  if (!parsed.success) throw new RangeError(`${path}: ${z.prettifyError(parsed.error)}`);
  return parsed.data;
}
