import { request } from 'node:http';
import { ProbeBudget } from '@dotterelpass/measuring';
import type { ConsulClient } from '@dotterelpass/store';
import type { Metrics } from '@dotterelpass/telemetry';
import type { Clock, EndpointSpec, InstanceId, Service, ServiceId } from '@dotterelpass/values';
import { readReport } from './report.js';
import type { LoadReport } from './report.js';

export interface ProberOptions {
  readonly self: InstanceId;
  readonly platform: ConsulClient;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly maxInstances: number;
  /** Place of this instance among `maxInstances`; that in the platform's list when absent. */
  readonly fleetSlot: number | undefined;
  listServices(): Iterable<Service>;
  /** Whether calls have lately told enough of an endpoint. */
  isIdle(service: ServiceId, endpoint: EndpointSpec): boolean;
  /** @param openedAt - When the connection of the probe was opened. */
  recordProbe(
    service: ServiceId,
    endpoint: EndpointSpec,
    report: LoadReport | undefined,
    openedAt: number,
  ): void;
  /** Takes what the platform's list says of endpoints that are leaving, by address. */
  recordLeavingAddress(address: string): void;
}

const leaseMs = 10_000;
const renewMs = 3000;
const listMs = 1000;
const probeStepMs = 100;
const probeTimeoutMs = 1000;
const maxReportBytes = 16 * 1024;

/** Name under which entry instances register at the platform. */
const entryKind = 'dotterelpass-entry';

/** Probes idle and leaving endpoints within the budget. */
export class Prober {
  readonly #options: ProberOptions;

  readonly #budgets = new Map<ServiceId, ProbeBudget>();

  #session: string | undefined;

  #hasShare = false;

  #timers: readonly NodeJS.Timeout[] = [];

  constructor(options: ProberOptions) {
    this.#options = options;
    this.#hasShare = options.fleetSlot !== undefined && options.fleetSlot < options.maxInstances;
  }

  /** Begins to probe. */
  start(): void {
    void this.#renewLeases();
    void this.#readLists();
    this.#timers = [
      setInterval(() => this.#probeIdle(), probeStepMs),
      setInterval(() => {
        void this.#renewLeases();
      }, renewMs),
      setInterval(() => {
        void this.#readLists();
      }, listMs),
    ];
    this.#timers.forEach((timer) => timer.unref());
  }

  /** Ends the probes; the lease lapses by itself. */
  stop(): void {
    this.#timers.forEach((timer) => clearInterval(timer));
  }

  /**
   * Requests the load report of an endpoint on a new connection, within the budget.
   *
   * @param service - The service of the endpoint.
   * @param endpoint - The endpoint.
   * @returns The report; undefined when the budget forbids the probe or there is no answer.
   */
  async requestReport(service: Service, endpoint: EndpointSpec): Promise<LoadReport | undefined> {
    if (!this.#findBudget(service).acquire(endpoint.id)) return undefined;
    const openedAt = this.#options.clock.now();
    this.#options.metrics.recordEvent('probe', service.name);
    const text = await readProbe(endpoint.address);
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

  #findBudget({ name, limits }: Service): ProbeBudget {
    const { clock, maxInstances } = this.#options;
    const sizes = { probesPerSecond: limits.probesPerSecond, maxInstances };
    const known = this.#budgets.get(name);
    const budget = known ?? new ProbeBudget(clock, sizes);
    this.#budgets.set(name, budget);
    budget.setLimits(sizes);
    budget.setShare(this.#hasShare);
    return budget;
  }

  /** One session holds the leases of all services; it is renewed before it lapses. */
  async #renewLeases(): Promise<void> {
    const { platform, clock, self } = this.#options;
    // Counted from before the renewal was sent: the platform counts from later.
    const until = clock.now() + leaseMs;
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
      const held = await platform.acquireLease(key, this.#session, Buffer.from(self));
      if (held.isErr()) return;
      const budget = this.#findBudget(service);
      if (held.value) budget.holdLeaseUntil(until);
      else budget.endLease();
    }
  }

  #endSession(): void {
    this.#session = undefined;
    this.#budgets.forEach((budget) => budget.endLease());
  }

  async #readLists(): Promise<void> {
    const { platform, self, fleetSlot: slot, maxInstances } = this.#options;
    if (slot === undefined) {
      const listed = await platform.readInstances(entryKind);
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

async function readProbe(address: string): Promise<string | undefined> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const path = '/.well-known/load';
    // A connection of its own: what it reports is newer than its opening.
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
