import type { EvacuatedDomain } from '@dotterelpass/evacuation';
import { CallerServer } from '@dotterelpass/proxy';
import { RetryBudget } from '@dotterelpass/retries';
import { defaultQuotaBounds } from '@dotterelpass/quota';
import type { FleetLimiter, QuotaBounds } from '@dotterelpass/quota';
import { CrashTable } from '@dotterelpass/suspects';
import type { EndpointCrash, RequestBan } from '@dotterelpass/suspects';
import type { Logger, LogFields, Metrics } from '@dotterelpass/telemetry';
import type { Clock, FailureDomain, InstanceId, Random, ServiceId } from '@dotterelpass/values';
import { CallAdmission } from './admission.js';
import { BackpressureRecorder } from './backpressure.js';
import { CallSender } from './sender.js';
import { CallHandler } from './handler.js';
import { CallHandover } from './handover.js';
import { CallerIdentifier } from './identity.js';
import { MarkSigner } from './mark.js';
import type { PlannedStop } from './handler.js';
import type { CallerBounds, GatewayConfig, Registration } from './catalog.js';
import { CrashMonitor } from './crashes.js';
import type { HeaderCodec } from './codec.js';
import { CallerTimeouts } from './timeouts.js';
import { Picker } from './picker.js';
import { EndpointPreference } from './preference.js';
import { Prober } from './prober.js';
import { RecentFailures } from './failures.js';
import { LimitedSender } from './quota.js';
import { ReachMonitor } from './reach.js';
import { EndpointRegistry } from './registry.js';
import type { AskingEndpoint, ColdEndpoint } from './summary.js';
import { CallRecorder } from './recorder.js';
import { RetryPolicy } from './retries.js';
import { RouteTable } from './routes.js';
import { WarmupGate } from './gate.js';
import { LatencyEstimator } from './latency.js';

/**
 * Limits that apply to all instances together, and by how much shared rate limits may be exceeded;
 * the latter have defaults.
 */
export interface FleetLimits extends Partial<QuotaBounds> {
  /**
   * Retry budget per service: the maximum ratio of extra attempts (retries and hedged requests) to
   * calls, and the number of extra attempts that are allowed besides.
   */
  readonly retryShare: number;
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
  /** Maximum probes a second to each endpoint. */
  readonly probesPerSecond: number;
}

export interface GatewayOptions {
  readonly headerCodec: HeaderCodec;
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomain;
  readonly limits: FleetLimits;
  readonly limiter: FleetLimiter;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Called when a configuration is in force. */
  onConfig(config: GatewayConfig): void;
  /** Called when an endpoint has crashed while it ran a request that is a suspect because of it. */
  onSuspect(fingerprint: string, crash: EndpointCrash): void;
  /** Called when a request is banned because endpoints seem to have crashed while running it. */
  onBan(ban: RequestBan): void;
}

/** Share of a fleet-wide limit that is used, since instances do not count at the same moments. */
const limitSafetyFactor = 0.85;

/** Share of the connection limit of endpoints that is divided between the instances. */
const connectionShare = 0.9;

const initialBounds: CallerBounds = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 16 * 1024 * 1024,
  headersTimeoutMs: 10_000,
  idleMs: 60_000,
};

/** Sends calls by route to registered endpoints. Composes the components of one instance. */
export class Gateway {
  readonly #options: GatewayOptions;

  readonly #routes = new RouteTable();

  readonly #registry: EndpointRegistry;

  readonly #budget: RetryBudget;

  readonly #prober: Prober;

  readonly #reach: ReachMonitor;

  readonly #handover: CallHandover;

  readonly #markSigner = new MarkSigner();

  readonly #admission: CallAdmission;

  readonly #crashes: CrashTable;

  readonly #callerTimeouts = new CallerTimeouts();

  readonly #latency = new LatencyEstimator();

  readonly #recentFailures = new RecentFailures();

  readonly #callers: CallerServer;

  #limits: FleetLimits;

  #config: GatewayConfig | undefined;

  #fleetSize = 1;

  /** Monotonic time, in milliseconds. */
  readonly #startedAt: number;

  #stop: PlannedStop | undefined;

  /** @param expectedInstances - Assumed fleet size until the number of instances is known. */
  constructor(options: GatewayOptions, expectedInstances: number) {
    this.#options = options;
    this.#fleetSize = Math.max(1, expectedInstances);
    this.#startedAt = options.clock.now();
    const { clock, random, log, metrics, headerCodec, limits } = options;
    this.#limits = limits;
    this.#crashes = new CrashTable(clock);
    const crashMonitor = new CrashMonitor({ ...options, table: this.#crashes });
    this.#budget = new RetryBudget(clock, {
      share: limits.retryShare * limitSafetyFactor,
      allowance: this.#calculateAllowance(),
      windowMs: limits.retryWindowMs,
    });
    setTimeout(
      () => this.#budget.setAllowance(this.#calculateAllowance()),
      limits.retryWindowMs,
    ).unref();
    const backpressure = new BackpressureRecorder({ headerCodec, log, metrics });
    const warmup = new WarmupGate({
      limiter: options.limiter,
      log,
      metrics,
      findRate: (service) => this.#config?.services.get(service)?.warmupRatePerSecond,
    });
    this.#registry = new EndpointRegistry({
      clock,
      random,
      log,
      getFleetSize: () => this.#fleetSize,
      calculateConnectionLimit: (service) => this.#calculateConnectionLimit(service),
      onListed: (endpoint) => warmup.reportChange(endpoint, 'registration'),
      onConnectionLost: (endpoint) => crashMonitor.recordLostConnection(endpoint),
      onRestart: (endpoint) => crashMonitor.recordRestart(endpoint),
    });
    this.#prober = new Prober({
      headerCodec,
      backpressure,
      warmup,
      metrics,
      getMaxProbesPerSecond: () =>
        (this.#limits.probesPerSecond * limitSafetyFactor * this.#registry.size) / this.#fleetSize,
      findHealthPath: (service) => this.#config?.services.get(service)?.healthPath,
      onLateReport: (service) => this.#admission.notifyCapacity(service),
    });
    const picker = new Picker({
      preference: new EndpointPreference(options.instance, options.failureDomain),
      random,
      latency: this.#latency,
      listEndpoints: (service) => this.#registry.listReady(service),
      getFleetSize: () => this.#fleetSize,
      probeEndpoint: (endpoint) => this.#prober.probe(endpoint),
    });
    this.#admission = new CallAdmission({ clock, latency: this.#latency, picker });
    const sender = new CallSender({
      headerCodec,
      admission: this.#admission,
      backpressure,
      warmup,
      picker,
      latency: this.#latency,
      findEvacuation: (service) => this.#registry.findEvacuation(service),
      retries: new RetryPolicy({ budget: this.#budget, latency: this.#latency, metrics }),
      crashes: crashMonitor,
    });
    this.#reach = new ReachMonitor({
      clock,
      log,
      metrics,
      listEndpoints: (service) => this.#registry.listReady(service),
      probeEndpoint: (endpoint) => this.#prober.probe(endpoint),
    });
    this.#handover = new CallHandover({
      instance: options.instance,
      headerCodec,
      sender,
      signer: this.#markSigner,
      reach: this.#reach,
      clock,
      random,
      metrics,
      getConfigVersion: () => this.version,
    });
    const recentFailures = this.#recentFailures;
    const recorder = new CallRecorder({ headerCodec, recentFailures, log, metrics });
    const handler = new CallHandler({
      headerCodec,
      routes: this.#routes,
      sender: new LimitedSender({
        sender: this.#handover,
        limiter: options.limiter,
        getConfig: () => this.#config,
        getQuotaWindowMs: () => this.#limits.quotaWindowMs ?? defaultQuotaBounds.quotaWindowMs,
      }),
      identifier: new CallerIdentifier({
        headerCodec,
        signer: this.#markSigner,
        metrics,
        getWorkspaces: () => this.#config?.workspaces,
      }),
      crashes: this.#crashes,
      callerTimeouts: this.#callerTimeouts,
      random,
      recorder,
      latency: this.#latency,
      getStop: () => this.#stop,
      readCallerBounds: () => this.#config?.bounds ?? initialBounds,
    });
    this.#callers = new CallerServer(
      (call) =>
        handler.handleCall(call).catch((error: Error) => {
          log.error('call-aborted', { requestId: call.id, reason: error.stack });
          throw error;
        }),
      { idleMs: initialBounds.idleMs, headersTimeoutMs: initialBounds.headersTimeoutMs },
      (refusal, request) => recorder.recordRefusal(refusal, request),
    );
  }

  get callers(): CallerServer {
    return this.#callers;
  }

  /** Version of the configuration in use; -1 before the first. */
  get version(): number {
    return this.#routes.version;
  }

  get config(): GatewayConfig | undefined {
    return this.#config;
  }

  get endpointCount(): number {
    return this.#registry.size;
  }

  /**
   * Replaces the configuration, unless its version is not newer than that of the present one.
   *
   * @param config - The configuration.
   * @param source - `store` or the id of the sending instance, for the log.
   */
  setConfig(config: GatewayConfig, source: string): void {
    const { version: previousVersion, names: previousNames } = this.#routes;
    if (!this.#routes.setConfig(config)) return;
    this.#config = config;
    this.#options.onConfig(config);
    this.#callers.setLimits(config.bounds);
    this.#registry.updateConnectionLimits();
    const { names } = this.#routes;
    if (names !== previousNames) {
      this.#callerTimeouts.retainRoutes(names);
      this.#latency.retainRoutes(names);
    }
    const { version, routes, services, workspaces } = config;
    this.#options.log.info('configuration-in-force', {
      version,
      before: previousVersion,
      source,
      routes: routes.length,
      services: services.size,
      ...(workspaces ? { workspaces: workspaces.size } : {}),
    });
  }

  /** The services whose endpoints this instance could not reach at their last call. */
  get servicesOutOfReach(): readonly ServiceId[] {
    return this.#reach.listOutOfReach();
  }

  /** See {@link EndpointRegistry.listAsking}. */
  get askingEndpoints(): readonly AskingEndpoint[] {
    return this.#registry.listAsking();
  }

  /** The cold endpoints of the services that limit what these get. */
  get coldEndpoints(): readonly ColdEndpoint[] {
    const hasLimit = ({ service }: ColdEndpoint) =>
      this.#config?.services.get(service)?.warmupRatePerSecond !== undefined;
    return this.#registry.listCold().filter(hasLimit);
  }

  /**
   * Sets the other instances, and the key that all instances share.
   *
   * @param peerKey - Signs the calls that instances hand over to each other. It may change.
   * @param addresses - IP addresses and ports for callers.
   */
  setPeers(peerKey: string, addresses: ReadonlyMap<InstanceId, string>): void {
    this.#markSigner.setPeerKey(peerKey);
    this.#handover.setPeers(addresses);
  }

  /** @returns The log fields of a request that is among the last failures on this instance. */
  findFailure(id: string): LogFields | undefined {
    return this.#recentFailures.find(id);
  }

  /** @returns The state of this instance as JSON, for operators. */
  readStatus(): LogFields {
    const services = [...(this.#config?.services.keys() ?? [])];
    return {
      configVersion: this.version,
      routes: this.#config?.routes ?? [],
      fleetSize: this.#fleetSize,
      callsInFlight: this.#callers.activeCalls,
      services: services.map((service) => ({
        service,
        callsWaiting: this.#admission.countWaiting(service),
        waitingByWorkspace: this.#admission.listDemand(service),
        retryRoom: this.#budget.allowsExtraAttempt([service]),
        endpoints: this.#registry.listReady(service).map((endpoint) => endpoint.readStatus()),
      })),
    };
  }

  /** See {@link EndpointRegistry.setRegistrations}. */
  setRegistrations(registrations: readonly Registration[]): void {
    this.#registry.setRegistrations(registrations);
  }

  /**
   * Replaces the evacuated failure domains. Waiting calls look for another endpoint at once, or are
   * refused.
   */
  setEvacuations(evacuated: readonly EvacuatedDomain[]): void {
    this.#registry.setEvacuated(new Set(evacuated.map(({ domain }) => domain)));
    this.#config?.services.forEach((_, service) => this.#admission.notifyCapacity(service));
  }

  /** @param size - Number of instances that share the limits, including this one. */
  setFleetSize(size: number): void {
    if (size === this.#fleetSize || size < 1) return;
    this.#fleetSize = size;
    this.#budget.setAllowance(this.#calculateAllowance());
    this.#registry.updateConnectionLimits();
    this.#options.log.info('fleet-size', { size });
  }

  /** @param limits - New limits; a change of the retry window has no effect. */
  setLimits(limits: FleetLimits): void {
    this.#limits = limits;
    this.#budget.setShare(limits.retryShare * limitSafetyFactor);
    this.#budget.setAllowance(this.#calculateAllowance());
  }

  /** See {@link CrashTable.acceptBan}. */
  acceptBan(ban: RequestBan): boolean {
    const { fingerprint } = ban;
    const wasBanned = this.#crashes.isBanned(fingerprint);
    const isBanned = this.#crashes.acceptBan(ban);
    const { log } = this.#options;
    if (!isBanned) log.warn('ban-refuted', { ...ban });
    else if (!wasBanned) log.warn('request-banned', { ...ban, source: 'fleet' });
    return isBanned;
  }

  /** See {@link CrashTable.liftBan}. */
  liftBan(ban: RequestBan): void {
    if (this.#crashes.liftBan(ban)) this.#options.log.warn('ban-lifted', { ...ban });
  }

  /**
   * Starts to drain: callers are asked to close their connections, and calls that could be cut off
   * by the stop are refused.
   *
   * @param stop - The stop.
   */
  startDraining(stop: PlannedStop): void {
    this.#stop = stop;
    this.#callers.startDraining();
  }

  close(): void {
    this.#registry.close();
    this.#handover.close();
  }

  /**
   * Calculates the share of this instance in the retry allowance of the fleet. It is smaller during
   * the first window: a restarted instance no longer knows what it has used before.
   */
  #calculateAllowance(): number {
    const { retryAllowance, retryWindowMs } = this.#limits;
    const isFirstWindow = this.#options.clock.now() - this.#startedAt < retryWindowMs;
    const share = isFirstWindow ? 1 - limitSafetyFactor : limitSafetyFactor;
    return (retryAllowance * share) / this.#fleetSize;
  }

  #calculateConnectionLimit(service: ServiceId): number | undefined {
    const spec = this.#config?.services.get(service);
    if (!spec) return undefined;
    return Math.max(2, Math.floor((spec.maxConnections * connectionShare) / this.#fleetSize));
  }
}
