import { PassThrough } from 'node:stream';
import { digestRequest } from '@dotterelpass/proxy';
import { CrashTable } from '@dotterelpass/suspects';
import { ManualClock } from '@dotterelpass/values';
import type { Result } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import { RequestScreen } from '../src/screen.js';
import { UploadMemory } from '../src/uploads.js';
import { makeStreamedBody } from './streamed.js';

const head = 'POST h/scan\n';

function unwrap<Value, Failure>(result: Result<Value, Failure>): Value {
  if (result.isErr()) throw new Error(JSON.stringify(result.error));
  return result.value;
}

/** A body of which the first bytes have been read; the others come in when the stream ends. */
function makeBody(bytes: Buffer, hasLength = true) {
  const rest = new PassThrough();
  const length = hasLength ? bytes.length : undefined;
  const body = makeStreamedBody(bytes.subarray(0, 70_000), rest, length);
  const finish = () => rest.end(bytes.subarray(70_000));
  return { body, rest, finish };
}

async function digestBytes(bytes: Buffer): Promise<string> {
  const { body, rest, finish } = makeBody(bytes);
  const digest = digestRequest(head, body);
  rest.resume();
  finish();
  return (await digest.wait()) ?? '';
}

/** A screen that knows a ban of a request with these bytes. */
async function makeScreen(banned: Buffer) {
  const crashes = new CrashTable(new ManualClock());
  crashes.acceptBan({ fingerprint: await digestBytes(banned), version: undefined });
  return new RequestScreen(crashes, new UploadMemory());
}

describe('RequestScreen', () => {
  const poison = Buffer.alloc(200_000, 'scan ');
  const other = Buffer.from(poison);
  other[other.length - 1] = 0;

  it.each([
    { name: 'refuses the banned request', bytes: poison, expected: 'banned' },
    { name: 'keeps one that differs in its last byte', bytes: other, expected: 'whole' },
  ])('$name', async ({ bytes, expected }) => {
    const screen = await makeScreen(poison);
    const { body, finish } = makeBody(bytes);
    const checked = screen.check(head, body, 1000);
    finish();
    const result = await checked;
    expect(result.isErr() ? result.error : result.value.body.kind).toBe(expected);
  });

  it('leaves a body with another start to be streamed', async () => {
    const screen = await makeScreen(poison);
    const { body } = makeBody(Buffer.alloc(200_000, 'plan '));
    const result = await screen.check(head, body, 1000);
    expect(unwrap(result).body).toBe(body);
  });

  // Guards against any number of bodies in memory.
  it('keeps 16 MiB of bodies, and of the others withholds the last bytes', async () => {
    const screen = await makeScreen(poison);
    const kept = Array.from({ length: 16 }, () => makeBody(other, false));
    const checks = kept.map(({ body }) => screen.check(head, body, 1000));
    const checkNext = async (bytes: Buffer) => {
      const { body, rest, finish } = makeBody(bytes, false);
      const { body: streamed } = unwrap(await screen.check(head, body, 1000));
      if (streamed.kind !== 'stream') return streamed.kind;
      rest.resume();
      finish();
      await new Promise((resolve) => {
        rest.once('end', resolve);
      });
      return streamed.mayComplete?.();
    };
    expect(await checkNext(poison)).toBe(false);
    expect(await checkNext(other)).toBe(true);
    kept.forEach(({ finish }) => finish());
    (await Promise.all(checks)).forEach((result) => unwrap(result).release());
    const { body, finish } = makeBody(other, false);
    const next = screen.check(head, body, 1000);
    finish();
    expect(unwrap(await next).body.kind).toBe('whole');
  });
});
