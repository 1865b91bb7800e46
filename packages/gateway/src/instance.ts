import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { Fleet } from '@dotterelpass/fleet';
import type { Peer } from '@dotterelpass/fleet';
import type { KeyValueStore } from '@dotterelpass/store';
import { countDroppedLines } from '@dotterelpass/telemetry';
import type { Logger, LogFields, Metrics } from '@dotterelpass/telemetry';
import type { Clock, FailureDomain, Incarnation, InstanceId, Random } from '@dotterelpass/values';
import type { HeaderCodec } from './codec.js';
import { StoreReplica } from './replica.js';
import type { StoreSchema } from './replica.js';
import { Gateway } from './gateway.js';
import { FleetQuota } from './limiter.js';
import type { FleetLimits } from './gateway.js';
import { OperatorServer } from './operator.js';
import type { SettingsTracker } from './settings.js';
import type { InstanceSummary } from './summary.js';
import { PeerSync } from './sync.js';

/** Identity, addresses and dependencies of an instance. */
export interface InstanceOptions {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly failureDomain: FailureDomain;
  readonly ip: string;
  /** IP address and port for callers. */
  readonly callerAddress: string;
  /** IP address and port of the readiness check. The operator port uses the same IP address. */
  readonly readinessAddress: string;
  readonly peerPort: number;
  /** Port for operator queries and metrics; undefined disables them. */
  readonly operatorPort: number | undefined;
  /** Grace period between the stop signal and the end of the process, in milliseconds. */
  readonly graceMs: number;
  /** Whether the whole fleet starts for the first time, so that no caller waits for it yet. */
  readonly isFirstStart: boolean;
  readonly limits: FleetLimits;
  readonly settings: SettingsTracker;
  readonly store: KeyValueStore;
  readonly schema: StoreSchema;
  readonly headerCodec: HeaderCodec;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Assumed fleet size until the number of instances has been read from the store. */
const expectedInstances = 8;

/**
 * Maximum time for which an instance waits for the state of another one when the fleet starts for
 * the first time. The reading of the whole state by each instance is the largest part of the calls
 * to the store.
 */
const firstStartWaitMs = 3000;

/** Type of the messages that tell of a ban, or that it has been lifted. */
const banMessageType = 'ban';

/** Time between two log lines that name what an instance waits for before it is ready. */
const startReportIntervalMs = 2000;

/** Share of the grace period after which calls are refused that could outlast the stop. */
const lateShare = 0.3;

/** Share of the grace period in which connections are still accepted. */
const drainShare = 0.6;

/** Share of the grace period after which calls in flight are aborted. */
const closeShare = 0.95;

/** A load balancer instance: gateway, store replica, peers, readiness check and operator server. */
export class Instance {
  readonly #options: InstanceOptions;

  readonly #gateway: Gateway;

  readonly #quota: FleetQuota;

  readonly #replica: StoreReplica;

  readonly #fleet: Fleet;

  readonly #peerSync: PeerSync;

  readonly #readiness: Server;

  readonly #operator: OperatorServer;

  /** The end of the stop, once that has begun. */
  #stopped: Promise<void> | undefined;

  #wasReady = false;

  constructor(options: InstanceOptions) {
    this.#options = options;
    const { instance, incarnation, failureDomain, ip, peerPort, store, schema } = options;
    const { clock, random, log, metrics } = options;
    this.#quota = new FleetQuota({ ...options, bounds: options.limits });
    const quota = this.#quota;
    this.#gateway = new Gateway(
      {
        ...options,
        limiter: quota.limiter,
        onConfig: (config) => quota.setConfig(config),
        onSuspect: (fingerprint, crash) => this.#fleet.reportCrash(fingerprint, crash),
        onBan: (ban) => {
          void this.#fleet.writeBan(ban);
        },
      },
      expectedInstances,
    );
    const gateway = this.#gateway;
    const notifyChange = () => this.#peerSync.notifyChange();
    this.#replica = new StoreReplica({
      store,
      schema,
      target: gateway,
      clock,
      random,
      log,
      metrics,
      onChange: notifyChange,
    });
    this.#fleet = new Fleet({
      store,
      instance,
      self: {
        address: `${ip}:${peerPort}`,
        failureDomain,
        callerAddress: options.callerAddress,
      },
      clock,
      random,
      log,
      onSize: (size) => {
        gateway.setFleetSize(size);
        quota.setSize(size);
      },
      onChange: notifyChange,
      onBan: (ban) => gateway.acceptBan(ban),
      onLift: (ban) => gateway.liftBan(ban),
      onSecondCrash: (ban) => {
        if (gateway.acceptBan(ban)) void this.#fleet.writeBan(ban);
      },
      announceBan: (news) => this.#peerSync.announce(banMessageType, { ...news }),
      onPeers: (peerKey, peers) => {
        this.#peerSync.setPeers(peerKey, peers);
        gateway.setPeers(peerKey, listCallerAddresses(peers));
        quota.setPeers([...peers.keys()]);
      },
    });
    this.#peerSync = new PeerSync({
      instance,
      incarnation,
      failureDomain,
      ip,
      port: peerPort,
      replica: this.#replica,
      fleet: this.#fleet,
      clock,
      random,
      log,
      readSummary: () => this.#readSummary(),
    });
    quota.setMessenger(this.#peerSync);
    this.#peerSync.handle(banMessageType, async (body) => {
      this.#fleet.receiveBan(body);
      return {};
    });
    this.#readiness = createServer((_request, response) => {
      response.writeHead(this.isReady ? 200 : 503).end();
    });
    this.#operator = new OperatorServer({
      metrics,
      readStatus: () => this.#readStatus(),
      collectFleet: async () => this.#peerSync.collectSummaries(),
      findRequest: (id) => gateway.findFailure(id),
    });
    metrics.addGauge(
      'calls_in_flight',
      'Calls without an answer.',
      () => gateway.callers.activeCalls,
    );
    metrics.addGauge('configuration_version', 'Version in force.', () => gateway.version);
    const { settings } = options;
    metrics.addInfo(
      'settings_info',
      'Digest of the settings in force.',
      'digest',
      () => settings.status.digest,
    );
    metrics.addGauge(
      'settings_since_seconds',
      'Unix time since which the settings are in force, in seconds.',
      () => Date.parse(settings.status.since) / 1000,
    );
    metrics.addGauge('endpoints', 'Registered endpoints.', () => gateway.endpointCount);
    metrics.addGauge(
      'registrations_age_ms',
      'Age of the list of endpoints.',
      () => this.#replica.registrationsAgeMs,
    );
    metrics.addGauge('log_lines_dropped', 'Log lines that nobody read.', countDroppedLines);
  }

  /** Whether the instance is ready for new callers. */
  get isReady(): boolean {
    const isReady =
      !this.#isStopping &&
      this.#gateway.version >= 0 &&
      this.#replica.hasRegistrations &&
      this.#replica.hasEvacuations;
    if (isReady !== this.#wasReady) {
      this.#wasReady = isReady;
      this.#options.log.info('readiness', { isReady, configVersion: this.#gateway.version });
    }
    return isReady;
  }

  /** Starts all components and listens for callers. */
  async start(): Promise<void> {
    const { callerAddress, readinessAddress, operatorPort } = this.#options;
    const { instance, incarnation, log } = this.#options;
    const { clock } = this.#options;
    const startedAt = clock.now();
    const reportTimer = setInterval(() => {
      if (this.isReady || this.#isStopping) clearInterval(reportTimer);
      else this.#reportStart(clock.now() - startedAt);
    }, startReportIntervalMs).unref();
    void this.#startReplica();
    void this.#fleet.start();
    void this.#peerSync.start();
    const [ip, port] = splitAddress(callerAddress);
    await this.#gateway.callers.listen(ip, port);
    const [readinessIp, readinessPort] = splitAddress(readinessAddress);
    await new Promise<void>((resolve, reject) => {
      this.#readiness.once('error', reject);
      this.#readiness.listen(readinessPort, readinessIp, resolve);
    });
    if (operatorPort !== undefined) await this.#operator.listen(readinessIp, operatorPort);
    log.info('started', {
      instance,
      incarnation,
      callerAddress,
      readinessAddress,
      operatorPort,
      settings: this.#options.settings.status.digest,
    });
  }

  /** @param limits - New limits of the fleet. */
  setLimits(limits: FleetLimits): void {
    this.#gateway.setLimits(limits);
    this.#quota.setBounds(limits);
  }

  /**
   * Drains and stops the instance. Callers move to other instances before connections close, so
   * that no call is aborted. During a stop, a further call changes nothing.
   *
   * @returns When the stop has ended.
   */
  async stop(): Promise<void> {
    this.#stopped ??= this.#drainAndClose();
    return this.#stopped;
  }

  get #isStopping(): boolean {
    return this.#stopped !== undefined;
  }

  async #drainAndClose(): Promise<void> {
    const { graceMs, log, store, clock } = this.#options;
    const { callers } = this.#gateway;
    log.info('stopping', { active: callers.activeCalls, graceMs });
    const now = clock.now();
    this.#quota.startDraining();
    this.#gateway.startDraining({
      lateFrom: now + graceMs * lateShare,
      endsAt: now + graceMs * closeShare,
    });
    await sleep(graceMs * drainShare);
    await callers.close(graceMs * (closeShare - drainShare));
    this.#replica.stop();
    this.#fleet.stop();
    this.#quota.close();
    this.#peerSync.stop();
    this.#gateway.close();
    store.close();
    this.#readiness.close();
    this.#operator.close();
    log.info('stopped');
  }

  /** Logs what a start waits for, of which nothing else shows that it has not happened. */
  #reportStart(sinceStartMs: number): void {
    const { failingSince, hasRegistrations, hasEvacuations } = this.#replica;
    this.#options.log.warn('not-ready', {
      sinceStartMs: Math.round(sinceStartMs),
      hasConfig: this.#gateway.version >= 0,
      hasRegistrations,
      hasEvacuations,
      isStoreLost: failingSince !== undefined,
      storeReader: this.#peerSync.source,
      peers: this.#peerSync.peerCount,
    });
  }

  async #startReplica(): Promise<void> {
    if (this.#options.isFirstStart) await this.#peerSync.waitForState(firstStartWaitMs);
    if (!this.#isStopping) this.#replica.start();
  }

  #readSummary(): InstanceSummary {
    const { instance, failureDomain, settings } = this.#options;
    return {
      instance,
      failureDomain,
      isReady: this.isReady,
      isStopping: this.#isStopping,
      configVersion: this.#gateway.version,
      outOfReach: this.#gateway.servicesOutOfReach,
      asking: this.#gateway.askingEndpoints,
      quota: this.#quota.readStatus(),
      evacuations: this.#replica.evacuations,
      cold: this.#gateway.coldEndpoints,
      settings: settings.status,
    };
  }

  #readStatus(): LogFields {
    const { incarnation, clock } = this.#options;
    const { failingSince, registrationsAgeMs } = this.#replica;
    return {
      ...this.#readSummary(),
      incarnation,
      storeLostMs: failingSince === undefined ? 0 : Math.round(clock.now() - failingSince),
      registrationsAgeMs: Math.round(registrationsAgeMs),
      storeReader: this.#peerSync.source,
      ...this.#gateway.readStatus(),
    };
  }
}

function listCallerAddresses(
  peers: ReadonlyMap<InstanceId, Peer>,
): ReadonlyMap<InstanceId, string> {
  const addresses = new Map<InstanceId, string>();
  peers.forEach(({ callerAddress }, peer) => {
    if (callerAddress !== undefined) addresses.set(peer, callerAddress);
  });
  return addresses;
}

function splitAddress(address: string): [string, number] {
  const [ip = '', port = ''] = address.split(':');
  return [ip, Number(port)];
}
