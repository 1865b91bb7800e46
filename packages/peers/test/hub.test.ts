import { afterEach, describe, expect, it } from 'vitest';
import { createLogger } from '@dotterelpass/telemetry';
import type { Incarnation, InstanceId } from '@dotterelpass/values';
import { PeerTransport } from '../src/hub.js';

const key = 'a shared key of tests';
const hubs: PeerTransport[] = [];

async function openHub(
  name: string,
  peerKey = key,
): Promise<{ hub: PeerTransport; address: string }> {
  const identity = { instance: name as InstanceId, incarnation: `${name}-1` as Incarnation };
  const hub = new PeerTransport(identity, peerKey, createLogger('peers'));
  hub.handle('echo', (body, from) => ({ ...body, from: from.instance }));
  hub.handle('broken', () => {
    throw new RangeError('no such thing');
  });
  const port = await hub.listen('127.0.0.1', 0);
  hubs.push(hub);
  return { hub, address: `127.0.0.1:${port}` };
}

afterEach(() => hubs.splice(0).forEach((hub) => hub.close()));

describe('links between entry instances', () => {
  const b = 'b' as InstanceId;

  /** Guards the pairing of answers with requests, and errors that must not look like answers. */
  it.each([
    { type: 'echo', expected: { value: { n: 7, from: 'a' } } },
    { type: 'broken', expected: { error: { kind: 'failed', message: 'no such thing' } } },
    { type: 'unknown', expected: { error: { kind: 'failed', message: 'no handler for unknown' } } },
  ])('answers $type', async ({ type, expected }) => {
    const { hub } = await openHub('a');
    const other = await openHub('b');
    hub.setAddress(b, other.address);
    expect(await hub.request(b, type, { n: 7 }, 5000)).toMatchObject(expected);
  });

  /** Guards against strangers: without the shared key no message reaches a handler. */
  it('refuses a peer with another key', async () => {
    const { hub } = await openHub('a', 'another key of tests');
    const other = await openHub('b');
    hub.setAddress(b, other.address);
    const answer = await hub.request(b, 'echo', {}, 5000);
    expect(answer.isErr() && answer.error.kind).toBe('unreachable');
  });

  /** Guards the proof that a dead process has not acted: nothing listens on its port. */
  it('tells a refused connection from a lost answer', async () => {
    const { hub } = await openHub('a');
    const other = await openHub('b');
    hub.setAddress(b, other.address);
    other.hub.close();
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    const answer = await hub.request(b, 'echo', {}, 5000);
    expect(answer.isErr() && answer.error.kind).toBe('refused');
  });
});
