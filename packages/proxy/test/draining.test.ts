import { connect } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { CallerServer, readBody, refuse } from '../src/index.js';

const get = (path: string, method = 'GET') => `${method} ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

/** A refused call whose caller has sent its body without waiting for `100 Continue`. */
const refusedUpload =
  'POST /refuse HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Time for what was sent to be handled, in milliseconds. */
const stepMs = 40;

describe('requests behind others on the connection of a server that stops', () => {
  let port = 0;
  let server: CallerServer;
  let handled: string[] = [];
  let finishSlow: (() => void)[] = [];

  beforeEach(async () => {
    handled = [];
    finishSlow = [];
    server = new CallerServer(
      async ({ request, response, id, target: { path }, acceptBody }) => {
        handled = [...handled, path];
        if (path === '/refuse') {
          refuse(response, id, { status: 404, verdict: 'not-run', message: 'refused' });
          return;
        }
        await readBody(request, 100, 1000, acceptBody);
        if (path === '/part') response.write('begun, ');
        if (path === '/slow' || path === '/part') {
          await new Promise<void>((resolve) => {
            finishSlow = [...finishSlow, resolve];
          });
        }
        response.end(`<${path}>`);
      },
      { closeDelayMs: 100 },
    );
    port = await server.listen('127.0.0.1', 0);
  });

  afterEach(() => server.close(100));

  /**
   * Plays the steps on one connection: a text is sent, `drain` begins to drain, `close` begins the
   * stop, `finish` ends the handling of a slow request.
   */
  async function play(steps: readonly string[]): Promise<{ text: string; end: string }> {
    let text = '';
    const socket = connect(port, '127.0.0.1');
    const ended = new Promise<string>((resolve) => {
      socket.on('end', () => resolve('end')).on('error', () => resolve('reset'));
    });
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    for (const step of steps) {
      if (step === 'drain') server.startDraining();
      else if (step === 'close') void server.close(5000);
      else if (step === 'finish') finishSlow.shift()?.();
      else socket.write(step);
      await sleep(stepMs);
    }
    await server.close(5000);
    return { text, end: await ended };
  }

  // Guards against a request that is run although an earlier response, whose head was written before
  // its turn, closes the connection: its own response is lost.
  it.each([
    {
      name: 'the stop begins before the first',
      steps: ['drain', get('/slow'), get('/2'), get('/3'), 'finish'],
    },
    {
      name: 'the stop begins after the first',
      steps: [get('/slow'), 'drain', get('/2'), get('/3'), 'finish'],
    },
    {
      name: 'the stop begins between the second response and the third request',
      steps: [get('/slow'), get('/2'), 'drain', get('/3'), get('/4'), 'finish'],
    },
    {
      name: 'the second request is a HEAD',
      steps: ['drain', get('/slow'), get('/2', 'HEAD'), get('/3'), 'finish'],
    },
    {
      name: 'the second request is refused',
      steps: ['drain', get('/slow'), get('/refuse'), get('/3'), 'finish'],
    },
    {
      name: 'a fourth and a fifth request come late',
      steps: ['drain', get('/slow'), get('/2'), get('/3'), get('/4'), get('/5'), 'finish'],
    },
    {
      name: 'a further one comes while the third is slow',
      steps: ['drain', get('/slow'), get('/2'), get('/slow'), 'finish', get('/4'), 'finish'],
    },
    {
      name: 'the second is written in parts',
      steps: ['drain', get('/slow'), get('/part'), get('/3'), 'finish', 'finish'],
    },
    {
      name: 'connections are closing already',
      steps: ['drain', get('/slow'), 'close', get('/2'), get('/3'), 'finish'],
    },
  ])('are all answered, and the last response closes: $name', async ({ steps }) => {
    const { text, end } = await play(steps);
    const requests = steps.filter((step) => step.includes('HTTP/1.1'));
    const heads = text.split('HTTP/1.1 ').slice(1);
    expect(handled).toHaveLength(requests.length);
    expect(heads).toHaveLength(requests.length);
    expect(heads.map((head) => head.includes('Connection: close'))).toEqual(
      heads.map((_head, index) => index === heads.length - 1),
    );
    expect(end).toBe('end');
  });

  // Guards against a request that is run although the connection is known to close before it: its
  // caller sends it again.
  it.each([
    {
      name: 'a response that is sent in parts and closes the connection',
      steps: ['drain', get('/part'), get('/2'), 'finish'],
    },
    {
      name: 'a refused upload that got no `100 Continue`',
      steps: [get('/slow'), refusedUpload, get('/2'), 'finish'],
    },
    {
      name: 'such an upload, during a stop',
      steps: ['drain', get('/slow'), refusedUpload, get('/2'), 'finish'],
    },
  ])('are not run behind $name', async ({ steps }) => {
    const { text, end } = await play(steps);
    expect(handled).not.toContain('/2');
    expect(text).not.toContain('</2>');
    expect(text).toMatch(/Connection: close/);
    expect(end).toBe('end');
  });
});
