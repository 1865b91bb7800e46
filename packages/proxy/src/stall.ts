import type { ClientRequest, IncomingMessage } from 'node:http';

/** When a connection counts as silent and how that is checked, in milliseconds. */
export interface SilenceLimits {
  /** Time without a byte after which the endpoint is asked; infinite for no watch. */
  readonly stallMs: number;
  /** Time between the two questions. */
  readonly confirmMs: number;
}

/** A request without a whole answer. */
class Outstanding {
  readonly outgoing: ClientRequest;

  readonly addedAt = performance.now();

  #answer: IncomingMessage | undefined;

  #bytesRead = -1;

  #byteAt = this.addedAt;

  constructor(outgoing: ClientRequest) {
    this.outgoing = outgoing;
    outgoing.once('response', (answer) => {
      this.#answer = answer;
    });
  }

  /** When the connection last brought a byte, to the precision of the watch's timer. */
  get byteAt(): number {
    return this.#byteAt;
  }

  readBytes(): void {
    // A connection that is not read because the caller is slow has not gone silent.
    const isHeld = this.#answer?.isPaused() === true || (this.#answer?.readableLength ?? 0) > 0;
    const bytesRead = this.outgoing.socket?.bytesRead ?? -1;
    if (bytesRead === this.#bytesRead && !isHeld) return;
    this.#bytesRead = bytesRead;
    this.#byteAt = performance.now();
  }
}

/**
 * Finds connections that an endpoint has lost. A slow answer alone is no evidence: the endpoint
 * must twice report fewer calls than are outstanding there, on connections that work.
 */
export class SilenceWatch {
  readonly #readCalls: () => Promise<number | undefined>;

  readonly #limits: SilenceLimits;

  readonly #onSilent: () => void;

  #outstanding = new Set<Outstanding>();

  #timer: NodeJS.Timeout | undefined;

  #checking = false;

  #checkedAt = -Infinity;

  /**
   * @param readCalls - Asks the endpoint on a new connection how many calls it has, running
   * and queued; undefined when it does not tell or the budget for measuring forbids to ask.
   * @param limits - Times.
   * @param onSilent - Called when a connection was found silent and closed.
   */
  constructor(
    readCalls: () => Promise<number | undefined>,
    limits: SilenceLimits,
    onSilent: () => void,
  ) {
    this.#readCalls = readCalls;
    this.#limits = limits;
    this.#onSilent = onSilent;
  }

  /** @param outgoing - A request whose connection is watched until it closes. */
  add(outgoing: ClientRequest): void {
    if (this.#limits.stallMs === Infinity) return;
    const entry = new Outstanding(outgoing);
    this.#outstanding.add(entry);
    outgoing.once('close', () => this.#outstanding.delete(entry));
    if (this.#timer) return;
    const everyMs = Math.max(5, this.#limits.stallMs / 4);
    this.#timer = setInterval(() => this.#advance(), everyMs).unref();
  }

  /** Ends the watch. */
  close(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#outstanding.clear();
  }

  #advance(): void {
    if (this.#outstanding.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    const now = performance.now();
    this.#outstanding.forEach((entry) => entry.readBytes());
    if (this.#checking || now - this.#checkedAt < this.#limits.stallMs) return;
    if (this.#findSilent().length === 0) return;
    this.#checking = true;
    this.#checkedAt = now;
    void this.#check().finally(() => {
      this.#checking = false;
    });
  }

  async #check(): Promise<void> {
    // Younger requests may be on their way still; these must be known to the endpoint.
    const sent = this.#findSent();
    const first = await this.#countMissing(sent);
    if (first === undefined || first <= 0) return;
    const second = await this.#waitForMissing(sent);
    const missing = Math.max(0, Math.min(first, second));
    // No more connections are closed than the evidence covers: others may be slow and honest.
    const silent = this.#findSilent().filter((entry) => sent.includes(entry));
    silent.sort((a, b) => a.byteAt - b.byteAt);
    const lost = silent.slice(0, missing);
    if (lost.length > 0) this.#onSilent();
    for (const { outgoing } of lost) {
      outgoing.destroy(
        new Error('the connection is silent and the endpoint does not know the call'),
      );
    }
  }

  /** Asks again, as often as it takes to get an answer while the calls last. */
  async #waitForMissing(sent: readonly Outstanding[]): Promise<number> {
    while (this.#countOpen(sent) > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, this.#limits.confirmMs);
      });
      const missing = await this.#countMissing(sent);
      if (missing !== undefined) return missing;
    }
    return 0;
  }

  async #countMissing(sent: readonly Outstanding[]): Promise<number | undefined> {
    const reported = await this.#readCalls();
    return reported === undefined ? undefined : this.#countOpen(sent) - reported;
  }

  #countOpen(sent: readonly Outstanding[]): number {
    return sent.filter((entry) => this.#outstanding.has(entry)).length;
  }

  #findSent(): Outstanding[] {
    const before = performance.now() - this.#limits.stallMs;
    return [...this.#outstanding].filter(
      ({ outgoing, addedAt }) => outgoing.writableFinished && addedAt <= before,
    );
  }

  #findSilent(): Outstanding[] {
    const before = performance.now() - this.#limits.stallMs;
    return this.#findSent().filter(({ byteAt }) => byteAt <= before);
  }
}
