import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { StreamTable } from '../src/index.js';

const stallMs = 2000;

describe('StreamTable', () => {
  let table: StreamTable;
  let ended: string[] = [];

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] });
    table = new StreamTable({ maxStreams: 2, stallMs });
    ended = [];
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  function addStream(name: string) {
    const stream = table.add(() => {
      ended = [...ended, name];
      stream.close();
    });
    return stream;
  }

  // Guards against callers that read nothing and use up the memory for those that do.
  it.each([
    { name: 'none within the limit', stalled: ['a', 'b'], reading: [], expected: [] },
    { name: 'none that is read', stalled: [], reading: ['a', 'b', 'c'], expected: [] },
    { name: 'the oldest beyond it', stalled: ['a', 'b', 'c'], reading: [], expected: ['a'] },
    { name: 'stalled ones only', stalled: ['b'], reading: ['a', 'c', 'd'], expected: ['b'] },
    { name: 'as many as needed', stalled: ['a', 'b', 'c', 'd'], reading: [], expected: ['a', 'b'] },
  ])('ends $name', ({ stalled, reading, expected }) => {
    reading.forEach(addStream);
    stalled.forEach((name) => {
      addStream(name).stall();
      vi.advanceTimersByTime(1);
    });
    vi.advanceTimersByTime(2 * stallMs);
    expect(ended).toEqual(expected);
  });

  it('does not end a stream whose caller reads again in time', () => {
    const streams = ['a', 'b', 'c'].map(addStream);
    for (let step = 0; step < 10; step++) {
      streams.forEach((stream) => stream.stall());
      vi.advanceTimersByTime(stallMs - 1);
      streams.forEach((stream) => stream.resume());
    }
    expect(ended).toEqual([]);
  });

  it('is full at twice the limit, until a stream ends', () => {
    const streams = ['a', 'b', 'c', 'd'].map(addStream);
    expect(table.isFull).toBe(true);
    streams[0]?.close();
    expect(table.isFull).toBe(false);
  });
});
