import type { Logger } from '@dotterelpass/telemetry';
import type { Clock, EndpointId, ServiceId } from '@dotterelpass/values';
import type { Registration } from './catalog.js';
import { Endpoint } from './endpoint.js';

/** Connections kept to an endpoint whose service is not configured yet. */
const fallbackConnections = 8;

export interface EndpointRegistryOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Connections to one endpoint of a service that this instance may have. */
  calculateConnectionLimit(service: ServiceId): number | undefined;
}

/** The endpoints that are registered, by service. */
export class EndpointRegistry {
  readonly #options: EndpointRegistryOptions;

  readonly #endpoints = new Map<EndpointId, Endpoint>();

  /** Endpoints that may take calls. */
  #readyByService = new Map<ServiceId, readonly Endpoint[]>();

  constructor(options: EndpointRegistryOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#endpoints.size;
  }

  /** @returns The endpoints of a service that are registered and not leaving. */
  listReady(service: ServiceId): readonly Endpoint[] {
    return this.#readyByService.get(service) ?? [];
  }

  find(id: EndpointId): Endpoint | undefined {
    return this.#endpoints.get(id);
  }

  /**
   * Takes the list of registered endpoints in place of the one before.
   *
   * @param registrations - The endpoints.
   */
  setRegistrations(registrations: readonly Registration[]): void {
    const listed = new Map(registrations.map((entry) => [entry.id, entry]));
    listed.forEach((entry) => this.#addOrUpdate(entry));
    [...this.#endpoints.keys()]
      .filter((id) => !listed.has(id))
      .forEach((id) => this.#remove(id, 'missing'));
    const services = new Map<ServiceId, Endpoint[]>();
    this.#endpoints.forEach((endpoint) => {
      const { service, state } = endpoint.registration;
      if (state !== 'ready') return;
      const list = services.get(service);
      if (list) list.push(endpoint);
      else services.set(service, [endpoint]);
    });
    this.#readyByService = services;
  }

  close(): void {
    this.#endpoints.forEach((endpoint) => endpoint.close());
  }

  #addOrUpdate(entry: Registration): void {
    const known = this.#endpoints.get(entry.id);
    if (known && isSameProcess(known.registration, entry)) {
      if (known.registration.state !== entry.state) {
        const { id, service, state } = entry;
        this.#options.log.info('endpoint-state', { endpoint: id, service, state });
      }
      known.setRegistration(entry);
      return;
    }
    if (known) this.#remove(entry.id, 'restarted');
    const connections =
      this.#options.calculateConnectionLimit(entry.service) ?? fallbackConnections;
    const endpoint = new Endpoint(entry, connections, this.#options.clock);
    this.#endpoints.set(entry.id, endpoint);
    const { id, service, address, failureDomain, state } = entry;
    this.#options.log.info('endpoint-added', {
      endpoint: id,
      service,
      address,
      failureDomain,
      state,
    });
  }

  #remove(id: EndpointId, reason: string): void {
    const endpoint = this.#endpoints.get(id);
    if (!endpoint) return;
    this.#endpoints.delete(id);
    this.#options.log.info('endpoint-removed', { endpoint: id, reason });
    // Calls in flight end on their own connections.
    endpoint.pool.drain();
  }
}

function isSameProcess(a: Registration, b: Registration): boolean {
  return a.address === b.address && a.startedAtMs === b.startedAtMs && a.service === b.service;
}
