import { request } from 'node:http';
import { ProbeBudget } from '@dotterelpass/measuring';
import type { ConsulClient } from '@dotterelpass/store';
import type { Metrics } from '@dotterelpass/telemetry';
import type { Clock, EndpointSpec, InstanceId, Service, ServiceId } from '@dotterelpass/values';
import { readReport } from './report.js';
import type { LoadReport } from './report.js';

/** Dependencies and settings of a `Prober`. */
export interface ProberOptions {
  readonly self: InstanceId;
  readonly platform: ConsulClient;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly maxInstances: number;
  /** Rank of this instance among `maxInstances`; read from the platform's registry if absent. */
  readonly fleetSlot: number | undefined;
  listServices(): Iterable<Service>;
  /** Whether calls reveal too little about an endpoint, so that it must be probed. */
  isIdle(service: ServiceId, endpoint: EndpointSpec): boolean;
  /** @param openedAt - Monotonic time at which the connection of the probe was opened. */
  recordProbe(
    service: ServiceId,
    endpoint: EndpointSpec,
    report: LoadReport | undefined,
    openedAt: number,
  ): void;
  /** Records an endpoint, by address, that the platform's registry lists as leaving. */
  recordLeavingAddress(address: string): void;
}

const leaseMs = 10_000;
const renewIntervalMs = 3000;
const listIntervalMs = 1000;
const probeIntervalMs = 100;
const probeTimeoutMs = 1000;
const maxReportBytes = 16 * 1024;

/** Service name under which entry instances are registered at the platform. */
const entryServiceName = 'dotterelpass-entry';

/** Sends health probes to idle and leaving endpoints, within the probe budget. */
export class Prober {
  readonly #options: ProberOptions;

  readonly #budgets = new Map<ServiceId, ProbeBudget>();

  #session: string | undefined;

  /** Whether this instance has a fixed share of the probe budget. */
  #hasShare = false;

  #timers: readonly NodeJS.Timeout[] = [];

  constructor(options: ProberOptions) {
    this.#options = options;
    this.#hasShare = options.fleetSlot !== undefined && options.fleetSlot < options.maxInstances;
  }

  /** Starts probing. */
  start(): void {
    void this.#renewLeases();
    void this.#readRegistrations();
    this.#timers = [
      setInterval(() => this.#probeIdle(), probeIntervalMs),
      setInterval(() => {
        void this.#renewLeases();
      }, renewIntervalMs),
      setInterval(() => {
        void this.#readRegistrations();
      }, listIntervalMs),
    ];
    this.#timers.forEach((timer) => timer.unref());
  }

  /** Stops probing; the leases expire by themselves. */
  stop(): void {
    this.#timers.forEach((timer) => clearInterval(timer));
  }

  /**
   * Requests the load report of an endpoint on a new connection, within the budget.
   *
   * @param service - The service of the endpoint.
   * @param endpoint - The endpoint.
   * @returns The report; undefined if the budget is exhausted or the endpoint does not respond.
   */
  async requestReport(service: Service, endpoint: EndpointSpec): Promise<LoadReport | undefined> {
    if (!this.#findBudget(service).acquire(endpoint.id)) return undefined;
    const openedAt = this.#options.clock.now();
    this.#options.metrics.recordEvent('probe', service.name);
    const text = await fetchReport(endpoint.address);
    const report = readReport(text);
    this.#options.recordProbe(service.name, endpoint, report, openedAt);
    return report;
  }

  #probeIdle(): void {
    for (const service of this.#options.listServices()) {
      for (const endpoint of service.endpoints) {
        const isStopped = endpoint.state === 'stopped';
        if (!isStopped && this.#options.isIdle(service.name, endpoint)) {
          void this.requestReport(service, endpoint);
        }
      }
    }
  }

  #findBudget({ name, limits: serviceLimits }: Service): ProbeBudget {
    const { clock, maxInstances } = this.#options;
    const limits = { probesPerSecond: serviceLimits.probesPerSecond, maxInstances };
    const existing = this.#budgets.get(name);
    const budget = existing ?? new ProbeBudget(clock, limits);
    this.#budgets.set(name, budget);
    budget.setLimits(limits);
    budget.setShare(this.#hasShare);
    return budget;
  }

  /** One session holds the leases of all services; it is renewed before it expires. */
  async #renewLeases(): Promise<void> {
    const { platform, clock, self } = this.#options;
    // Taken before the renewal is sent, so that the lease ends here before it ends on the platform.
    const expiresAt = clock.now() + leaseMs;
    if (this.#session !== undefined) {
      const renewed = await platform.renewSession(this.#session);
      if (renewed.isErr()) return;
      if (!renewed.value) this.#endSession();
    }
    if (this.#session === undefined) {
      const opened = await platform.createSession(leaseMs);
      if (opened.isErr()) return;
      this.#session = opened.value;
    }
    for (const service of this.#options.listServices()) {
      const key = `lease/measure/${service.name}`;
      const acquired = await platform.acquireLease(key, this.#session, Buffer.from(self));
      if (acquired.isErr()) return;
      const budget = this.#findBudget(service);
      if (acquired.value) budget.holdLeaseUntil(expiresAt);
      else budget.endLease();
    }
  }

  #endSession(): void {
    this.#session = undefined;
    this.#budgets.forEach((budget) => budget.endLease());
  }

  async #readRegistrations(): Promise<void> {
    const { platform, self, fleetSlot, maxInstances } = this.#options;
    if (fleetSlot === undefined) {
      const listed = await platform.readInstances(entryServiceName);
      if (listed.isOk()) {
        const rank = listed.value
          .map(({ id }) => id)
          .sort()
          .indexOf(self);
        this.#hasShare = rank >= 0 && rank < maxInstances;
      }
    }
    for (const { name } of this.#options.listServices()) {
      const listed = await platform.readInstances(name);
      if (listed.isErr()) return;
      listed.value
        .filter(({ leaving }) => leaving)
        .forEach(({ address, port }) => this.#options.recordLeavingAddress(`${address}:${port}`));
    }
  }
}

async function fetchReport(address: string): Promise<string | undefined> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const path = '/.well-known/load';
    // A new connection guarantees that the report is newer than `openedAt`.
    const outgoing = request({ host, port: Number(port), path, agent: false });
    const timer = setTimeout(() => outgoing.destroy(), probeTimeoutMs);
    const finish = (text?: string) => {
      clearTimeout(timer);
      resolve(text);
    };
    outgoing.on('error', () => finish());
    outgoing.on('response', (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        text += chunk;
        if (text.length > maxReportBytes) outgoing.destroy();
      });
      response.on('error', () => finish());
      response.on('end', () => finish(response.statusCode === 200 ? text : undefined));
    });
    outgoing.end();
  });
}
