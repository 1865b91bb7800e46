import { setTimeout as sleep } from 'node:timers/promises';
import type { RequestDigest } from '@dotterelpass/proxy';
import { UnfinishedRuns } from '@dotterelpass/suspects';
import type { CrashTable, EndpointCrash, RequestBan } from '@dotterelpass/suspects';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import type { Clock, RequestId } from '@dotterelpass/values';
import { getIncarnation } from './catalog.js';
import type { Endpoint } from './endpoint.js';

/** Time in which an exiting process closes all of its connections and its port, in milliseconds. */
const exitMs = 50;

/** How the run of a request at an endpoint ended, as far as this instance has seen it. */
export type RunEnding =
  /** With a whole response. */
  | 'answered'
  /** With a response that ends with its connection, as the endpoint may have done, too. */
  | 'closed'
  /** The connection ended before the response did. */
  | 'broken'
  /** This instance ended the connection: the caller has left, or the deadline has passed. */
  | 'abandoned'
  /** The endpoint has not got the request, or says that it has not run it. */
  | 'not-run';

/** The request of a run. */
interface RunRequest {
  readonly id: RequestId | undefined;
  readonly digest: RequestDigest;
}

/** A run of a request at an endpoint. Times are monotonic, in milliseconds. */
export interface EndpointRun {
  readonly call: RunRequest & { readonly deadlineAt: number };
  readonly endpoint: Endpoint;
  readonly startedAt: number;
}

export interface CrashMonitorOptions {
  readonly table: CrashTable;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Called when an endpoint has crashed while it ran a request that is a suspect because of it. */
  onSuspect(fingerprint: string, crash: EndpointCrash): void;
  /** Called when a request is banned because endpoints seem to have crashed while running it. */
  onBan(ban: RequestBan): void;
}

/**
 * Notices that endpoints crash, and which requests they may have been running then: those whose run
 * did not end with a whole response, whatever ended it here. An endpoint has crashed if
 *
 * - it refuses connections, and none of those to it has outlived the one that ended, or
 * - it registers anew under its id without having said that it leaves.
 */
export class CrashMonitor {
  readonly #options: CrashMonitorOptions;

  readonly #runs: UnfinishedRuns<RunRequest>;

  /** Checks in progress. A crash ends all connections at once, so they share a result. */
  readonly #checks = new Map<Endpoint, Promise<boolean>>();

  constructor(options: CrashMonitorOptions) {
    this.#options = options;
    this.#runs = new UnfinishedRuns(options.clock);
  }

  /**
   * Records the end of a run.
   *
   * @param isSuccess - Whether the endpoint gave a successful answer.
   */
  recordEnd(run: EndpointRun, ending: RunEnding, isSuccess = false): void {
    if (ending === 'not-run') return;
    if (ending === 'answered') {
      if (isSuccess) void this.#recordAnswer(run);
      return;
    }
    const { endpoint, startedAt } = run;
    const { id, digest, deadlineAt } = run.call;
    const { version } = endpoint.registration;
    const incarnation = getIncarnation(endpoint.registration);
    if (this.#runs.hasCrashedSince(incarnation, startedAt)) {
      void this.#recordSuspect({ id, digest }, { incarnation, version });
      return;
    }
    const remove = this.#runs.add(incarnation, { id, digest }, deadlineAt);
    if (ending === 'broken') void this.#checkEndpoint(endpoint);
    if (ending !== 'closed') return;
    void this.#checkEndpoint(endpoint).then((isAlive) => {
      if (!isAlive) return;
      remove();
      if (isSuccess) void this.#recordAnswer(run);
    });
  }

  /** Records that an endpoint has ended a connection without a request, or refused a new one. */
  recordLostConnection(endpoint: Endpoint): void {
    const { registration } = endpoint;
    // An endpoint that leaves ends its connections, too.
    if (registration.state === 'draining' || !this.#runs.has(getIncarnation(registration))) return;
    void this.#checkEndpoint(endpoint);
  }

  /** Records that an endpoint runs anew under its id. */
  recordRestart(endpoint: Endpoint): void {
    if (endpoint.registration.state === 'ready') this.#recordCrash(endpoint, 'registered anew');
  }

  /** @returns Whether the endpoint is alive; false when this is not known, too. */
  async #checkEndpoint(endpoint: Endpoint): Promise<boolean> {
    const running = this.#checks.get(endpoint);
    if (running) return running;
    const check = this.#runCheck(endpoint).finally(() => this.#checks.delete(endpoint));
    this.#checks.set(endpoint, check);
    return check;
  }

  async #runCheck(endpoint: Endpoint): Promise<boolean> {
    const { pool } = endpoint;
    if (pool.hasIdle) await sleep(exitMs);
    if (pool.hasIdle) return true;
    let state = await pool.checkPort(exitMs);
    // The port of an exiting process can accept one more connection.
    if (state === 'ends') state = await pool.checkPort();
    if (state === 'refuses') this.#recordCrash(endpoint, 'refuses connections');
    return state === 'accepts';
  }

  #recordCrash(endpoint: Endpoint, evidence: string): void {
    const { log, metrics } = this.#options;
    const { registration } = endpoint;
    const incarnation = getIncarnation(registration);
    const requests = this.#runs.takeCrashed(incarnation);
    endpoint.recordUnreachable();
    if (requests.length === 0) return;
    metrics.recordEvent('endpoint-crashed', registration.service);
    log.warn('endpoint-crashed', { incarnation, evidence, requests: requests.length });
    requests.forEach((request) => {
      void this.#recordSuspect(request, { incarnation, version: registration.version });
    });
  }

  async #recordSuspect({ id, digest }: RunRequest, crash: EndpointCrash): Promise<void> {
    const { table, log, onSuspect, onBan } = this.#options;
    // A ban of the start of a body has the bodies that begin so read to their end before they are sent.
    const fingerprint = digest.value ?? (await digest.wait()) ?? digest.start;
    const fields = { ...crash, requestId: id, fingerprint };
    if (fingerprint === undefined) {
      log.warn('crash-unattributed', { ...fields, reason: 'the body was not complete' });
      return;
    }
    const wasBanned = table.isBanned(fingerprint);
    const finding = table.recordCrash(fingerprint, crash);
    log.warn('request-suspected', { ...fields, finding });
    if (finding === 'suspect') onSuspect(fingerprint, crash);
    if (finding !== 'banned') return;
    if (!wasBanned) {
      const incarnations = table.listCrashes(fingerprint);
      log.warn('request-banned', { fingerprint, source: 'local', incarnations });
    }
    onBan({ fingerprint, version: crash.version });
  }

  async #recordAnswer({ call: { digest }, endpoint }: EndpointRun): Promise<void> {
    const { version } = endpoint.registration;
    const fingerprint = digest.value ?? (await digest.wait());
    if (fingerprint !== undefined) this.#options.table.recordAnswer(fingerprint, version);
  }
}
