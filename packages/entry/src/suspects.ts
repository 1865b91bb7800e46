import { SuspectTable } from '@dotterelpass/suspects';
import type { RunOutcome, FingerprintStatus, SuspectRow } from '@dotterelpass/suspects';
import type { MessageBody, InstanceIdentity, PeerTransport } from '@dotterelpass/peers';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { rankByHash, systemClock, systemRandom } from '@dotterelpass/values';
import type { InstanceId } from '@dotterelpass/values';
import type { Members, SuspectGate, SuspectAdmission } from './gates.js';

/** Services that the gate uses. */
export interface SuspectGateDependencies {
  readonly identity: InstanceIdentity;
  readonly hub: PeerTransport;
  readonly members: Members;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** An arbiter's answer to a request for permission to run a suspect. */
type Permission = 'run' | 'wait' | FingerprintStatus;

/** The body of a `suspect` message: fingerprints whose status changed. */
interface SuspectUpdate {
  readonly suspects?: readonly string[];
  readonly cleared?: readonly string[];
  readonly lifted?: readonly string[];
  readonly banned?: readonly string[];
}

/** Longest time that an arbiter holds one request for permission, in milliseconds. */
const maxWaitMs = 1000;

/** Time for the network round trip, in addition to the arbiter's wait, in milliseconds. */
const answerMarginMs = 100;
const releaseTimeoutMs = 1000;
const maxReleaseTries = 3;
const minBackoffMs = 10;
const maxBackoffMs = 200;

/**
 * Limits how often a request that crashes endpoints can do so. A request that was running when an
 * endpoint crashed becomes a suspect and then needs the permission of its arbiter to run. A crash
 * during such an exclusive run bans the request, an answer clears it.
 */
export class FleetSuspectGate implements SuspectGate {
  readonly #dependencies: SuspectGateDependencies;

  readonly #table = new SuspectTable(systemClock);

  #nextHolder = 1;

  /** @param dependencies - Services that the gate uses. */
  constructor(dependencies: SuspectGateDependencies) {
    this.#dependencies = dependencies;
    const { hub, metrics } = dependencies;
    hub.handle('suspect', (body) => {
      this.#applyUpdate(body);
      return {};
    });
    hub.handle('may-run', async (body) => this.#handleMayRun(body));
    metrics.addGauge(
      'suspects',
      'Requests that run only with permission, and bans.',
      () => this.#table.list().length,
    );
  }

  async admit(
    fingerprint: string,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<SuspectAdmission> {
    if (this.#table.findStatus(fingerprint) === 'clear') {
      const finish = (crashed: boolean, answered = !crashed) => {
        if (answered) this.#clearIfSuspect(fingerprint);
      };
      return { kind: 'run', exclusive: false, finish };
    }
    const holder = `${this.#dependencies.identity.incarnation}/${this.#nextHolder}`;
    this.#nextHolder += 1;
    let backoffMs = minBackoffMs;
    while (performance.now() < deadlineAt && !signal.aborted) {
      const status = this.#table.findStatus(fingerprint);
      if (status === 'banned') return this.#refuse(503, 'the request has crashed endpoints');
      if (status === 'clear') return this.admit(fingerprint, deadlineAt, signal);
      const answer = await this.#requestPermission(
        fingerprint,
        holder,
        deadlineAt - performance.now(),
      );
      if (answer === 'run') {
        const finish = (crashed: boolean, answered = !crashed) => {
          this.#finishExclusiveRun(fingerprint, holder, { crashed, answered });
        };
        return { kind: 'run', exclusive: true, finish };
      }
      if (answer === 'banned') this.#table.ban(fingerprint);
      else if (answer === 'clear') this.#table.clearSuspect(fingerprint);
      else if (answer === undefined) {
        await sleep(backoffMs * (0.5 + systemRandom.next()));
        backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
      }
    }
    return this.#refuse(
      504,
      'the request is suspected of crashing endpoints; no permission to run it before the deadline',
    );
  }

  reportCrash(address: string, fingerprints: readonly string[]): void {
    const { log, metrics } = this.#dependencies;
    const suspects = [...new Set(fingerprints)].filter(
      (fingerprint) => this.#table.findStatus(fingerprint) === 'clear',
    );
    metrics.recordEvent('endpoint-crashed');
    log.warn('endpoint-crashed', { address, requests: fingerprints.length, suspects });
    if (suspects.length > 0) this.#broadcast({ suspects });
  }

  /** @returns Suspects and bans in the table of this instance. */
  list(): readonly SuspectRow[] {
    return this.#table.list();
  }

  /**
   * Removes a ban or a suspect on all instances.
   *
   * @returns Whether the table of this instance held one.
   */
  lift(fingerprint: string): boolean {
    const known = this.#table.lift(fingerprint);
    this.#dependencies.log.info('suspect-lifted', { fingerprint, known });
    this.#broadcast({ lifted: [fingerprint] });
    return known;
  }

  /**
   * Clears a request that became a suspect while it ran here and was answered, since that shows that
   * it does not crash endpoints.
   */
  #clearIfSuspect(fingerprint: string): void {
    if (this.#table.findStatus(fingerprint) === 'suspect')
      this.#broadcast({ cleared: [fingerprint] });
  }

  #finishExclusiveRun(fingerprint: string, holder: string, end: RunOutcome): void {
    const { log, metrics } = this.#dependencies;
    if (end.crashed || end.answered) {
      const event = end.crashed ? 'suspect-banned' : 'suspect-cleared';
      metrics.recordEvent(event);
      log.warn(event, { fingerprint });
      this.#broadcast(end.crashed ? { banned: [fingerprint] } : { cleared: [fingerprint] });
    }
    void this.#sendRelease(fingerprint, holder, end);
  }

  /**
   * Reports the end of an exclusive run to the arbiter. A broadcast can be lost, but the arbiter needs
   * the outcome before it can grant the next permission.
   */
  async #sendRelease(fingerprint: string, holder: string, end: RunOutcome): Promise<void> {
    const { hub, members } = this.#dependencies;
    for (let tries = 1; tries <= maxReleaseTries; tries++) {
      const arbiter = this.#findArbiter(fingerprint);
      if (arbiter === members.self) {
        this.#table.release(fingerprint, holder, end);
        return;
      }
      const body = { fingerprint, holder, end };
      if ((await hub.request(arbiter, 'may-run', body, releaseTimeoutMs)).isOk()) return;
    }
  }

  async #requestPermission(
    fingerprint: string,
    holder: string,
    remainingMs: number,
  ): Promise<Permission | undefined> {
    const { hub, members } = this.#dependencies;
    const arbiter = this.#findArbiter(fingerprint);
    const waitMs = Math.max(1, Math.min(remainingMs, maxWaitMs));
    if (arbiter === members.self)
      return this.#waitForPermission(fingerprint, holder, remainingMs, waitMs);
    const body = { fingerprint, holder, holdMs: remainingMs, waitMs };
    const answer = await hub.request(arbiter, 'may-run', body, waitMs + answerMarginMs);
    return answer.isOk() ? (answer.value.answer as Permission) : undefined;
  }

  async #handleMayRun(body: MessageBody): Promise<MessageBody> {
    const { fingerprint, holder, holdMs, waitMs, end } = body as {
      fingerprint: string;
      holder: string;
      holdMs: number;
      waitMs: number;
      end?: RunOutcome;
    };
    if (end) {
      this.#table.release(fingerprint, holder, end);
      return {};
    }
    // The broadcast that adds the suspect may not have arrived yet.
    this.#table.add(fingerprint);
    return { answer: await this.#waitForPermission(fingerprint, holder, holdMs, waitMs) };
  }

  async #waitForPermission(
    fingerprint: string,
    holder: string,
    holdMs: number,
    waitMs: number,
  ): Promise<Permission> {
    const signal = AbortSignal.timeout(Math.max(1, Math.floor(waitMs)));
    for (;;) {
      const answer = this.#table.acquire(fingerprint, holder, holdMs);
      if (answer !== 'wait' || signal.aborted) return answer;
      await this.#table.waitForChange(signal);
    }
  }

  #findArbiter(fingerprint: string): InstanceId {
    const { members } = this.#dependencies;
    return rankByHash(fingerprint, members.live)[0] ?? members.self;
  }

  #broadcast(update: SuspectUpdate): void {
    this.#applyUpdate(update);
    const { hub, members } = this.#dependencies;
    [...hub.addresses.keys()]
      .filter((instance) => instance !== members.self)
      .forEach((instance) => hub.send(instance, 'suspect', { ...update }));
  }

  #applyUpdate({ suspects = [], cleared = [], lifted = [], banned = [] }: SuspectUpdate): void {
    suspects.forEach((fingerprint) => this.#table.add(fingerprint));
    cleared.forEach((fingerprint) => this.#table.clearSuspect(fingerprint));
    lifted.forEach((fingerprint) => this.#table.lift(fingerprint));
    banned.forEach((fingerprint) => this.#table.ban(fingerprint));
  }

  #refuse(status: number, message: string): SuspectAdmission {
    this.#dependencies.metrics.recordEvent('suspect-refused');
    // An earlier attempt of the same request reached an endpoint.
    return { kind: 'refuse', refusal: { status, verdict: 'may-have-run', message } };
  }
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
