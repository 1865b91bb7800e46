import type { RequestId, WorkspaceId } from '@dotterelpass/values';
import { describe, expect, it } from 'vitest';
import { MarkSigner, formatMark, parseHandover } from '../src/mark.js';
import type { HandoverMark, MarkedRequest } from '../src/mark.js';

const request: MarkedRequest = {
  id: 'r1' as RequestId,
  method: 'POST',
  target: { host: 'h', pathAndQuery: '/p?q=1' },
};

const mark: HandoverMark = { instance: 'one', configVersion: 7, workspace: 'a' as WorkspaceId };

function makeSigner(peerKey: string | undefined): MarkSigner {
  const signer = new MarkSigner();
  if (peerKey !== undefined) signer.setPeerKey(peerKey);
  return signer;
}

const signer = makeSigner('key');

const parse = (value: string) =>
  parseHandover({ 'dotterelpass-handed-over': value }) as HandoverMark;

const signed = signer.signMark(mark, request);

describe('a mark', () => {
  it.each([
    { name: 'a workspace', change: {} },
    { name: 'no workspace', change: { workspace: undefined } },
    { name: 'an empty name', change: { workspace: '' } },
    { name: 'spaces in the name', change: { workspace: 'a b  c' } },
    { name: 'percent signs in the name', change: { workspace: '%20%' } },
    { name: 'a name that is not ASCII', change: { workspace: 'ü€' } },
  ])('is read as it was signed, with $name', ({ change }) => {
    const original = { ...mark, ...change } as HandoverMark;
    const value = signer.signMark(original, request);
    expect(value).toMatch(/^[!-~ ]+$/);
    const read = parse(value);
    expect(read).toMatchObject({ ...original });
    expect(signer.verifyMark(read, request)).toBe(true);
  });

  /** Guards against a caller who makes a mark, or uses that of another call. */
  it.each([
    { name: 'another request id', change: { id: 'r2' as RequestId } },
    { name: 'no request id', change: { id: undefined } },
    { name: 'another method', change: { method: 'GET' } },
    { name: 'another host', change: { target: { host: 'i', pathAndQuery: '/p?q=1' } } },
    { name: 'another path', change: { target: { host: 'h', pathAndQuery: '/r?q=1' } } },
    { name: 'another query', change: { target: { host: 'h', pathAndQuery: '/p?q=2' } } },
    {
      name: 'a shifted target',
      change: { method: 'POSTh', target: { host: '', pathAndQuery: '/p?q=1' } },
    },
  ])('is not valid for $name', ({ change }) => {
    expect(signer.verifyMark(parse(signed), { ...request, ...change })).toBe(false);
  });

  it.each([
    { name: 'another instance', value: signed.replace('one', 'two') },
    { name: 'another version', value: signed.replace(' 7 ', ' 8 ') },
    { name: 'another workspace', value: signed.replace(/ a$/, ' b') },
    { name: 'no workspace', value: signed.replace(/ a$/, '') },
    { name: 'a workspace that cannot be decoded', value: signed.replace(/ a$/, ' %') },
    { name: 'no signature', value: formatMark(mark) },
    { name: 'an empty signature', value: 'one 7  a' },
    { name: 'a short signature', value: 'one 7 00 a' },
    { name: 'part of the signature', value: signed.replace(/.{2} a$/, ' a') },
    {
      name: 'a signature in capitals',
      value: signed.replace(/ [0-9a-f]{64} /, (s) => s.toUpperCase()),
    },
    { name: 'a signature that is not ASCII', value: `one 7 ${'ü'.repeat(64)} a` },
    { name: 'that of another peer key', value: makeSigner('other').signMark(mark, request) },
    { name: 'that without a peer key', value: makeSigner(undefined).signMark(mark, request) },
  ])('is not valid with $name', ({ value }) => {
    expect(signer.verifyMark(parse(value), request)).toBe(false);
  });

  /** Guards against an instance that trusts everybody until it knows the peer key. */
  it('is not valid on an instance without a peer key', () => {
    expect(makeSigner(undefined).verifyMark(parse(signed), request)).toBe(false);
    const unsigned = makeSigner(undefined).signMark(mark, request);
    expect(makeSigner(undefined).verifyMark(parse(unsigned), request)).toBe(false);
  });

  it('is signed with a new peer key after a change', () => {
    const changing = makeSigner('key');
    changing.setPeerKey('new');
    expect(changing.verifyMark(parse(signed), request)).toBe(false);
    expect(makeSigner('new').verifyMark(parse(changing.signMark(mark, request)), request)).toBe(
      true,
    );
  });
});
