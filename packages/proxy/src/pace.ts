import type { Readable } from 'node:stream';

/** Chunks of a body that are read without a pause: those of an ordinary body are far fewer. */
const freeChunks = 16_384;

/** Chunks a second that are read beyond the free ones. Each costs about 2 µs, whatever its size. */
const chunksPerSecond = 25_000;

/** Pause after which as many chunks are read as the rate allows for its time. */
const pauseMs = 100;

/**
 * Limits the processor time that the chunks of one body take. Without it a body in chunks of a few
 * bytes, which may have no end, takes the whole time of the process from the other calls. A body is
 * only delayed, never cut.
 */
export class ChunkPacer {
  readonly #stream: Readable;

  #chunksLeft = freeChunks;

  #timer: NodeJS.Timeout | undefined;

  #isStopped = false;

  /** @param stream - A stream that its reader consumes by `data` events. */
  constructor(stream: Readable) {
    this.#stream = stream;
  }

  start(): void {
    this.#stream.on('data', this.#handleData);
  }

  /** Stops to limit the stream, which stays paused if it is. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#stream.off('data', this.#handleData);
  }

  readonly #handleData = () => {
    this.#chunksLeft -= 1;
    // The reader may stop the pacer while it handles the same chunk.
    if (this.#isStopped || this.#chunksLeft > 0) return;
    this.#stream.pause();
    this.#timer ??= setTimeout(() => this.#resume(), pauseMs);
  };

  #resume(): void {
    this.#timer = undefined;
    this.#chunksLeft = (chunksPerSecond * pauseMs) / 1000;
    this.#stream.resume();
  }
}
