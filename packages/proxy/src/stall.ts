import type { ClientRequest, IncomingMessage } from 'node:http';

/** When a connection counts as stalled, and how a lost call is confirmed. */
export interface StallLimits {
  /**
   * Time without a received byte after which the endpoint is asked how many calls it has, in
   * milliseconds; `Infinity` disables the detection.
   */
  readonly stallMs: number;
  /** Time between the first and the second report of the endpoint, in milliseconds. */
  readonly confirmMs: number;
}

/** A request whose response is not complete. */
class OutstandingRequest {
  readonly outgoing: ClientRequest;

  readonly addedAt = performance.now();

  #response: IncomingMessage | undefined;

  #bytesRead = -1;

  #lastByteAt = this.addedAt;

  constructor(outgoing: ClientRequest) {
    this.outgoing = outgoing;
    outgoing.once('response', (response) => {
      this.#response = response;
    });
  }

  /** When the connection last received a byte, to the precision of the detector's timer. */
  get lastByteAt(): number {
    return this.#lastByteAt;
  }

  updateLastByteAt(): void {
    // A connection that is not read because the caller is slow has not stalled.
    const isPaused =
      this.#response?.isPaused() === true || (this.#response?.readableLength ?? 0) > 0;
    const bytesRead = this.outgoing.socket?.bytesRead ?? -1;
    if (bytesRead === this.#bytesRead && !isPaused) return;
    this.#bytesRead = bytesRead;
    this.#lastByteAt = performance.now();
  }
}

/**
 * Finds and closes connections that the endpoint no longer has although they were not reset, such
 * as after a network failure. A slow response alone does not prove this: the endpoint must report
 * twice, on new connections, that it has fewer calls than are outstanding there.
 */
export class StallDetector {
  readonly #readCallCount: () => Promise<number | undefined>;

  readonly #limits: StallLimits;

  readonly #onStall: () => void;

  #outstanding = new Set<OutstandingRequest>();

  #timer: NodeJS.Timeout | undefined;

  #isConfirming = false;

  #confirmStartedAt = -Infinity;

  /**
   * @param readCallCount - Asks the endpoint on a new connection how many calls it has, running and
   * queued; undefined when the endpoint does not report it or the probe budget is used up.
   * @param limits - Time limits.
   * @param onStall - Called when stalled connections are closed, before they are destroyed.
   */
  constructor(
    readCallCount: () => Promise<number | undefined>,
    limits: StallLimits,
    onStall: () => void,
  ) {
    this.#readCallCount = readCallCount;
    this.#limits = limits;
    this.#onStall = onStall;
  }

  /** @param outgoing - A request whose connection is watched until the request closes. */
  add(outgoing: ClientRequest): void {
    if (this.#limits.stallMs === Infinity) return;
    const entry = new OutstandingRequest(outgoing);
    this.#outstanding.add(entry);
    outgoing.once('close', () => this.#outstanding.delete(entry));
    if (this.#timer) return;
    const intervalMs = Math.max(5, this.#limits.stallMs / 4);
    this.#timer = setInterval(() => this.#checkConnections(), intervalMs).unref();
  }

  /** Stops watching all connections. */
  close(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#outstanding.clear();
  }

  #checkConnections(): void {
    if (this.#outstanding.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    const now = performance.now();
    this.#outstanding.forEach((entry) => entry.updateLastByteAt());
    if (this.#isConfirming || now - this.#confirmStartedAt < this.#limits.stallMs) return;
    if (this.#findStalled().length === 0) return;
    this.#isConfirming = true;
    this.#confirmStartedAt = now;
    void this.#closeLostConnections().finally(() => {
      this.#isConfirming = false;
    });
  }

  async #closeLostConnections(): Promise<void> {
    // Requests sent less than `stallMs` ago may not have reached the endpoint yet. The older ones
    // must be included in its count.
    const sent = this.#findSent();
    const first = await this.#countMissing(sent);
    if (first === undefined || first <= 0) return;
    const second = await this.#recountMissing(sent);
    const missing = Math.max(0, Math.min(first, second));
    // At most as many connections are closed as calls are missing in both reports. The other
    // stalled connections may wait for slow responses.
    const stalled = this.#findStalled().filter((entry) => sent.includes(entry));
    stalled.sort((a, b) => a.lastByteAt - b.lastByteAt);
    const lost = stalled.slice(0, missing);
    if (lost.length > 0) this.#onStall();
    for (const { outgoing } of lost) {
      outgoing.destroy(
        new Error('the connection has stalled and the endpoint reports fewer calls than were sent'),
      );
    }
  }

  /** Repeats the request for the count until the endpoint reports it or the calls have ended. */
  async #recountMissing(sent: readonly OutstandingRequest[]): Promise<number> {
    while (this.#countOpen(sent) > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.#limits.confirmMs);
      });
      const missing = await this.#countMissing(sent);
      if (missing !== undefined) return missing;
    }
    return 0;
  }

  async #countMissing(sent: readonly OutstandingRequest[]): Promise<number | undefined> {
    const reported = await this.#readCallCount();
    return reported === undefined ? undefined : this.#countOpen(sent) - reported;
  }

  #countOpen(sent: readonly OutstandingRequest[]): number {
    return sent.filter((entry) => this.#outstanding.has(entry)).length;
  }

  #findSent(): OutstandingRequest[] {
    const before = performance.now() - this.#limits.stallMs;
    return [...this.#outstanding].filter(
      ({ outgoing, addedAt }) => outgoing.writableFinished && addedAt <= before,
    );
  }

  #findStalled(): OutstandingRequest[] {
    const before = performance.now() - this.#limits.stallMs;
    return this.#findSent().filter(({ lastByteAt }) => lastByteAt <= before);
  }
}
