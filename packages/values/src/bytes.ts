/** Size of the first block of a collector whose first piece is smaller, in bytes. */
const minBlockBytes = 1024;

/**
 * Collects a body that arrives in pieces. The pieces are copied into one block, so that the memory
 * in use is at most twice that of the bytes, however many pieces there are: a `Buffer` for each
 * one-byte piece takes some hundred bytes and retains the block that the piece was received in.
 */
export class ByteCollector {
  #block: Buffer = Buffer.alloc(0);

  #size = 0;

  /** Number of collected bytes. */
  get size(): number {
    return this.#size;
  }

  /** @param piece - The next bytes; they are copied. */
  add(piece: Uint8Array): void {
    const size = this.#size + piece.length;
    if (size > this.#block.length) this.#extendTo(size);
    this.#block.set(piece, this.#size);
    this.#size = size;
  }

  /** @returns The collected bytes. They share memory with the collector, which is not to be used on. */
  toBuffer(): Buffer {
    return this.#block.subarray(0, this.#size);
  }

  /** Discards what was collected. */
  clear(): void {
    this.#block = Buffer.alloc(0);
    this.#size = 0;
  }

  /** A body that comes in one piece gets a block of its own size; later ones double the block. */
  #extendTo(size: number): void {
    const isFirst = this.#size === 0 && size >= minBlockBytes;
    const blockBytes = isFirst ? size : Math.max(minBlockBytes, size, 2 * this.#block.length);
    const block = Buffer.allocUnsafe(blockBytes);
    this.#block.copy(block, 0, 0, this.#size);
    this.#block = block;
  }
}
