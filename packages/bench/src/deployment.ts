import { serviceSchema } from '@dotterelpass/values';
import type { Service } from '@dotterelpass/values';

/** Topology and sizes of one user's installation. */
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
  readonly endpointCount: number;
  readonly repeat: 'idempotent' | 'once';
}

export const deployments = {
  quispe: {
    name: 'quispe',
    failureDomains: ['cercado', 'yanahuara', 'cayma', 'paucarpata'],
    betweenDomainsMs: 1.5,
    toCallersMs: 3,
    services: [
      { name: 'status', endpointCount: 16, repeat: 'idempotent' },
      { name: 'claims', endpointCount: 8, repeat: 'once' },
      { name: 'fees', endpointCount: 8, repeat: 'once' },
    ],
  },
  sateh: {
    name: 'sateh',
    failureDomains: ['zamalek', 'heliopolis', 'maadi', 'raml'],
    betweenDomainsMs: 0.5,
    toCallersMs: 1,
    services: [
      { name: 'stock', endpointCount: 12, repeat: 'idempotent' },
      { name: 'bookings', endpointCount: 10, repeat: 'once' },
      { name: 'dues', endpointCount: 8, repeat: 'once' },
    ],
  },
} as const satisfies Record<string, Deployment>;

/** Calls that one endpoint runs at the same time. */
export const slotsPerEndpoint = 3;

/**
 * Makes the configuration of a service.
 *
 * @param size - Name, kind and number of endpoints.
 * @param domains - Failure domains; endpoints are assigned to them round-robin.
 * @param addresses - Addresses of the endpoints.
 * @param ruleOverrides - Fields of the rule that replace the defaults.
 * @returns The validated configuration.
 */
export function makeService(
  size: ServiceSize,
  domains: readonly string[],
  addresses: readonly string[],
  ruleOverrides: Readonly<Record<string, unknown>> = {},
): Service {
  return serviceSchema.parse({
    name: size.name,
    routes: [{ pathPrefix: `/${size.name}` }],
    endpoints: addresses.map((address, index) => ({
      id: `${size.name}-${index + 1}`,
      address,
      failureDomain: domains[index % domains.length],
      slots: slotsPerEndpoint,
    })),
    rules: [{ name: size.name, repeat: size.repeat, ...ruleOverrides }],
    tenants: [
      { id: 'pensioners', weight: 1 },
      { id: 'notaries', weight: 1 },
    ],
  });
}
