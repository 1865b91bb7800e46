import { ConnectionPool } from '@dotterelpass/proxy';
import type { Refusal } from '@dotterelpass/proxy';
import { LeastInFlight, PowerOfTwo, RandomPolicy, RoundRobin } from '@dotterelpass/selection';
import type { BalancingPolicy } from '@dotterelpass/selection';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import type { Clock, EndpointSpec, Random, Service, ServiceId } from '@dotterelpass/values';
import type { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { LocalSlotSource } from './local.js';
import type { EndpointAccess } from './local.js';
import type { Members } from './gates.js';
import { LeavingEndpoints } from './leaving.js';
import { LoadExchange } from './loads.js';
import type { ExchangeDelegate, PeerSender, SharedService } from './loads.js';
import { readReport } from './report.js';
import type { LoadReport } from './report.js';
import { CreditSlotSource } from './credits.js';
import type { Slot, SlotOutcome, SlotRequest, SlotSource } from './slot.js';

export type { Slot, SlotOutcome, SlotRequest } from './slot.js';

/** Policies that the setting `--policy` accepts. */
export const policyNames = [
  'credits',
  'random',
  'round-robin',
  'least-in-flight',
  'power-of-two',
] as const;

export type PolicyName = (typeof policyNames)[number];

export interface BalancerOptions {
  readonly transport: PeerSender;
  readonly members: Members;
  readonly policy: PolicyName;
  readonly failureDomain: string;
  /** One-way delay to other failure domains, in milliseconds; 0 for domains without an entry. */
  readonly delays: ReadonlyMap<string, number>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Lists the services of the active configuration. */
  listServices(): Iterable<Service>;
}

/** Requests the load report of an endpoint, within the probe budget. */
export type ReportSource = (
  service: Service,
  endpoint: EndpointSpec,
) => Promise<LoadReport | undefined>;

/** Time between ticks while calls are queued or changes have not been sent to peers. */
const busyTickMs = 5;

/** Time between ticks otherwise; longer, because each tick wakes the process. */
const idleTickMs = 25;

/** Assigns slots on endpoints to calls. */
export class Balancer implements EndpointAccess, ExchangeDelegate {
  readonly leavingEndpoints: LeavingEndpoints;

  readonly #options: BalancerOptions;

  readonly #exchange: LoadExchange;

  readonly #pools = new Map<string, ConnectionPool>();

  readonly #sources = new Map<ServiceId, SlotSource>();

  readonly #creditSources = new Map<ServiceId, CreditSlotSource>();

  #requestReport: ReportSource | undefined;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: BalancerOptions) {
    this.#options = options;
    this.leavingEndpoints = new LeavingEndpoints(options.clock);
    const { transport: hub, members, clock, log, metrics } = options;
    this.#exchange = new LoadExchange(hub, members, clock, this);
    this.leavingEndpoints.watch((address, source) => {
      log.info('endpoint-leaving', { address, source });
      metrics.recordEvent('endpoint-leaving');
      if (source !== 'peer') this.#exchange.recordChange(true);
    });
    members.watch(() => this.#updateMembers());
  }

  /** @param source - Source of load reports, to check connections that may have gone silent. */
  setReportSource(source: ReportSource): void {
    this.#requestReport = source;
  }

  /** Starts to share credits with peers. */
  start(): void {
    const isBusy = this.queued > 0 || this.#exchange.hasUnsentChanges;
    this.#timer = setTimeout(
      () => {
        this.tick();
        this.start();
      },
      isBusy ? busyTickMs : idleTickMs,
    );
    this.#timer.unref();
  }

  /** Updates the services from the active configuration and performs periodic work that is due. */
  tick(): void {
    this.#updateServices();
    this.#creditSources.forEach((source) => source.tick());
    this.#exchange.sendIfDue();
  }

  get sharedServices(): ReadonlyMap<ServiceId, SharedService> {
    return this.#creditSources;
  }

  get leavingAddresses(): readonly string[] {
    return this.leavingEndpoints.recentAddresses;
  }

  receiveLeavingAddresses(addresses: readonly string[]): void {
    addresses.forEach((address) => this.leavingEndpoints.add(address, 'peer'));
  }

  /**
   * Checks whether calls reveal too little about the state of an endpoint, so that it must be
   * probed: it is leaving, or has not responded to a call recently.
   */
  isIdle(service: ServiceId, { id, address }: EndpointSpec): boolean {
    const source = this.#sources.get(service);
    return this.leavingEndpoints.has(address) || (source?.isIdle(id) ?? true);
  }

  /**
   * Records the outcome of a probe.
   *
   * @param service - The service.
   * @param endpoint - Its endpoint.
   * @param report - The report; undefined if the endpoint did not respond.
   * @param openedAt - Monotonic time at which the connection of the probe was opened.
   */
  recordProbe(
    service: ServiceId,
    endpoint: EndpointSpec,
    report: LoadReport | undefined,
    openedAt: number,
  ): void {
    this.#creditSources.get(service)?.recordProbe(endpoint.id, report);
    if (report?.draining) this.leavingEndpoints.add(endpoint.address, 'report');
    else if (report && this.leavingEndpoints.restore(endpoint.address, openedAt)) {
      this.#options.log.info('endpoint-back', { address: endpoint.address });
      this.#creditSources.get(service)?.health.beginSlowStart(endpoint.id);
    }
  }

  /** Records an endpoint that the platform lists as leaving. */
  recordLeavingAddress(address: string): void {
    this.leavingEndpoints.add(address, 'platform');
  }

  /** Number of calls that wait for a slot. */
  get queued(): number {
    return [...this.#creditSources.values()].reduce((sum, { queued }) => sum + queued, 0);
  }

  /**
   * Acquires a slot, waiting for one if necessary.
   *
   * @param request - The call and its constraints.
   * @returns The slot, or a refusal with the verdict `not-run`.
   */
  async acquire(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    return this.#updateService(request.service).acquire(request);
  }

  /** Closes all connections to endpoints and stops the periodic messages to peers. */
  close(): void {
    clearTimeout(this.#timer);
    this.#pools.forEach((pool) => pool.close());
  }

  isUsable({ state, address }: EndpointSpec): boolean {
    return state === 'active' && !this.leavingEndpoints.has(address);
  }

  recordOutcome({ address }: EndpointSpec, { report, leaving }: SlotOutcome): void {
    if (leaving) this.leavingEndpoints.add(address, 'closing');
    else if (readReport(report)?.draining) this.leavingEndpoints.add(address, 'report');
  }

  findPool(endpoint: EndpointSpec): ConnectionPool {
    const existing = this.#pools.get(endpoint.address);
    if (existing) return existing;
    const pool = new ConnectionPool(endpoint.address, this.#countConnections(endpoint), {
      warmConnections: endpoint.slots,
      readCallCount: () => this.#readCalls(endpoint),
    });
    this.#pools.set(endpoint.address, pool);
    return pool;
  }

  async #readCalls(endpoint: EndpointSpec): Promise<number | undefined> {
    const service = [...this.#options.listServices()].find(({ endpoints }) =>
      endpoints.some(({ address }) => address === endpoint.address),
    );
    return service && (await this.#requestReport?.(service, endpoint))?.calls;
  }

  /** The connection limit of an endpoint is divided among the live instances. */
  #countConnections({ connections }: EndpointSpec): number {
    return Math.max(1, Math.floor(connections / Math.max(1, this.#options.members.live.length)));
  }

  #updateServices(): void {
    const services = [...this.#options.listServices()];
    services.forEach((service) => this.#updateService(service));
    const names = new Set(services.map(({ name }) => name));
    [...this.#sources.keys()].forEach((name) => {
      if (names.has(name)) return;
      this.#sources.delete(name);
      this.#creditSources.delete(name);
    });
  }

  #updateService(service: Service): SlotSource {
    const existing = this.#sources.get(service.name);
    if (existing?.service === service) return existing;
    if (existing) {
      this.#restoreAdded(existing.service, service);
      existing.setService(service);
      return existing;
    }
    const source = this.#makeSource(service);
    this.#sources.set(service.name, source);
    return source;
  }

  /** Restores leaving endpoints that an operator has added again. */
  #restoreAdded(before: Service, after: Service): void {
    const activeBefore = new Set(before.endpoints.filter(isActive).map(({ address }) => address));
    after.endpoints.filter(isActive).forEach(({ address }) => {
      if (!activeBefore.has(address)) this.leavingEndpoints.remove(address);
    });
  }

  #makeSource(service: Service): SlotSource {
    const { random, clock, members, policy } = this.#options;
    const makeLocalSource = (balancingPolicy: BalancingPolicy) =>
      new LocalSlotSource(service, this, balancingPolicy);
    return match(policy)
      .with('random', () => makeLocalSource(new RandomPolicy(random)))
      .with('round-robin', () => makeLocalSource(new RoundRobin()))
      .with('least-in-flight', () => makeLocalSource(new LeastInFlight(random)))
      .with('power-of-two', () => makeLocalSource(new PowerOfTwo(random)))
      .with('credits', () => {
        const source = new CreditSlotSource(service, {
          self: members.self,
          access: this,
          transport: this.#exchange,
          clock,
          random,
          findDelayMs: (endpoint) => this.#findDelayMs(endpoint),
        });
        source.setMembers(members.live);
        this.#creditSources.set(service.name, source);
        return source;
      })
      .exhaustive();
  }

  #findDelayMs({ failureDomain }: EndpointSpec): number {
    if (failureDomain === this.#options.failureDomain) return 0;
    return this.#options.delays.get(failureDomain) ?? 0;
  }

  #updateMembers(): void {
    const { live } = this.#options.members;
    this.#creditSources.forEach((source) => source.setMembers(live));
    this.#sources.forEach(({ service }) => {
      service.endpoints.forEach((endpoint) => {
        const pool = this.#pools.get(endpoint.address);
        pool?.setMaxConnections(this.#countConnections(endpoint));
      });
    });
  }
}

function isActive({ state }: EndpointSpec): boolean {
  return state === 'active';
}
