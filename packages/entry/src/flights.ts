import { setTimeout as sleep } from 'node:timers/promises';
import type { ConnectionPool } from '@dotterelpass/proxy';
import type { SuspectGate } from './gates.js';

const recheckMs = 50;

/** Requests in flight by endpoint, so that a crash can be told with all that may have caused it. */
export class Flights {
  readonly #suspects: SuspectGate | undefined;

  readonly #inFlight = new Map<string, Map<string, number>>();

  readonly #checks = new Map<string, Promise<boolean>>();

  constructor(suspects: SuspectGate | undefined) {
    this.#suspects = suspects;
  }

  /** @param fingerprint - Of a request that is about to be sent to the address. */
  add(address: string, fingerprint: string): void {
    if (!this.#suspects) return;
    const known = this.#inFlight.get(address) ?? new Map<string, number>();
    this.#inFlight.set(address, known);
    known.set(fingerprint, (known.get(fingerprint) ?? 0) + 1);
  }

  /** @param fingerprint - Of a request that has ended, after any check for a crash. */
  remove(address: string, fingerprint: string): void {
    const known = this.#inFlight.get(address);
    const count = known?.get(fingerprint);
    if (!known || count === undefined) return;
    if (count > 1) known.set(fingerprint, count - 1);
    else known.delete(fingerprint);
  }

  /**
   * Checks whether an endpoint crashed after one of its connections ended without an answer,
   * and reports the crash with all requests in flight there. Connections of one endpoint end
   * together, so checks that overlap are one.
   *
   * @param address - Address of the endpoint.
   * @param pool - Connections to it.
   * @returns Whether it refuses new connections.
   */
  async checkCrash(address: string, pool: ConnectionPool): Promise<boolean> {
    if (!this.#suspects) return false;
    const running = this.#checks.get(address);
    if (running) return running;
    const check = this.#runCheck(address, pool).finally(() => this.#checks.delete(address));
    this.#checks.set(address, check);
    return check;
  }

  async #runCheck(address: string, pool: ConnectionPool): Promise<boolean> {
    const fingerprints = [...(this.#inFlight.get(address)?.keys() ?? [])];
    let crashed = await pool.isRefusingConnections();
    if (!crashed) {
      // The port of a process that exits can take a connection after the others have ended.
      await sleep(recheckMs);
      crashed = await pool.isRefusingConnections();
    }
    if (crashed) this.#suspects?.reportCrash(address, fingerprints);
    return crashed;
  }
}
