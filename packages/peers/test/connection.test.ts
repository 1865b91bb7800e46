import { Duplex } from 'node:stream';
import type { Incarnation, InstanceId } from '@dotterelpass/values';
import { afterEach, describe, expect, it } from 'vitest';
import { PeerConnection } from '../src/index.js';
import type { MessageHandler } from '../src/index.js';

/** Pause after each piece that a slow connection carries, in milliseconds. */
const pieceMs = 10;

/** One end of a connection that carries pieces of some bytes with a pause after each. */
class SlowEnd extends Duplex {
  other: SlowEnd | undefined;

  readonly #pieceBytes: number;

  constructor(pieceBytes: number) {
    super({
      writableHighWaterMark: 1024 * 1024,
      // The other end pushes what this one reads.
      read: () => undefined,
      write: (chunk: Buffer, _encoding, done) => {
        void this.#carry(chunk).then(() => done());
      },
    });
    this.#pieceBytes = pieceBytes;
  }

  async #carry(chunk: Buffer): Promise<void> {
    for (let at = 0; at < chunk.length; at += this.#pieceBytes) {
      this.other?.push(chunk.subarray(at, at + this.#pieceBytes));
      await new Promise((resolve) => {
        setTimeout(resolve, pieceMs);
      });
    }
  }
}

const timeoutMs = 300;
const maxTransferMs = 4000;

const connections: PeerConnection[] = [];

/** A handler that never answers. */
const handleNever: MessageHandler = async () => new Promise<never>(() => {});

function connect(pieceBytes: number, handlers: ReadonlyMap<string, MessageHandler>) {
  const [near, far] = [new SlowEnd(pieceBytes), new SlowEnd(pieceBytes)];
  near.other = far;
  far.other = near;
  const identity = (name: string) => ({
    instance: name as InstanceId,
    incarnation: `${name}-1` as Incarnation,
  });
  const caller = new PeerConnection(near, identity('a'), new Map());
  connections.push(caller, new PeerConnection(far, identity('b'), handlers));
  return caller;
}

afterEach(() => {
  connections.splice(0).forEach((connection) => connection.close());
});

describe('a response that takes long to arrive', () => {
  // 1,000 bytes each 10 ms: some 2.5 s for a message.
  const pieceBytes = 1000;
  const large = Buffer.alloc(250_000, 1);

  // Guards against a large message that is given up and begun anew, although it keeps arriving
  // (issue 46).
  it('is received although it takes longer than the time limits', async () => {
    const handlers = new Map<string, MessageHandler>([['get', async () => ({ large })]]);
    const result = await connect(pieceBytes, handlers).request('get', {}, timeoutMs, maxTransferMs);
    expect(result.isOk() && (result.value.large as Uint8Array).length).toBe(large.length);
  });

  // Guards against requests with a short time limit that wait behind a large message.
  it('ends in time when it may not take longer', async () => {
    const handlers = new Map<string, MessageHandler>([['get', async () => ({ large })]]);
    const result = await connect(pieceBytes, handlers).request('get', {}, timeoutMs);
    expect(result.isErr() && result.error.kind).toBe('timeout');
  });

  it.each([
    { name: 'has not begun', handle: handleNever },
    {
      name: 'waits behind small messages only',
      handle: handleNever,
      sends: true,
    },
  ])('ends in time when it $name', async ({ handle, sends = false }) => {
    const caller = connect(pieceBytes, new Map([['get', handle]]));
    const timer = setInterval(() => sends && connections[1]?.send('note', { text: 'x' }), 20);
    const startedAt = performance.now();
    const result = await caller.request('get', {}, timeoutMs, maxTransferMs);
    clearInterval(timer);
    expect(result.isErr() && result.error.kind).toBe('timeout');
    expect(performance.now() - startedAt).toBeLessThan(2 * timeoutMs);
  });

  // Guards against a peer whose message never ends.
  it('ends after the limit for one message', async () => {
    const handlers = new Map<string, MessageHandler>([
      ['get', async () => ({ large: Buffer.alloc(2_000_000) })],
    ]);
    const startedAt = performance.now();
    const result = await connect(pieceBytes, handlers).request('get', {}, timeoutMs, maxTransferMs);
    expect(result.isErr() && result.error.kind).toBe('timeout');
    expect(performance.now() - startedAt).toBeLessThan(timeoutMs + maxTransferMs + 700);
  });
});
