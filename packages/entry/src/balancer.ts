import { ConnectionPool } from '@dotterelpass/proxy';
import type { Refusal } from '@dotterelpass/proxy';
import { LeastInFlight, PowerOfTwo, RandomPolicy, RoundRobin } from '@dotterelpass/selection';
import type { BalancingPolicy } from '@dotterelpass/selection';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import type { Clock, EndpointSpec, Random, Service, ServiceId } from '@dotterelpass/values';
import type { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { BaselineSource } from './baseline.js';
import type { EndpointAccess } from './baseline.js';
import type { Members } from './gates.js';
import { LeavingTable } from './leaving.js';
import { LoadExchange } from './loads.js';
import type { ExchangeSource, PeerSender, SharedService } from './loads.js';
import { readReport } from './report.js';
import type { LoadReport } from './report.js';
import { SharingSource } from './sharing.js';
import type { Slot, SlotOutcome, SlotRequest, SlotSource } from './source.js';

export type { Slot, SlotOutcome, SlotRequest } from './source.js';

/** Names of the policies that the setting `--policy` accepts. */
export const policyNames = [
  'credits',
  'random',
  'round-robin',
  'least-in-flight',
  'power-of-two',
] as const;

export type PolicyName = (typeof policyNames)[number];

export interface BalancerOptions {
  readonly hub: PeerSender;
  readonly members: Members;
  readonly policy: PolicyName;
  readonly failureDomain: string;
  /** One-way delay to other failure domains, in milliseconds; 0 for those left out. */
  readonly delays: ReadonlyMap<string, number>;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Gives the services in force. */
  listServices(): Iterable<Service>;
}

/** Asks an endpoint for its load, within the budget for measuring. */
export type ReportSource = (
  service: Service,
  endpoint: EndpointSpec,
) => Promise<LoadReport | undefined>;

/** Time between steps that only time makes due while there is something to do, in milliseconds. */
const stepMs = 5;

/** The same while no call waits and peers know all: each step wakes the process. */
const idleStepMs = 25;

/** Gives calls their slots. */
export class Balancer implements EndpointAccess, ExchangeSource {
  readonly endpointsLeaving: LeavingTable;

  readonly #options: BalancerOptions;

  readonly #exchange: LoadExchange;

  readonly #pools = new Map<string, ConnectionPool>();

  readonly #sources = new Map<ServiceId, SlotSource>();

  readonly #shared = new Map<ServiceId, SharingSource>();

  #requestReport: ReportSource | undefined;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: BalancerOptions) {
    this.#options = options;
    this.endpointsLeaving = new LeavingTable(options.clock);
    const { hub, members, clock, log, metrics } = options;
    this.#exchange = new LoadExchange(hub, members, clock, this);
    this.endpointsLeaving.watch((address, source) => {
      log.info('endpoint-leaving', { address, source });
      metrics.recordEvent('endpoint-leaving');
      if (source !== 'peer') this.#exchange.recordChange(true);
    });
    members.watch(() => this.#applyMembers());
  }

  /** @param source - Where a connection that may be silent is judged by. */
  setReportSource(source: ReportSource): void {
    this.#requestReport = source;
  }

  /** Begins to share credits with the peers. */
  start(): void {
    const isBusy = this.queued > 0 || this.#exchange.hasNews;
    this.#timer = setTimeout(
      () => {
        this.advance();
        this.start();
      },
      isBusy ? stepMs : idleStepMs,
    );
    this.#timer.unref();
  }

  /** Takes the configuration in force and does what time makes due. */
  advance(): void {
    this.#applyServices();
    this.#shared.forEach((source) => source.advance());
    this.#exchange.advance();
  }

  get shared(): ReadonlyMap<ServiceId, SharedService> {
    return this.#shared;
  }

  get leaving(): readonly string[] {
    return this.endpointsLeaving.news;
  }

  receiveLeaving(addresses: readonly string[]): void {
    addresses.forEach((address) => this.endpointsLeaving.add(address, 'peer'));
  }

  /**
   * Tells whether calls say too little of an endpoint: it is leaving, or nothing was answered
   * there lately.
   */
  isIdle(service: ServiceId, { id, address }: EndpointSpec): boolean {
    const source = this.#sources.get(service);
    return this.endpointsLeaving.has(address) || (source?.isIdle(id) ?? true);
  }

  /**
   * Takes the outcome of a probe.
   *
   * @param service - The service.
   * @param endpoint - Its endpoint.
   * @param report - The report; undefined when there was no answer.
   * @param openedAt - When the connection of the probe was opened.
   */
  recordProbe(
    service: ServiceId,
    endpoint: EndpointSpec,
    report: LoadReport | undefined,
    openedAt: number,
  ): void {
    this.#shared.get(service)?.recordProbe(endpoint.id, report);
    if (report?.draining) this.endpointsLeaving.add(endpoint.address, 'report');
    else if (report && this.endpointsLeaving.restore(endpoint.address, openedAt)) {
      this.#options.log.info('endpoint-back', { address: endpoint.address });
      this.#shared.get(service)?.health.beginSlowStart(endpoint.id);
    }
  }

  /** Takes the news that the platform lists an endpoint as leaving. */
  recordLeavingAddress(address: string): void {
    this.endpointsLeaving.add(address, 'platform');
  }

  /** Calls that wait for a slot. */
  get queued(): number {
    return [...this.#shared.values()].reduce((sum, { queued }) => sum + queued, 0);
  }

  /**
   * Waits for a slot.
   *
   * @param request - The call.
   * @returns The slot, or a refusal that says `not-run`.
   */
  async acquire(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    return this.#applyService(request.service).acquire(request);
  }

  /** Closes all connections to endpoints and ends the messages to peers. */
  close(): void {
    clearTimeout(this.#timer);
    this.#pools.forEach((pool) => pool.close());
  }

  isUsable({ state, address }: EndpointSpec): boolean {
    return state === 'active' && !this.endpointsLeaving.has(address);
  }

  recordOutcome({ address }: EndpointSpec, { report, leaving }: SlotOutcome): void {
    if (leaving) this.endpointsLeaving.add(address, 'closing');
    else if (readReport(report)?.draining) this.endpointsLeaving.add(address, 'report');
  }

  findPool(endpoint: EndpointSpec): ConnectionPool {
    const known = this.#pools.get(endpoint.address);
    if (known) return known;
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

  /** The endpoint's limit on connections holds for the fleet. */
  #countConnections({ connections }: EndpointSpec): number {
    return Math.max(1, Math.floor(connections / Math.max(1, this.#options.members.live.length)));
  }

  #applyServices(): void {
    const services = [...this.#options.listServices()];
    services.forEach((service) => this.#applyService(service));
    const names = new Set(services.map(({ name }) => name));
    [...this.#sources.keys()].forEach((name) => {
      if (names.has(name)) return;
      this.#sources.delete(name);
      this.#shared.delete(name);
    });
  }

  #applyService(service: Service): SlotSource {
    const known = this.#sources.get(service.name);
    if (known?.service === service) return known;
    if (known) {
      this.#restoreAdded(known.service, service);
      known.setService(service);
      return known;
    }
    const source = this.#makeSource(service);
    this.#sources.set(service.name, source);
    return source;
  }

  /** An operator's add brings a leaving endpoint back. */
  #restoreAdded(before: Service, after: Service): void {
    const active = new Set(before.endpoints.filter(isActive).map(({ address }) => address));
    after.endpoints.filter(isActive).forEach(({ address }) => {
      if (!active.has(address)) this.endpointsLeaving.remove(address);
    });
  }

  #makeSource(service: Service): SlotSource {
    const { random, clock, members, policy } = this.#options;
    const makeBaseline = (chosen: BalancingPolicy) => new BaselineSource(service, this, chosen);
    return match(policy)
      .with('random', () => makeBaseline(new RandomPolicy(random)))
      .with('round-robin', () => makeBaseline(new RoundRobin()))
      .with('least-in-flight', () => makeBaseline(new LeastInFlight(random)))
      .with('power-of-two', () => makeBaseline(new PowerOfTwo(random)))
      .with('credits', () => {
        const source = new SharingSource(service, {
          self: members.self,
          access: this,
          market: this.#exchange,
          clock,
          random,
          findDelayMs: (endpoint) => this.#findDelayMs(endpoint),
        });
        source.setMembers(members.live);
        this.#shared.set(service.name, source);
        return source;
      })
      .exhaustive();
  }

  #findDelayMs({ failureDomain }: EndpointSpec): number {
    if (failureDomain === this.#options.failureDomain) return 0;
    return this.#options.delays.get(failureDomain) ?? 0;
  }

  #applyMembers(): void {
    const { live } = this.#options.members;
    this.#shared.forEach((source) => source.setMembers(live));
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
