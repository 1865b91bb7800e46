import type { ByteBudget } from './budget.js';
import type { Cancellation } from './cancellation.js';

/** Maximum bytes of one read of a connection. */
const socketReadBytes = 64 * 1024;

/**
 * Bytes that are reserved for each call whose response waits, before anything of the response is
 * known: the read that exceeds the limit, one that the paused response still takes, and one that
 * its paused connection still takes.
 */
export const readAheadBytes = 3 * socketReadBytes;

/**
 * The place of a response among those of its connection. Its bytes count towards the backlog until
 * its turn comes, which is when all earlier responses have been sent, and towards the memory for all
 * responses until it has been sent.
 */
export class ResponseTurn {
  readonly #backlog: ByteBudget;

  readonly #memory: ByteBudget;

  readonly #onRelease: () => void;

  #reservedBytes = 0;

  #keptBytes = 0;

  #hasCome = false;

  #isClosed = false;

  #listeners = new Set<() => void>();

  /**
   * @param backlog - Backlog of the connection.
   * @param memory - Memory for the responses of all connections.
   * @param onRelease - Called when reserved bytes were released.
   */
  constructor(backlog: ByteBudget, memory: ByteBudget, onRelease: () => void) {
    this.#backlog = backlog;
    this.#memory = memory;
    this.#onRelease = onRelease;
  }

  /** Whether all earlier responses have been sent. */
  get hasCome(): boolean {
    return this.#hasCome;
  }

  /**
   * Keeps a part of the response in memory until the response has been sent.
   *
   * @param bytes - Size of the part.
   * @returns Whether there is room. Otherwise the rest is to be left with the endpoint until the turn
   * comes, and then read no faster than the caller reads.
   */
  keep(bytes: number): boolean {
    if (this.#isClosed) return true;
    if (!this.#memory.reserve(bytes)) return false;
    if (this.reserve(bytes)) {
      this.#keptBytes += bytes;
      return true;
    }
    this.#memory.release(bytes);
    return false;
  }

  /**
   * Reserves bytes of the backlog, until the turn comes.
   *
   * @param bytes - Number of bytes in addition to those that are already reserved.
   * @returns Whether there is room.
   */
  reserve(bytes: number): boolean {
    if (this.#hasCome || this.#isClosed) return true;
    if (!this.#backlog.reserve(bytes)) return false;
    this.#reservedBytes += bytes;
    return true;
  }

  /** @param bytes - Size of the complete response; what is reserved beyond it is released. */
  reduceTo(bytes: number): void {
    const surplusBytes = this.#keptBytes - bytes;
    if (surplusBytes > 0) {
      this.#keptBytes = bytes;
      this.#memory.release(surplusBytes);
    }
    this.#reduceReservedTo(bytes);
  }

  /**
   * Waits until the turn comes.
   *
   * @param timeoutMs - Time limit in milliseconds.
   * @param cancellation - Ends the wait when the caller disconnects.
   * @returns Whether the turn has come.
   */
  async wait(timeoutMs: number, cancellation: Cancellation): Promise<boolean> {
    if (this.#hasCome) return true;
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const finish = () => {
        clearTimeout(timer);
        this.#listeners.delete(finish);
        cancellation.removeListener(finish);
        resolve(this.#hasCome);
      };
      timer = setTimeout(finish, Math.max(0, timeoutMs));
      this.#listeners.add(finish);
      cancellation.addListener(finish);
    });
  }

  /** Records that all earlier responses have been sent. */
  start(): void {
    if (this.#hasCome) return;
    this.#hasCome = true;
    this.#reduceReservedTo(0);
    this.#listeners.forEach((listener) => listener());
  }

  /** Releases all memory, because the response has been sent or its connection has closed. */
  close(): void {
    this.#isClosed = true;
    this.reduceTo(0);
  }

  #reduceReservedTo(bytes: number): void {
    const surplusBytes = this.#reservedBytes - bytes;
    if (surplusBytes <= 0) return;
    this.#reservedBytes = bytes;
    this.#backlog.release(surplusBytes);
    this.#onRelease();
  }
}
