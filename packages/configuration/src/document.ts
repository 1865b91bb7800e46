import { serviceSchema } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';

/** One accepted command, as recorded in the history. */
export const decisionSchema = z.object({
  commandId: z.string().min(1).max(64),
  author: z.string().max(128),
  atMs: z.number(),
  text: z.string().max(4096),
  revision: z.number().int().min(1),
  /** The change of the command. Unknown fields are kept, since a later version may write them. */
  change: z.record(z.string(), z.unknown()).optional(),
  /** Set when a restore found that the decision contradicts another decision that is in effect. */
  superseded: z.literal(true).optional(),
});

/** The stored configuration of one service with the history of the decisions that led to it. */
export const documentSchema = z.object({
  revision: z.number().int().min(1),
  service: serviceSchema,
  removed: z.boolean().default(false),
  history: z.array(decisionSchema),
  /** Number of decisions that were dropped from the history. */
  compacted: z.number().int().min(0).default(0),
  /** Ids of the newest dropped decisions, the oldest first. */
  earlier: z
    .array(z.object({ commandId: z.string(), revision: z.number().int().min(1) }))
    .default([]),
});

export type Decision = z.infer<typeof decisionSchema>;
export type ServiceDocument = z.infer<typeof documentSchema>;

/**
 * Parses a stored document.
 *
 * @param bytes - JSON as stored on the platform.
 * @returns The document, or a description of the errors.
 */
export function parseDocument(bytes: Buffer): Result<ServiceDocument, string> {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString());
  } catch {
    return err('the document is not valid JSON');
  }
  const parsed = documentSchema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}

/**
 * Serializes a document in the stored form.
 *
 * @param document - The document.
 * @returns JSON.
 */
export function serializeDocument(document: ServiceDocument): Buffer {
  return Buffer.from(JSON.stringify(document));
}
