import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { call, sleep } from '../src/cluster.js';
import type { Reply } from '../src/cluster.js';
import { EntryFleet } from './entries.js';
import type { Entry } from './entries.js';

/** Result of one call. */
interface CallResult {
  readonly key: string;
  /** Undefined when the connection failed before a response. */
  readonly reply: Reply | undefined;
  readonly instance: string;
  readonly error?: string;
}

/** A positive response of `/readyz` and the time of its request. */
interface ReadinessCheck {
  readonly entry: Entry;
  readonly askedAt: number;
}

/** Time between checks of `/readyz`, as in the platform's load balancer, in milliseconds. */
const pollIntervalMs = 50;

/**
 * Age after which a response of `/readyz` is ignored, in milliseconds. It is below the 300 ms for
 * which a stopping instance still accepts calls, so that a delay of this process does not send
 * calls to an instance that no longer listens.
 */
const maxReadinessAgeMs = 200;

/** Sends calls to ready instances, as the platform's load balancer does. */
class Callers {
  readonly results: CallResult[] = [];

  readonly #fleet: EntryFleet;

  #ready: readonly ReadinessCheck[] = [];

  #stopped = false;

  #sent = 0;

  constructor(fleet: EntryFleet) {
    this.#fleet = fleet;
  }

  async sendUntilStopped(): Promise<void> {
    await Promise.all([
      this.#pollReadiness(),
      ...Array.from({ length: 8 }, () => this.#sendCalls()),
    ]);
  }

  stop(): void {
    this.#stopped = true;
  }

  async #pollReadiness(): Promise<void> {
    while (!this.#stopped) {
      const checked = await Promise.all(
        this.#fleet.entries.map(async (entry) => {
          const askedAt = performance.now();
          return { entry, askedAt, ready: await this.#fleet.isReady(entry) };
        }),
      );
      this.#ready = checked.filter(({ ready }) => ready);
      await sleep(pollIntervalMs);
    }
  }

  async #sendCalls(): Promise<void> {
    while (!this.#stopped) {
      const key = `call-${this.#sent}`;
      const oldestAt = performance.now() - maxReadinessAgeMs;
      const ready = this.#ready.filter(({ askedAt }) => askedAt > oldestAt);
      const entry = ready[this.#sent % ready.length]?.entry;
      this.#sent += 1;
      if (entry) {
        // Some calls take longer than a stopping instance waits for callers to move away.
        const ms = this.#sent % 10 === 0 ? 700 : 20;
        const path = `/status?ms=${ms}&key=${key}`;
        try {
          const reply = await call(entry.callerPort, path);
          this.results.push({ key, reply, instance: entry.name });
        } catch (error) {
          this.results.push({ key, reply: undefined, instance: entry.name, error: String(error) });
        }
      }
      await sleep(10);
    }
  }
}

describe('a rolling restart of five entry instances under load', () => {
  const fleet = new EntryFleet();

  beforeAll(() => fleet.open({ stopWaitMs: 300 }));

  afterAll(() => fleet.cluster.close());

  /** Guards I6 and I3: a planned stop interrupts no call, and a refused call did not run. */
  it('fails no call, except for calls that are refused as not-run and did not run', async () => {
    const callers = new Callers(fleet);
    const running = callers.sendUntilStopped();
    const codes: (number | null)[] = [];
    for (const { name } of fleet.entries) {
      const entry = fleet.entries.find((each) => each.name === name) as Entry;
      codes.push(await fleet.restart(entry, 'SIGTERM'));
      await fleet.waitUntilReady(fleet.entries);
      await fleet.waitForLive(fleet.entries, 5);
    }
    callers.stop();
    await running;
    expect(codes).toEqual([0, 0, 0, 0, 0]);
    const ledger = await call(fleet.endpointPort, '/standin/ledger');
    const ran = new Set(
      (JSON.parse(ledger.body.toString()) as { key: string }[]).map(({ key }) => key),
    );
    const failures = callers.results.filter(({ reply }) => reply?.status !== 200);
    const falseOrMissingRefusals = failures.filter(
      ({ key, reply }) => reply?.headers['x-request-outcome'] !== 'not-run' || ran.has(key),
    );
    expect(falseOrMissingRefusals).toEqual([]);
    // The design requires a goodput of 95% under stress, so 5% of the calls may be refused.
    expect(callers.results.length).toBeGreaterThan(100);
    expect(failures.length).toBeLessThan(callers.results.length / 20);
  });
});
