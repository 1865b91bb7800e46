import { SuspectTable } from '@dotterelpass/suspects';
import type { RunOutcome, FingerprintStatus, SuspectRow } from '@dotterelpass/suspects';
import type { MessageBody, InstanceIdentity, PeerTransport } from '@dotterelpass/peers';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { rankByHash, systemClock, systemRandom } from '@dotterelpass/values';
import type { InstanceId } from '@dotterelpass/values';
import type { Members, SuspectGate, SuspectAdmission } from './gates.js';

export interface SuspectGateDependencies {
  readonly identity: InstanceIdentity;
  readonly hub: PeerTransport;
  readonly members: Members;
  readonly log: Logger;
  readonly metrics: Metrics;
}

type Permission = 'run' | 'wait' | FingerprintStatus;

/** What one instance tells the others. */
interface News {
  readonly suspects?: readonly string[];
  readonly cleared?: readonly string[];
  readonly lifted?: readonly string[];
  readonly banned?: readonly string[];
}

const maxWaitMs = 1000;
const travelMs = 100;
const endTimeoutMs = 1000;
const endTries = 3;
const minBackoffMs = 10;
const maxBackoffMs = 200;

/** Keeps requests that crash endpoints from doing so again and again. */
export class FleetSuspectGate implements SuspectGate {
  readonly #parts: SuspectGateDependencies;

  readonly #table = new SuspectTable(systemClock);

  #next = 1;

  /** @param parts - What the gate works with. */
  constructor(parts: SuspectGateDependencies) {
    this.#parts = parts;
    const { hub, metrics } = parts;
    hub.handle('suspect', (body) => {
      this.#apply(body);
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
        if (answered) this.#endWell(fingerprint);
      };
      return { kind: 'run', exclusive: false, finish };
    }
    const holder = `${this.#parts.identity.incarnation}/${this.#next}`;
    this.#next += 1;
    let backoffMs = minBackoffMs;
    while (performance.now() < deadlineAt && !signal.aborted) {
      const standing = this.#table.findStatus(fingerprint);
      if (standing === 'banned') return this.#refuse(503, 'the request has crashed endpoints');
      if (standing === 'clear') return this.admit(fingerprint, deadlineAt, signal);
      const answer = await this.#ask(fingerprint, holder, deadlineAt - performance.now());
      if (answer === 'run') {
        const finish = (crashed: boolean, answered = !crashed) => {
          this.#endAlone(fingerprint, holder, { crashed, answered });
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
    return this.#refuse(504, 'no permission to run a suspect before the deadline');
  }

  reportCrash(address: string, fingerprints: readonly string[]): void {
    const { log, metrics } = this.#parts;
    const suspects = [...new Set(fingerprints)].filter(
      (fingerprint) => this.#table.findStatus(fingerprint) === 'clear',
    );
    metrics.recordEvent('endpoint-crashed');
    log.warn('endpoint-crashed', { address, requests: fingerprints.length, suspects });
    if (suspects.length > 0) this.#announce({ suspects });
  }

  /** @returns Suspects and bans that this instance knows. */
  list(): readonly SuspectRow[] {
    return this.#table.list();
  }

  /**
   * Ends a ban or a suspicion on all instances.
   *
   * @returns Whether this instance knew of one.
   */
  lift(fingerprint: string): boolean {
    const known = this.#table.lift(fingerprint);
    this.#parts.log.info('suspect-lifted', { fingerprint, known });
    this.#announce({ lifted: [fingerprint] });
    return known;
  }

  /** A request that ended well while it was suspected elsewhere does not crash endpoints. */
  #endWell(fingerprint: string): void {
    if (this.#table.findStatus(fingerprint) === 'suspect')
      this.#announce({ cleared: [fingerprint] });
  }

  #endAlone(fingerprint: string, holder: string, end: RunOutcome): void {
    const { log, metrics } = this.#parts;
    if (end.crashed || end.answered) {
      const event = end.crashed ? 'suspect-banned' : 'suspect-cleared';
      metrics.recordEvent(event);
      log.warn(event, { fingerprint });
      this.#announce(end.crashed ? { banned: [fingerprint] } : { cleared: [fingerprint] });
    }
    void this.#sendEnd(fingerprint, holder, end);
  }

  /** The announcement can be lost; the arbiter must know, since it gives the permissions. */
  async #sendEnd(fingerprint: string, holder: string, end: RunOutcome): Promise<void> {
    const { hub, members } = this.#parts;
    for (let tries = 1; tries <= endTries; tries++) {
      const arbiter = this.#findArbiter(fingerprint);
      if (arbiter === members.self) {
        this.#table.release(fingerprint, holder, end);
        return;
      }
      const body = { fingerprint, holder, end };
      if ((await hub.request(arbiter, 'may-run', body, endTimeoutMs)).isOk()) return;
    }
  }

  async #ask(fingerprint: string, holder: string, leftMs: number): Promise<Permission | undefined> {
    const { hub, members } = this.#parts;
    const arbiter = this.#findArbiter(fingerprint);
    const waitMs = Math.max(1, Math.min(leftMs, maxWaitMs));
    if (arbiter === members.self) return this.#wait(fingerprint, holder, leftMs, waitMs);
    const body = { fingerprint, holder, holdMs: leftMs, waitMs };
    const answer = await hub.request(arbiter, 'may-run', body, waitMs + travelMs);
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
    // The announcement may not have come yet.
    this.#table.add(fingerprint);
    return { answer: await this.#wait(fingerprint, holder, holdMs, waitMs) };
  }

  async #wait(
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
    const { members } = this.#parts;
    return rankByHash(fingerprint, members.live)[0] ?? members.self;
  }

  #announce(news: News): void {
    this.#apply(news);
    const { hub, members } = this.#parts;
    [...hub.addresses.keys()]
      .filter((instance) => instance !== members.self)
      .forEach((instance) => hub.send(instance, 'suspect', { ...news }));
  }

  #apply({ suspects = [], cleared = [], lifted = [], banned = [] }: News): void {
    suspects.forEach((fingerprint) => this.#table.add(fingerprint));
    cleared.forEach((fingerprint) => this.#table.clearSuspect(fingerprint));
    lifted.forEach((fingerprint) => this.#table.lift(fingerprint));
    banned.forEach((fingerprint) => this.#table.ban(fingerprint));
  }

  #refuse(status: number, message: string): SuspectAdmission {
    this.#parts.metrics.recordEvent('suspect-refused');
    // An earlier sending of the same request did reach an endpoint.
    return { kind: 'refuse', refusal: { status, verdict: 'may-have-run', message } };
  }
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
