import { createServer, connect } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { Pipe, pipeFaultSchema } from '../src/pipe.js';
import { Store } from '../src/store.js';

describe('platform store', () => {
  /** Guards against lost updates: compare-and-swap must not overwrite a key that has changed. */
  it.each([
    { name: 'a new key with index 0', before: [], cas: 0, written: true },
    { name: 'an existing key with index 0', before: ['x'], cas: 0, written: false },
    { name: 'a changed key with its old index', before: ['x', 'y'], cas: 2, written: false },
    { name: 'an unchanged key with its index', before: ['x', 'y'], cas: 3, written: true },
  ])('compare-and-swap of $name: written is $written', ({ before, cas, written }) => {
    const store = new Store(0);
    before.forEach((value) => store.write('key', Buffer.from(value)));
    expect(store.write('key', Buffer.from('z'), cas)).toBe(written);
  });

  /** Guards against two sessions that hold the same lease. */
  it('grants a lease to one session until that session releases the lease', () => {
    const store = new Store(0);
    const [first, second] = [store.openSession(60_000), store.openSession(60_000)];
    expect(store.acquire('lease', Buffer.alloc(0), first)).toBe(true);
    expect(store.acquire('lease', Buffer.alloc(0), second)).toBe(false);
    expect(store.release('lease', second)).toBe(false);
    expect(store.release('lease', first)).toBe(true);
    expect(store.acquire('lease', Buffer.alloc(0), second)).toBe(true);
  });

  /** Guards against watches that miss a change below their prefix. */
  it('ends a watch when a key below its prefix changes', async () => {
    const store = new Store(0);
    store.write('a/1', Buffer.from('x'));
    const waiting = store.waitForChange('a/', true, store.index, new AbortController().signal);
    store.write('b/1', Buffer.from('x'));
    store.write('a/2', Buffer.from('y'));
    await waiting;
    expect(store.read('a/', true).map(({ Key }) => Key)).toEqual(['a/1', 'a/2']);
  });
});

describe('fault-injecting proxy', () => {
  const opened: { close(): void }[] = [];
  const sockets: Socket[] = [];

  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    opened.splice(0).forEach((resource) => resource.close());
  });

  async function openEcho(): Promise<number> {
    const server: Server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.pipe(socket);
    });
    opened.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  async function openPipe(): Promise<{ pipe: Pipe; port: number }> {
    const target = `127.0.0.1:${await openEcho()}`;
    const pipe = new Pipe({ listen: '127.0.0.1:0', target });
    opened.push(pipe);
    return { pipe, port: await pipe.open() };
  }

  /** Sends a text and returns the echo, the error, `closed`, or `silence` after a timeout. */
  async function echo(socket: Socket, text: string): Promise<string> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve('silence'), 300);
      const finish = (result: string) => {
        clearTimeout(timer);
        resolve(result);
      };
      socket.once('data', (chunk) => finish(chunk.toString()));
      socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code ?? 'error'));
      socket.once('close', () => finish('closed'));
      socket.write(text);
    });
  }

  function openSocket(port: number): Socket {
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    return socket;
  }

  /** Guards against faults that affect the wrong connections, open or new. */
  it.each([
    { name: 'no fault', faults: {}, open: 'two', fresh: 'two' },
    { name: 'a delay', faults: { delayMs: 5 }, open: 'two', fresh: 'two' },
    {
      name: 'silent open connections',
      faults: { silenceOpen: true },
      open: 'silence',
      fresh: 'two',
    },
    { name: 'silence', faults: { silent: true }, open: 'silence', fresh: 'silence' },
    { name: 'a one-way link', faults: { dropAnswers: true }, open: 'silence', fresh: 'silence' },
    { name: 'resets', faults: { resetOpen: true }, open: 'ECONNRESET', fresh: 'two' },
    { name: 'refusals', faults: { refuse: true }, open: 'two', fresh: 'ECONNRESET' },
    { name: 'cuts', faults: { cutAfterBytes: 1 }, open: 'closed', fresh: 'closed' },
  ])('with $name: open gives $open, new gives $fresh', async ({ faults, open, fresh }) => {
    const { pipe, port } = await openPipe();
    const socket = openSocket(port);
    expect(await echo(socket, 'one')).toBe('one');
    pipe.setFaults(pipeFaultSchema.parse(faults));
    const openResult = await echo(socket, 'two');
    // With a cut connection, the data may arrive before the close.
    expect(open === 'closed' ? ['closed', 'two'] : [open]).toContain(openResult);
    const freshResult = await echo(openSocket(port), 'two');
    expect(fresh === 'closed' ? ['closed', 'two'] : [fresh]).toContain(freshResult);
  });
});
