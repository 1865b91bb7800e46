import { afterEach, describe, expect, it } from 'vitest';
import { createLogger } from '@dotterelpass/telemetry';
import type { Incarnation, InstanceId } from '@dotterelpass/values';
import { PeerTransport } from '../src/transport.js';

const sharedKey = 'a shared key of tests';
const transports: PeerTransport[] = [];

async function openTransport(
  name: string,
  peerKey = sharedKey,
): Promise<{ transport: PeerTransport; address: string }> {
  const identity = { instance: name as InstanceId, incarnation: `${name}-1` as Incarnation };
  const transport = new PeerTransport(identity, peerKey, createLogger('peers'));
  transport.handle('echo', (body, from) => ({ ...body, from: from.instance }));
  transport.handle('broken', () => {
    throw new RangeError('no such thing');
  });
  const port = await transport.listen('127.0.0.1', 0);
  transports.push(transport);
  return { transport, address: `127.0.0.1:${port}` };
}

afterEach(() => transports.splice(0).forEach((transport) => transport.close()));

describe('PeerTransport', () => {
  const b = 'b' as InstanceId;

  // Guards against a response that is matched to the wrong request, and against a handler's error
  // that is returned as a successful response.
  it.each([
    { type: 'echo', expected: { value: { n: 7, from: 'a' } } },
    { type: 'broken', expected: { error: { kind: 'failed', message: 'no such thing' } } },
    { type: 'unknown', expected: { error: { kind: 'failed', message: 'no handler for unknown' } } },
  ])('responds to a request of type $type', async ({ type, expected }) => {
    const { transport } = await openTransport('a');
    const peer = await openTransport('b');
    transport.setAddress(b, peer.address);
    expect(await transport.request(b, type, { n: 7 }, 5000)).toMatchObject(expected);
  });

  // Guards against unauthenticated peers: without the shared key no message may reach a handler.
  it('refuses a connection from a peer that uses another key', async () => {
    const { transport } = await openTransport('a', 'another key of tests');
    const peer = await openTransport('b');
    transport.setAddress(b, peer.address);
    const response = await transport.request(b, 'echo', {}, 5000);
    expect(response.isErr() && response.error.kind).toBe('unreachable');
  });

  // Guards against a refused connection that is reported as a lost response. Only the kind
  // `refused` proves that the peer's process has ended and has not handled the request.
  it('reports a refused connection as refused', async () => {
    const { transport } = await openTransport('a');
    const peer = await openTransport('b');
    transport.setAddress(b, peer.address);
    peer.transport.close();
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    const response = await transport.request(b, 'echo', {}, 5000);
    expect(response.isErr() && response.error.kind).toBe('refused');
  });
});
