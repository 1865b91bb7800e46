import { endpointSchema, namePattern, ruleSchema, serviceSchema } from '@dotterelpass/values';
import { z } from 'zod';

const service = serviceSchema.shape.name;
const endpoint = endpointSchema.shape.id;
const rule = ruleSchema.shape;
const limits = serviceSchema.shape.limits.unwrap().shape;
const tenant = z.string().regex(namePattern, 'must be lower-case letters, digits and hyphens');
const host = z
  .string()
  .regex(/^[a-z0-9.-]{1,253}$/, 'must be a host name in lower case')
  .optional();
const pathPrefix = rule.pathPrefix.unwrap();

const ruleFields = {
  methods: rule.methods.unwrap().max(16).optional(),
  pathPrefix: pathPrefix.optional(),
  repeat: rule.repeat.optional(),
  retryStatuses: rule.retryStatuses.unwrap().max(64).optional(),
  retryFailures: rule.retryFailures.unwrap().max(8).optional(),
  maxAttempts: rule.maxAttempts.unwrap().optional(),
  deadlineMs: rule.deadlineMs.unwrap().optional(),
  priority: rule.priority.unwrap().optional(),
  hedge: rule.hedge.unwrap().optional(),
  maxBodyBytes: rule.maxBodyBytes.unwrap().optional(),
};

const limitFields = {
  queue: limits.queue.unwrap().optional(),
  minPoolShare: limits.minPoolShare.unwrap().optional(),
  probesPerSecond: limits.probesPerSecond.unwrap().optional(),
};

/** What an operator wants to change in the configuration of one service. */
export const changeSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('create-service'), service }),
  z.strictObject({ kind: z.literal('remove-service'), service }),
  z.strictObject({
    kind: z.literal('add-endpoint'),
    service,
    endpoint,
    /** Address and failure domain may be left out for an endpoint that is known. */
    address: endpointSchema.shape.address.optional(),
    failureDomain: endpointSchema.shape.failureDomain.optional(),
    slots: endpointSchema.shape.slots.unwrap().optional(),
    connections: endpointSchema.shape.connections.unwrap().optional(),
  }),
  z.strictObject({ kind: z.literal('drain-endpoint'), service, endpoint }),
  z.strictObject({ kind: z.literal('stop-endpoint'), service, endpoint }),
  z.strictObject({ kind: z.literal('remove-endpoint'), service, endpoint }),
  z.strictObject({
    kind: z.literal('set-slots'),
    service,
    endpoint,
    slots: endpointSchema.shape.slots.unwrap(),
  }),
  z.strictObject({
    kind: z.literal('add-rule'),
    service,
    rule: rule.name,
    ...ruleFields,
    repeat: rule.repeat,
    /** The rule that the new one stands before; without it the new one stands last. */
    before: rule.name.optional(),
  }),
  z.strictObject({ kind: z.literal('set-rule'), service, rule: rule.name, ...ruleFields }),
  z.strictObject({ kind: z.literal('remove-rule'), service, rule: rule.name }),
  z.strictObject({ kind: z.literal('add-route'), service, pathPrefix, host }),
  z.strictObject({ kind: z.literal('remove-route'), service, pathPrefix, host }),
  z.strictObject({
    kind: z.literal('set-tenant'),
    service,
    tenant,
    weight: z.number().min(0.01).max(1000),
  }),
  z.strictObject({ kind: z.literal('remove-tenant'), service, tenant }),
  z.strictObject({ kind: z.literal('set-limits'), service, ...limitFields }),
  /** Writes the fleet's revision back after the platform has lost it. */
  z.strictObject({ kind: z.literal('restore-service'), service }),
]);

export type Change = z.infer<typeof changeSchema>;

/** Legal form of command ids: they appear in paths. */
export const commandIdSchema = z
  .string()
  .regex(/^[A-Za-z0-9._-]{1,64}$/, 'must be 1 to 64 letters, digits, dots, hyphens, underscores');

export const authorSchema = z
  .string()
  .regex(/^[\x20-\x7e]{1,128}$/, 'must be 1 to 128 printable ASCII characters');

/** One operator command. */
export interface Command {
  /** Made by the client; equal ids are the same command, sent again. */
  readonly commandId: string;
  readonly author: string;
  /** Wall-clock time at which it was received, in milliseconds since 1970. */
  readonly atMs: number;
  readonly change: Change;
}

/**
 * Names the things that a change touches. Two changes with a common name collide when operators
 * issue them at the same time.
 *
 * @param change - The change.
 * @returns `*` stands for the whole service.
 */
export function listSubjects(change: Change): readonly string[] {
  switch (change.kind) {
    case 'add-endpoint':
    case 'drain-endpoint':
    case 'stop-endpoint':
    case 'remove-endpoint':
    case 'set-slots':
      return [`endpoint ${change.endpoint}`];
    case 'add-rule':
      return [`rule ${change.rule}`, ...(change.before ? [`rule ${change.before}`] : [])];
    case 'set-rule':
    case 'remove-rule':
      return [`rule ${change.rule}`];
    case 'add-route':
    case 'remove-route':
      return [`route ${change.host ?? ''}${change.pathPrefix}`];
    case 'set-tenant':
    case 'remove-tenant':
      return [`tenant ${change.tenant}`];
    case 'set-limits':
      return Object.keys(limitFields)
        .filter((field) => change[field as keyof typeof limitFields] !== undefined)
        .map((field) => `limit ${field}`);
    case 'create-service':
    case 'remove-service':
    case 'restore-service':
      return ['*'];
  }
}
