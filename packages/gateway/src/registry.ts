import { BackpressureTable } from '@dotterelpass/backpressure';
import type { Logger } from '@dotterelpass/telemetry';
import type { Clock, EndpointId, FailureDomain, Random, ServiceId } from '@dotterelpass/values';
import type { Registration } from './catalog.js';
import { Endpoint } from './endpoint.js';
import type { AskingEndpoint, ColdEndpoint } from './summary.js';

/** Maximum connections to an endpoint whose service is not configured yet. */
const fallbackConnections = 8;

export interface EndpointRegistryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Returns the number of instances. */
  getFleetSize(): number;
  /** Returns the maximum connections of this instance to one endpoint of a configured service. */
  calculateConnectionLimit(service: ServiceId): number | undefined;
  /** Called for each listed endpoint, also when its registration is unchanged. */
  onListed(endpoint: Endpoint): void;
  /** Called when an endpoint has ended a connection without a request, or was not reached. */
  onConnectionLost(endpoint: Endpoint): void;
  /** Called when another process of an endpoint has registered itself, before it replaces this one. */
  onRestart(endpoint: Endpoint): void;
}

/** Registered endpoints by service. */
export class EndpointRegistry {
  readonly #options: EndpointRegistryOptions;

  readonly #endpoints = new Map<EndpointId, Endpoint>();

  readonly #backpressure: BackpressureTable;

  /** Endpoints that are ready for calls. */
  #readyByService = new Map<ServiceId, readonly Endpoint[]>();

  #evacuated: ReadonlySet<FailureDomain> = new Set();

  /** Evacuated failure domains in which services have ready endpoints. */
  #evacuatedByService = new Map<ServiceId, Set<FailureDomain>>();

  constructor(options: EndpointRegistryOptions) {
    this.#options = options;
    this.#backpressure = new BackpressureTable(options);
  }

  get size(): number {
    return this.#endpoints.size;
  }

  /**
   * @returns The endpoints of a service that are registered, not draining and not in an evacuated
   * failure domain. The list stays the same until they change.
   */
  listReady(service: ServiceId): readonly Endpoint[] {
    return this.#readyByService.get(service) ?? [];
  }

  /**
   * Finds out whether a service has no endpoint left because of evacuations.
   *
   * @returns The evacuated failure domains of its endpoints; undefined when others have ready ones, or
   * none is registered.
   */
  findEvacuation(service: ServiceId): readonly FailureDomain[] | undefined {
    if (this.#readyByService.has(service)) return undefined;
    const domains = this.#evacuatedByService.get(service);
    return domains && [...domains].sort();
  }

  /** @param evacuated - All failure domains whose endpoints get nothing more. */
  setEvacuated(evacuated: ReadonlySet<FailureDomain>): void {
    this.#evacuated = evacuated;
    this.#groupReady();
  }

  find(id: EndpointId): Endpoint | undefined {
    return this.#endpoints.get(id);
  }

  /** @returns The endpoints that ask for less than usual, and for what. */
  listAsking(): readonly AskingEndpoint[] {
    return [...this.#endpoints.values()]
      .filter(({ backpressure }) => backpressure.isAsking)
      .map(({ registration: { id, service }, backpressure }) => ({
        endpoint: id,
        service,
        ...backpressure.readStatus(),
      }));
  }

  /** @returns The endpoints that are cold, and what they got. */
  listCold(): readonly ColdEndpoint[] {
    return [...this.#endpoints.values()]
      .filter(({ warmup }) => warmup.isCold)
      .map(({ registration: { id, service }, warmup }) => ({
        endpoint: id,
        service,
        ...warmup.readStatus(),
      }));
  }

  /**
   * Replaces the registrations. Adds, updates and removes endpoints accordingly.
   *
   * @param registrations - All registrations.
   */
  setRegistrations(registrations: readonly Registration[]): void {
    const listed = new Map(registrations.map((registration) => [registration.id, registration]));
    let hasChanged = false;
    listed.forEach((registration) => {
      if (this.#addOrUpdate(registration)) hasChanged = true;
      const endpoint = this.#endpoints.get(registration.id);
      if (endpoint) this.#options.onListed(endpoint);
    });
    const missing = [...this.#endpoints.keys()].filter((id) => !listed.has(id));
    missing.forEach((id) => this.#remove(id, 'missing'));
    if (hasChanged || missing.length > 0) this.#groupReady();
  }

  #groupReady(): void {
    const services = new Map<ServiceId, Endpoint[]>();
    const evacuatedByService = new Map<ServiceId, Set<FailureDomain>>();
    this.#endpoints.forEach((endpoint) => {
      const { service, state, failureDomain } = endpoint.registration;
      endpoint.setEvacuated(this.#evacuated.has(failureDomain));
      if (state !== 'ready') return;
      if (endpoint.isEvacuated) {
        const domains = evacuatedByService.get(service) ?? new Set();
        evacuatedByService.set(service, domains.add(failureDomain));
        return;
      }
      const ready = services.get(service);
      if (ready) ready.push(endpoint);
      else services.set(service, [endpoint]);
    });
    this.#readyByService = services;
    this.#evacuatedByService = evacuatedByService;
  }

  /** Applies the present connection limits of the services to all endpoints. */
  updateConnectionLimits(): void {
    this.#endpoints.forEach(({ pool, registration: { service } }) => {
      const limit = this.#options.calculateConnectionLimit(service);
      if (limit !== undefined) pool.setMaxConnections(limit);
    });
  }

  close(): void {
    this.#endpoints.forEach((endpoint) => endpoint.close());
  }

  /** @returns Whether the endpoint is new or its state or failure domain has changed. */
  #addOrUpdate(registration: Registration): boolean {
    const existing = this.#endpoints.get(registration.id);
    if (existing && isSameProcess(existing.registration, registration)) {
      const hasNewState = existing.registration.state !== registration.state;
      const hasMoved = existing.registration.failureDomain !== registration.failureDomain;
      if (hasNewState) {
        const { id, service, state } = registration;
        this.#options.log.info('endpoint-state', { endpoint: id, service, state });
      }
      existing.setRegistration(registration);
      return hasNewState || hasMoved;
    }
    if (existing) {
      this.#options.onRestart(existing);
      this.#remove(registration.id, 'restarted');
    }
    const connections =
      this.#options.calculateConnectionLimit(registration.service) ?? fallbackConnections;
    const { id, service, address, failureDomain, state, startedAtMs } = registration;
    const incarnation = [service, address, startedAtMs].join(' ');
    const endpoint = new Endpoint(
      registration,
      connections,
      this.#options.clock,
      this.#backpressure.getOrCreate(id, incarnation),
      this.#options.onConnectionLost,
    );
    this.#endpoints.set(id, endpoint);
    this.#options.log.info('endpoint-added', {
      endpoint: id,
      service,
      address,
      failureDomain,
      state,
    });
    return true;
  }

  #remove(id: EndpointId, reason: string): void {
    const endpoint = this.#endpoints.get(id);
    if (!endpoint) return;
    this.#endpoints.delete(id);
    this.#backpressure.release(id);
    this.#options.log.info('endpoint-removed', { endpoint: id, reason });
    // Calls in flight still end on their connections.
    endpoint.pool.drain();
  }
}

function isSameProcess(a: Registration, b: Registration): boolean {
  return a.address === b.address && a.startedAtMs === b.startedAtMs && a.service === b.service;
}
