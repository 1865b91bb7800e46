import { serviceSchema } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';

/** One accepted operator decision. */
export const decisionSchema = z.object({
  commandId: z.string().min(1).max(64),
  author: z.string().max(128),
  atMs: z.number(),
  text: z.string().max(4096),
  revision: z.number().int().min(1),
  /** The typed change. Its fields stay as they are, also those of a later version. */
  change: z.record(z.string(), z.unknown()).optional(),
  /** Set when a restore found that the decision contradicts one that stands. */
  superseded: z.literal(true).optional(),
});

/** The stored configuration of one service with the decisions that led to it. */
export const documentSchema = z.object({
  revision: z.number().int().min(1),
  service: serviceSchema,
  removed: z.boolean().default(false),
  history: z.array(decisionSchema),
  /** Number of decisions that were dropped from the history. */
  compacted: z.number().int().min(0).default(0),
  /** Ids of the newest of the dropped decisions, oldest first. */
  earlier: z
    .array(z.object({ commandId: z.string(), revision: z.number().int().min(1) }))
    .default([]),
});

export type Decision = z.infer<typeof decisionSchema>;
export type ServiceDocument = z.infer<typeof documentSchema>;

/**
 * Reads a stored document.
 *
 * @param bytes - JSON as stored on the platform.
 * @returns The document, or what is wrong with it.
 */
export function parseDocument(bytes: Buffer): Result<ServiceDocument, string> {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString());
  } catch {
    return err('the document is not JSON');
  }
  const parsed = documentSchema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}

/**
 * Writes a document in the stored form.
 *
 * @param document - The document.
 * @returns JSON.
 */
export function serializeDocument(document: ServiceDocument): Buffer {
  return Buffer.from(JSON.stringify(document));
}
