import { CallerServer } from '@dotterelpass/proxy';
import { RetryBudget } from '@dotterelpass/retries';
import type { Logger, LogFields, Metrics } from '@dotterelpass/telemetry';
import type { Clock, FailureDomain, Random, ServiceId } from '@dotterelpass/values';
import { Attempts } from './attempts.js';
import type { Call } from './call.js';
import { CallPath } from './calls.js';
import type { CallerBounds, GatewayConfig, Registration } from './catalog.js';
import { CrashTable } from './crashes.js';
import type { HeaderCodec } from './dialect.js';
import type { Endpoint } from './endpoint.js';
import { PatienceTable } from './patience.js';
import { Picker } from './picker.js';
import { Prober } from './prober.js';
import { RecentFailures } from './recent.js';
import { Registry } from './registry.js';
import { RouteTable } from './routes.js';
import { WorkTimes } from './worktimes.js';

/** What the fleet may do together. */
export interface FleetLimits {
  /** Largest share of extra sendings in the calls of a service, and those allowed besides. */
  readonly retryShare: number;
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
  /** Probes a second for each endpoint. */
  readonly probesPerSecond: number;
}

export interface GatewayOptions {
  readonly headerCodec: HeaderCodec;
  readonly failureDomain: FailureDomain;
  readonly limits: FleetLimits;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Called when an endpoint seems to have crashed under a request that is now banned. */
  onBan(fingerprint: string): void;
}

/** Part of a fleet's limit that instances use, since they count at different moments. */
const limitShare = 0.85;

/**
 * Part of the allowance that is used: an instance that restarts has forgotten what it used, and
 * may use it again within the window.
 */
const allowanceShare = 0.45;

/** Part of the endpoints' connections that is divided between the instances. */
const connectionShare = 0.9;

const initialBounds: CallerBounds = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 16 * 1024 * 1024,
  headersTimeoutMs: 10_000,
  idleMs: 60_000,
};

/** Calls by route to registered endpoints: the parts of one instance, put together. */
export class Gateway {
  readonly #options: GatewayOptions;

  readonly #routes = new RouteTable();

  readonly #registry: Registry;

  readonly #budget: RetryBudget;

  readonly #prober: Prober;

  readonly #crashes: CrashTable;

  readonly #patience = new PatienceTable();

  readonly #work = new WorkTimes();

  readonly #recent = new RecentFailures();

  readonly #callers: CallerServer;

  #limits: FleetLimits;

  #catalog: GatewayConfig | undefined;

  #fleetSize = 1;

  /** @param expectedInstances - Instances that share the limits until the fleet is known. */
  constructor(options: GatewayOptions, expectedInstances: number) {
    this.#options = options;
    this.#fleetSize = Math.max(1, expectedInstances);
    const { clock, random, log, metrics, headerCodec: dialect, limits } = options;
    this.#limits = limits;
    this.#crashes = new CrashTable(clock, log);
    this.#budget = new RetryBudget(clock, {
      share: limits.retryShare * limitShare,
      allowance: this.#findAllowance(),
      windowMs: limits.retryWindowMs,
    });
    this.#registry = new Registry({
      clock,
      log,
      countConnections: (service) => this.#countConnections(service),
    });
    this.#prober = new Prober({
      dialect,
      metrics,
      perSecond: () =>
        (this.#limits.probesPerSecond * limitShare * this.#registry.size) / this.#fleetSize,
      findHealthPath: (service) => this.#catalog?.services.get(service)?.healthPath,
    });
    const picker = new Picker({
      failureDomain: options.failureDomain,
      random,
      work: this.#work,
      list: (service) => this.#registry.list(service),
      probe: (endpoint) => this.#prober.probe(endpoint),
    });
    const attempts = new Attempts({
      dialect,
      picker,
      work: this.#work,
      budget: this.#budget,
      metrics,
      onReset: (call, endpoint) => {
        void this.#checkCrash(call, endpoint);
      },
    });
    const path = new CallPath({
      dialect,
      routes: this.#routes,
      attempts,
      crashes: this.#crashes,
      patience: this.#patience,
      recent: this.#recent,
      log,
      metrics,
      bounds: () => this.#catalog?.bounds ?? initialBounds,
    });
    this.#callers = new CallerServer((call) => path.serve(call), {
      idleMs: initialBounds.idleMs,
      headersTimeoutMs: initialBounds.headersTimeoutMs,
    });
  }

  get callers(): CallerServer {
    return this.#callers;
  }

  /** Version of the configuration in force; -1 before the first. */
  get version(): number {
    return this.#routes.version;
  }

  get catalog(): GatewayConfig | undefined {
    return this.#catalog;
  }

  get endpoints(): number {
    return this.#registry.size;
  }

  /**
   * Puts a configuration in force, unless it is older than the present one.
   *
   * @param catalog - The configuration.
   * @param source - Where it came from, for the log.
   */
  applyCatalog(catalog: GatewayConfig, source: string): void {
    const before = this.#routes.version;
    if (!this.#routes.apply(catalog)) return;
    this.#catalog = catalog;
    this.#callers.setLimits(catalog.bounds);
    const names = new Set(catalog.routes.map(({ name }) => name));
    this.#patience.retain(names);
    this.#work.retain(names);
    const { version, routes, services } = catalog;
    this.#options.log.info('configuration-in-force', {
      version,
      before,
      source,
      routes: routes.length,
      services: services.size,
    });
  }

  /** @returns How a request ended that failed here lately. */
  findFailure(id: string): LogFields | undefined {
    return this.#recent.find(id);
  }

  /** @returns What an operator may want to know of this instance, as JSON. */
  readStatus(): LogFields {
    const services = [...(this.#catalog?.services.keys() ?? [])];
    return {
      configVersion: this.version,
      routes: this.#catalog?.routes ?? [],
      fleetSize: this.#fleetSize,
      callsInFlight: this.#callers.active,
      services: services.map((service) => ({
        service,
        retryRoom: this.#budget.allowsExtraAttempt([service]),
        endpoints: this.#registry.list(service).map((endpoint) => endpoint.readStatus()),
      })),
    };
  }

  /** See {@link Registry.apply}. */
  applyRegistrations(registrations: readonly Registration[]): void {
    this.#registry.apply(registrations);
  }

  /** @param size - Instances that share the fleet's limits, this one included. */
  setFleetSize(size: number): void {
    if (size === this.#fleetSize || size < 1) return;
    this.#fleetSize = size;
    this.#budget.setAllowance(this.#findAllowance());
    this.#options.log.info('fleet-size', { size });
  }

  /** @param limits - Limits from now on; the length of the retry window stays. */
  setLimits(limits: FleetLimits): void {
    this.#limits = limits;
    this.#budget.setShare(limits.retryShare * limitShare);
    this.#budget.setAllowance(this.#findAllowance());
  }

  /** Takes a ban that another instance decided on. */
  ban(fingerprint: string): void {
    this.#crashes.ban(fingerprint, 'fleet');
  }

  close(): void {
    this.#registry.close();
  }

  #findAllowance(): number {
    return (this.#limits.retryAllowance * allowanceShare) / this.#fleetSize;
  }

  #countConnections(service: ServiceId): number | undefined {
    const spec = this.#catalog?.services.get(service);
    if (!spec) return undefined;
    return Math.max(2, Math.floor((spec.maxConnections * connectionShare) / this.#fleetSize));
  }

  /** A connection that broke counts as a crash when the endpoint refuses new ones. */
  async #checkCrash(call: Call, endpoint: Endpoint): Promise<void> {
    if (!(await endpoint.pool.isRefusingConnections())) return;
    endpoint.recordUnreachable();
    this.#options.log.warn('endpoint-crashed', {
      endpoint: endpoint.registration.id,
      requestId: call.id,
      fingerprint: call.fingerprint,
    });
    this.#crashes.record(call.fingerprint);
    if (this.#crashes.isBanned(call.fingerprint)) this.#options.onBan(call.fingerprint);
  }
}
