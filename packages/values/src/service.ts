import { z } from 'zod';
import { isAddress } from './address.js';
import { namePattern } from './ids.js';
import type { ClassName, EndpointId, FailureDomain, ServiceId, TenantId } from './ids.js';

const name = z
  .string()
  .regex(namePattern, 'must be 1 to 64 lower-case letters, digits and inner hyphens');

const address = z.string().refine(isAddress, 'must be an IPv4 address and port, like 127.0.0.1:80');

const pathPrefix = z
  .string()
  .regex(/^\/[^\s?#]*$/, 'must be a path that starts with /')
  .max(512);

/** Kinds of failure after which a rule may allow a retry. */
export const retryFailures = ['connect', 'reset', 'timeout', 'shed'] as const;

export const endpointSchema = z.object({
  id: name.transform((text) => text as EndpointId),
  address,
  failureDomain: name.transform((text) => text as FailureDomain),
  slots: z.number().int().min(1).max(1024).default(3),
  connections: z.number().int().min(1).max(65535).default(200),
  state: z.enum(['active', 'draining', 'stopped']).default('active'),
});

export const ruleSchema = z.object({
  name: name.transform((text) => text as ClassName),
  methods: z.array(z.string().regex(/^[A-Z]+$/, 'must be upper-case letters')).default([]),
  pathPrefix: pathPrefix.default('/'),
  repeat: z.enum(['idempotent', 'once']),
  retryStatuses: z.array(z.number().int().min(400).max(599)).default([]),
  retryFailures: z.array(z.enum(retryFailures)).default(['connect', 'reset', 'shed']),
  maxAttempts: z.number().int().min(1).max(10).default(3),
  deadlineMs: z.number().int().min(1).max(600_000).default(10_000),
  priority: z.number().int().min(0).max(9).default(5),
  hedge: z.boolean().default(false),
  maxBodyBytes: z
    .number()
    .int()
    .min(0)
    .max(2 ** 30)
    .default(2 ** 20),
});

export const serviceSchema = z.object({
  name: name.transform((text) => text as ServiceId),
  routes: z
    .array(z.object({ host: z.string().max(253).optional(), pathPrefix }))
    .max(64)
    .default([]),
  endpoints: z
    .array(endpointSchema)
    .max(1024)
    .default([])
    .refine(
      (list) => new Set(list.map(({ id }) => id)).size === list.length,
      'must have unique ids',
    ),
  rules: z.array(ruleSchema).max(64).default([]),
  tenants: z
    .array(
      z.object({
        id: name.transform((text) => text as TenantId),
        weight: z.number().min(0.01).max(1000),
      }),
    )
    .max(256)
    .default([]),
  limits: z
    .object({
      /** Maximum number of calls that wait at one entry instance. */
      queue: z.number().int().min(0).max(100_000).default(1000),
      /** Share of the pool that stays in use regardless of its health. */
      minPoolShare: z.number().min(0).max(1).default(0.6),
      /** Health probes per second to each endpoint, for all entry instances together. */
      probesPerSecond: z.number().min(0).max(1000).default(1),
    })
    .prefault({}),
});

export type EndpointSpec = z.infer<typeof endpointSchema>;
export type Rule = z.infer<typeof ruleSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type RetryFailure = (typeof retryFailures)[number];

const idempotentMethods: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

const defaultRules = {
  idempotent: ruleSchema.parse({ name: 'default-idempotent', repeat: 'idempotent' }),
  once: ruleSchema.parse({ name: 'default-once', repeat: 'once' }),
};

/**
 * Finds the rule that applies to a request.
 *
 * @param service - The service that the request is for.
 * @param method - HTTP method in upper case.
 * @param path - Path without query.
 * @returns The first matching rule, or a default rule: GET, HEAD and OPTIONS are idempotent, and
 * requests with any other method run at most once.
 */
export function findRule(service: Service, method: string, path: string): Rule {
  const rule = service.rules.find(
    (candidate) =>
      (candidate.methods.length === 0 || candidate.methods.includes(method)) &&
      matchesPrefix(path, candidate.pathPrefix),
  );
  if (rule) return rule;
  return idempotentMethods.includes(method) ? defaultRules.idempotent : defaultRules.once;
}

/**
 * Finds the service for a request. A route with the host of the request takes precedence over a
 * route without a host; among these, the route with the longest matching path prefix is used.
 *
 * @param services - All services of the configuration in force.
 * @param host - Host header without port, in lower case.
 * @param path - Path without query.
 * @returns The service, or undefined when no route matches.
 */
export function findService(
  services: Iterable<Service>,
  host: string,
  path: string,
): Service | undefined {
  let best: { service: Service; score: number } | undefined;
  for (const service of services) {
    for (const route of service.routes) {
      if (route.host !== undefined && route.host !== host) continue;
      if (!matchesPrefix(path, route.pathPrefix)) continue;
      // A path prefix has at most 512 characters, so a host always outweighs it.
      const score = route.pathPrefix.length + (route.host === undefined ? 0 : 1000);
      if (!best || score > best.score) best = { service, score };
    }
  }
  return best?.service;
}

function matchesPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  // The prefix "/fee" must not match the path "/fees".
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';
}
