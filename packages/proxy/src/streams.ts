/** Limits on the responses that are sent on while they come in. */
export interface StreamLimits {
  /** Number of streams from which those are ended whose callers have stopped to read. */
  readonly maxStreams: number;
  /** Time without a read after which a caller counts as stopped, in milliseconds. */
  readonly stallMs: number;
}

const defaultLimits: StreamLimits = { maxStreams: 256, stallMs: 2000 };

/** Number of streams, relative to `maxStreams`, from which no further call is to be accepted. */
const fullFactor = 2;

/** A response that is sent on while it comes in. */
export interface ResponseStream {
  /** Records that the caller has more unread bytes than its connection takes. */
  stall(): void;
  /** Records that the caller has read again. */
  resume(): void;
  /** Removes the stream, which has ended. */
  close(): void;
}

/**
 * The responses that are sent on while they come in. Each takes memory for what the caller has not
 * read, so that many callers which read nothing could use up that of the process. Beyond the limit,
 * the streams that have been stalled longest are ended.
 */
export class StreamTable {
  readonly #limits: StreamLimits;

  /** Times since which streams are stalled; undefined for the others. */
  readonly #streams = new Map<() => void, number | undefined>();

  #timer: NodeJS.Timeout | undefined;

  /** @param limits - Limits that differ from the defaults. */
  constructor(limits: Partial<StreamLimits> = {}) {
    this.#limits = { ...defaultLimits, ...limits };
  }

  /** Whether there are so many streams that no further call is to be accepted. */
  get isFull(): boolean {
    return this.#streams.size >= fullFactor * this.#limits.maxStreams;
  }

  /**
   * Adds a stream.
   *
   * @param end - Ends the stream, which then removes itself.
   */
  add(end: () => void): ResponseStream {
    this.#streams.set(end, undefined);
    if (this.#streams.size > this.#limits.maxStreams) this.#schedule();
    return {
      stall: () => this.#streams.set(end, performance.now()),
      resume: () => this.#streams.set(end, undefined),
      close: () => this.#streams.delete(end),
    };
  }

  #schedule(): void {
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#endStalled();
      if (this.#streams.size > this.#limits.maxStreams) this.#schedule();
    }, this.#limits.stallMs / 4).unref();
  }

  #endStalled(): void {
    const before = performance.now() - this.#limits.stallMs;
    const surplus = Math.max(0, this.#streams.size - this.#limits.maxStreams);
    [...this.#streams]
      .flatMap(([end, since = Infinity]) => (since <= before ? [{ end, since }] : []))
      .sort((first, second) => first.since - second.since)
      .slice(0, surplus)
      .forEach(({ end }) => end());
  }
}
