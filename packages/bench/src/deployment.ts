import { serviceSchema } from '@dotterelpass/values';
import type { Service } from '@dotterelpass/values';

/** The sizes of one user's installation. */
export interface Deployment {
  readonly name: string;
  readonly failureDomains: readonly string[];
  /** One-way delay between two failure domains, in milliseconds. */
  readonly betweenDomainsMs: number;
  /** One-way delay between callers and entry instances, in milliseconds. */
  readonly toCallersMs: number;
  readonly services: readonly ServiceSize[];
}

export interface ServiceSize {
  readonly name: string;
  readonly workers: number;
  readonly repeat: 'idempotent' | 'once';
}

export const deployments = {
  quispe: {
    name: 'quispe',
    failureDomains: ['cercado', 'yanahuara', 'cayma', 'paucarpata'],
    betweenDomainsMs: 1.5,
    toCallersMs: 3,
    services: [
      { name: 'status', workers: 16, repeat: 'idempotent' },
      { name: 'claims', workers: 8, repeat: 'once' },
      { name: 'fees', workers: 8, repeat: 'once' },
    ],
  },
  sateh: {
    name: 'sateh',
    failureDomains: ['zamalek', 'heliopolis', 'maadi', 'raml'],
    betweenDomainsMs: 0.5,
    toCallersMs: 1,
    services: [
      { name: 'stock', workers: 12, repeat: 'idempotent' },
      { name: 'bookings', workers: 10, repeat: 'once' },
      { name: 'dues', workers: 8, repeat: 'once' },
    ],
  },
} as const satisfies Record<string, Deployment>;

/** Calls that one worker runs at once. */
export const slotsPerWorker = 3;

/**
 * Makes the configuration of a service.
 *
 * @param size - Name, kind and number of workers.
 * @param domains - Failure domains, over which the workers are spread in turn.
 * @param addresses - Addresses of the workers.
 * @param changes - Fields of the rule that differ from the usual.
 * @returns The checked configuration.
 */
export function makeService(
  size: ServiceSize,
  domains: readonly string[],
  addresses: readonly string[],
  changes: Readonly<Record<string, unknown>> = {},
): Service {
  return serviceSchema.parse({
    name: size.name,
    routes: [{ pathPrefix: `/${size.name}` }],
    endpoints: addresses.map((address, index) => ({
      id: `${size.name}-${index + 1}`,
      address,
      failureDomain: domains[index % domains.length],
      slots: slotsPerWorker,
    })),
    rules: [{ name: size.name, repeat: size.repeat, ...changes }],
    tenants: [
      { id: 'pensioners', weight: 1 },
      { id: 'notaries', weight: 1 },
    ],
  });
}
