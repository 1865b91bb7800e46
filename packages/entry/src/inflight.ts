import { setTimeout as sleep } from 'node:timers/promises';
import type { ConnectionPool } from '@dotterelpass/proxy';
import type { SuspectGate } from './gates.js';

const recheckMs = 50;

/** Tracks the requests in flight on each endpoint, to report all possible causes of a crash. */
export class InFlightRequests {
  readonly #suspects: SuspectGate | undefined;

  /** Number of requests in flight by endpoint address and fingerprint. */
  readonly #inFlight = new Map<string, Map<string, number>>();

  readonly #checks = new Map<string, Promise<boolean>>();

  constructor(suspects: SuspectGate | undefined) {
    this.#suspects = suspects;
  }

  /** @param fingerprint - Of a request that is about to be sent to the address. */
  add(address: string, fingerprint: string): void {
    if (!this.#suspects) return;
    const counts = this.#inFlight.get(address) ?? new Map<string, number>();
    this.#inFlight.set(address, counts);
    counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
  }

  /** @param fingerprint - Of a request that has ended, after any check for a crash. */
  remove(address: string, fingerprint: string): void {
    const counts = this.#inFlight.get(address);
    const count = counts?.get(fingerprint);
    if (!counts || count === undefined) return;
    if (count > 1) counts.set(fingerprint, count - 1);
    else counts.delete(fingerprint);
  }

  /**
   * Checks whether an endpoint crashed after one of its connections closed without a response, and
   * reports a crash with all requests in flight there. A crash closes all connections of an
   * endpoint at about the same time, so concurrent checks of an endpoint share one result.
   *
   * @param address - Address of the endpoint.
   * @param pool - Connections to the endpoint.
   * @returns Whether the endpoint refuses new connections.
   */
  async checkCrash(address: string, pool: ConnectionPool): Promise<boolean> {
    if (!this.#suspects) return false;
    const running = this.#checks.get(address);
    if (running) return running;
    const check = this.#probe(address, pool).finally(() => this.#checks.delete(address));
    this.#checks.set(address, check);
    return check;
  }

  async #probe(address: string, pool: ConnectionPool): Promise<boolean> {
    const fingerprints = [...(this.#inFlight.get(address)?.keys() ?? [])];
    let crashed = await pool.isRefusingConnections();
    if (!crashed) {
      // The port of an exiting process can accept a connection after the existing ones have closed.
      await sleep(recheckMs);
      crashed = await pool.isRefusingConnections();
    }
    if (crashed) this.#suspects?.reportCrash(address, fingerprints);
    return crashed;
  }
}
