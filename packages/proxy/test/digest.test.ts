import { createServer, request } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Result } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { digestRequest, maxBufferedBytes, readBody, readFurther } from '../src/index.js';
import type { RequestBody, RequestDigest } from '../src/index.js';

const maxBytes = 1_000_000;

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

function unwrap<Value, Failure>(result: Result<Value, Failure>): Value {
  if (result.isErr()) throw new Error(JSON.stringify(result.error));
  return result.value;
}

interface SentBody {
  readonly bytes: Buffer;
  readonly pieceBytes?: number;
  readonly isChunked?: boolean;
  /** Number of bytes after which the caller leaves. */
  readonly leavesAfter?: number;
}

describe('digestRequest', () => {
  let server: Server;
  let receive: (incoming: IncomingMessage) => void;

  beforeEach(async () => {
    server = createServer((incoming, response) => {
      incoming.on('end', () => response.end());
      receive(incoming);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  /** Sends a request, and reads its body as a call is read. */
  async function read({ bytes, pieceBytes = bytes.length, ...sent }: SentBody) {
    const { port } = server.address() as AddressInfo;
    const incoming = new Promise<IncomingMessage>((resolve) => {
      receive = resolve;
    });
    const headers = sent.isChunked ? {} : { 'content-length': bytes.length };
    const outgoing = request({ host: '127.0.0.1', port, method: 'POST', headers });
    outgoing.on('error', () => undefined).on('response', (response) => response.resume());
    void (async () => {
      for (let at = 0; at < bytes.length; at += pieceBytes) {
        if (at >= (sent.leavesAfter ?? Infinity)) {
          outgoing.destroy();
          return;
        }
        outgoing.write(bytes.subarray(at, at + pieceBytes));
        await sleep(1);
      }
      outgoing.end();
    })();
    return unwrap(await readBody(await incoming, maxBytes, 1000));
  }

  async function digest(sent: SentBody): Promise<RequestDigest & { readonly body: RequestBody }> {
    const body = await read(sent);
    const made = digestRequest('POST h/', body);
    if (body.kind === 'stream') body.take()?.rest.resume();
    return Object.assign(made, { body });
  }

  const long = Buffer.alloc(200_000, 'scan ');
  const changedTail = Buffer.from(long);
  changedTail[long.length - 1] = 0;
  const changedHead = Buffer.from(long);
  changedHead[0] = 0;

  // Guards against a fingerprint that depends on how a body comes in (review/8).
  it.each([
    { name: 'at once', sent: { bytes: long } },
    { name: 'in pieces', sent: { bytes: long, pieceBytes: 9000 } },
    { name: 'in chunks', sent: { bytes: long, pieceBytes: 7000, isChunked: true } },
  ])('is the same for a long body that comes in $name', async ({ sent }) => {
    const expected = await (await digest({ bytes: long, pieceBytes: 60_000 })).wait();
    const made = await digest(sent);
    expect(await made.wait()).toBe(expected);
    expect(made.value).toBe(expected);
    expect(expected?.startsWith(made.start ?? '-')).toBe(true);
  });

  // Guards against a ban of requests that have only the start of their body in common.
  it.each([
    { name: 'the last byte', bytes: changedTail, sharesStart: true },
    { name: 'a further byte', bytes: Buffer.concat([long, Buffer.from('x')]), sharesStart: true },
    { name: 'the first byte', bytes: changedHead, sharesStart: false },
  ])('differs by $name', async ({ bytes, sharesStart }) => {
    const first = await digest({ bytes: long });
    const second = await digest({ bytes });
    expect(await second.wait()).not.toBe(await first.wait());
    expect(second.start === first.start).toBe(sharesStart);
  });

  it.each([
    { name: 'no body', bytes: Buffer.alloc(0) },
    { name: 'a short body', bytes: Buffer.alloc(100) },
    { name: 'a body that is just buffered', bytes: Buffer.alloc(maxBufferedBytes) },
  ])('is known at once with $name', async ({ bytes }) => {
    const { value, start } = await digest({ bytes });
    expect(value).toMatch(/^[0-9a-f]{64}$/);
    expect(start).toBeUndefined();
  });

  it('is unknown when the caller leaves before the end of the body', async () => {
    const made = await digest({ bytes: long, pieceBytes: 9000, leavesAfter: 150_000 });
    expect(await made.wait()).toBeUndefined();
    expect(made.value).toBeUndefined();
  });

  describe('with readFurther', () => {
    it.each([
      { name: 'within the buffer', maxKeptBytes: 300_000, kind: 'whole' },
      { name: 'beyond the buffer', maxKeptBytes: 100_000, kind: 'stream' },
    ])('reads a body $name', async ({ maxKeptBytes, kind }) => {
      const body = await read({ bytes: long, pieceBytes: 9000 });
      if (body.kind !== 'stream') throw new Error('the body is not streamed');
      const made = digestRequest('POST h/', body);
      const further = unwrap(await readFurther(body, maxKeptBytes, 1000));
      expect(further.kind).toBe(kind);
      if (further.kind === 'whole') expect(further.bytes.equals(long)).toBe(true);
      if (further.kind === 'stream') {
        expect(further.head.length).toBeGreaterThan(maxKeptBytes);
        further.take()?.rest.resume();
      }
      expect(await made.wait()).toBe(await (await digest({ bytes: long })).wait());
    });

    it.each([
      { name: 'leaves', sent: { pieceBytes: 9000, leavesAfter: 150_000 }, status: 400 },
      { name: 'is too slow', sent: { pieceBytes: 1000 }, status: 408 },
    ])('refuses with $status when the caller $name', async ({ sent, status }) => {
      const body = await read({ bytes: long, ...sent });
      if (body.kind !== 'stream') throw new Error('the body is not streamed');
      const further = await readFurther(body, 300_000, 60);
      expect(further.isErr() ? further.error : undefined).toMatchObject({
        status,
        verdict: 'not-run',
      });
    });
  });
});
