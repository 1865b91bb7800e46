import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';

/** Limits of the buffering of lines for a pipe. */
export interface OutputLimits {
  /** Number of buffered bytes that triggers a write. */
  readonly minWriteBytes: number;
  /** Maximum number of buffered bytes while the reader is slow; further lines are dropped. */
  readonly maxBufferedBytes: number;
  /** Maximum time for which a line stays in the buffer before a write, in milliseconds. */
  readonly flushMs: number;
}

/** @returns Whether a file descriptor is a pipe or a socket. */
export function isPipe(descriptor: number): boolean {
  try {
    const stat = fstatSync(descriptor);
    return stat.isFIFO() || stat.isSocket();
  } catch {
    // The descriptor is closed; the first write to it reports the error.
    return false;
  }
}

/** Writes lines to a pipe without waiting for its reader. */
export class PipeOutput {
  readonly #socket: Socket;

  readonly #limits: OutputLimits;

  readonly #onDrop: (lines: number) => void;

  #lines: string[] = [];

  #bytes = 0;

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param descriptor - File descriptor of the pipe.
   * @param limits - Limits of the buffer.
   * @param onDrop - Called with the number of lines that were dropped.
   */
  constructor(descriptor: number, limits: OutputLimits, onDrop: (lines: number) => void) {
    this.#limits = limits;
    this.#onDrop = onDrop;
    this.#socket = new Socket({ fd: descriptor, readable: false, writable: true });
    this.#socket.unref();
    // A closed pipe must not terminate the program.
    this.#socket.on('error', () => onDrop(1));
    process.on('exit', () => this.#flush());
  }

  /** @param line - A line, with its line break. */
  write(line: string): void {
    if (this.#socket.destroyed || this.#socket.writableLength > this.#limits.maxBufferedBytes) {
      this.#onDrop(1);
      return;
    }
    this.#lines.push(line);
    this.#bytes += line.length;
    if (this.#bytes >= this.#limits.minWriteBytes) this.#flush();
    else this.#timer ??= setTimeout(() => this.#flush(), this.#limits.flushMs).unref();
  }

  #flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#lines.length === 0) return;
    const text = this.#lines.join('');
    this.#lines = [];
    this.#bytes = 0;
    this.#socket.write(text);
  }
}
