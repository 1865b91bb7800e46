import type { RequestListener, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';

const callerCount = 300;

const piece = Buffer.alloc(64 * 1024, 'x');

/** Below the size up to which an answer is buffered. */
const answerPieces = 15;

/** Bytes that are kept of all answers together; their blocks may be twice as large. */
const maxKeptBytes = 48 * 1024 * 1024;

/** What a connection takes that is not being read. */
const connectionBytes = 256 * 1024;

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('answers to many callers that read nothing', () => {
  let bed: GatewayBed;
  let callers: Socket[] = [];

  beforeEach(() => {
    bed = new GatewayBed();
    callers = [];
  });

  afterEach(async () => {
    callers.forEach((caller) => caller.destroy());
    await bed.close();
  });

  function openCaller(): void {
    const caller = connect(bed.port, '127.0.0.1');
    caller.on('error', () => undefined).pause();
    caller.write('GET /large HTTP/1.1\r\nHost: h\r\n\r\n');
    callers = [...callers, caller];
  }

  const writeEndlessly = (response: ServerResponse) => {
    let mayWrite = true;
    while (mayWrite && !response.destroyed) mayWrite = response.write(piece);
    if (response.destroyed) return;
    response.once('drain', () => writeEndlessly(response));
  };

  // Guards against a process that ends for lack of memory, with the calls of all others: each answer
  // keeps within the bound of one, but not all of them together.
  it.each([
    {
      name: 'that stop below the bound of one',
      respond: (response: ServerResponse) => {
        for (let count = 0; count < answerPieces; count++) response.write(piece);
      },
    },
    { name: 'without end', respond: writeEndlessly },
  ])('are kept within one bound: $name', async ({ respond }) => {
    const handle: RequestListener = (_request, response) => respond(response);
    await bed.start(...Array<RequestListener>(4).fill(handle));
    const before = process.memoryUsage().arrayBuffers;
    let most = 0;
    for (let count = 0; count < callerCount; count++) {
      openCaller();
      if (count % 20 === 0) await sleep(10);
      most = Math.max(most, process.memoryUsage().arrayBuffers - before);
    }
    for (let step = 0; step < 20; step++) {
      await sleep(50);
      most = Math.max(most, process.memoryUsage().arrayBuffers - before);
    }
    expect(most).toBeLessThan(2 * maxKeptBytes + callerCount * connectionBytes);
  });
});
