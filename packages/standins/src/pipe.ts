import { createServer, connect } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { z } from 'zod';

/** Faults of one proxied route. They affect open and new connections unless stated otherwise. */
export const pipeFaultSchema = z.object({
  /** Delay of the data in each direction, in milliseconds. */
  delayMs: z.number().min(0).max(60_000).default(0),
  /** Resets new connections immediately. */
  refuse: z.boolean().default(false),
  /** Silences the connections that are open when the fault is set; new connections work. */
  silenceOpen: z.boolean().default(false),
  /** Silences all connections: they stay open, but their data and their close are not forwarded. */
  silent: z.boolean().default(false),
  /** Drops data from the target but forwards data to the target, as a one-way link does. */
  dropAnswers: z.boolean().default(false),
  /** Resets all connections that are open when the fault is set. */
  resetOpen: z.boolean().default(false),
  /** Closes each connection after this many bytes from the target; 0 disables the fault. */
  cutAfterBytes: z.number().int().min(0).default(0),
});

export type PipeFaults = z.infer<typeof pipeFaultSchema>;

/** Addresses of a route as `IP:PORT`: the listener, and the target of its connections. */
export interface Route {
  readonly listen: string;
  readonly target: string;
}

interface ConnectionPair {
  /** IP address of the caller. */
  readonly source: string;
  readonly caller: Socket;
  readonly target: Socket;
  silenced: boolean;
}

/** A fault-injecting TCP proxy for one route. */
export class Pipe {
  readonly #route: Route;

  readonly #server: Server;

  readonly #pairs = new Set<ConnectionPair>();

  /** Additional one-way delay by the source IP address of a connection, in milliseconds. */
  readonly #delayMsBySource: ReadonlyMap<string, number>;

  #faults: PipeFaults = pipeFaultSchema.parse({});

  /** Faults that replace the others for the connections from one IP address. */
  readonly #faultsBySource = new Map<string, PipeFaults>();

  readonly #keepsSource: boolean;

  /**
   * @param route - Addresses of the listener and of the target.
   * @param delayMsBySource - Additional one-way delay by source, in milliseconds.
   * @param keepsSource - Whether connections to the target come from the IP address of the caller,
   * which must be one of this machine.
   */
  constructor(
    route: Route,
    delayMsBySource: ReadonlyMap<string, number> = new Map(),
    keepsSource = false,
  ) {
    this.#keepsSource = keepsSource;
    this.#route = route;
    this.#delayMsBySource = delayMsBySource;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  get faults(): PipeFaults {
    return this.#faults;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#pairs.size;
  }

  /**
   * Starts listening.
   *
   * @returns The port.
   */
  async open(): Promise<number> {
    const [ip, port] = this.#route.listen.split(':');
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(Number(port), ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Replaces the faults. `silenceOpen` and `resetOpen` affect only the connections that are open at
   * this moment.
   */
  setFaults(faults: PipeFaults): void {
    this.#faults = faults;
    this.#pairs.forEach((pair) => disturbOpen(pair, faults));
  }

  /**
   * Replaces the faults of the connections from one IP address.
   *
   * @param source - The IP address.
   * @param faults - The faults; undefined lets the general ones apply again.
   */
  setSourceFaults(source: string, faults: PipeFaults | undefined): void {
    if (!faults) {
      this.#faultsBySource.delete(source);
      return;
    }
    this.#faultsBySource.set(source, faults);
    this.#pairs.forEach((pair) => {
      if (pair.source === source) disturbOpen(pair, faults);
    });
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.#server.close();
    this.#pairs.forEach(({ caller, target }) => {
      caller.destroy();
      target.destroy();
    });
  }

  #accept(caller: Socket): void {
    const source = caller.remoteAddress ?? '';
    if (this.#getFaults(source).refuse) {
      caller.resetAndDestroy();
      return;
    }
    const [host = '', port = ''] = this.#route.target.split(':');
    const localAddress = this.#keepsSource ? source : undefined;
    const target = connect({ host, port: Number(port), noDelay: true, localAddress });
    caller.setNoDelay(true);
    const pair: ConnectionPair = { source, caller, target, silenced: false };
    this.#pairs.add(pair);
    const sourceDelayMs = this.#delayMsBySource.get(source) ?? 0;
    const getDelayMs = () => this.#getFaults(source).delayMs + sourceDelayMs;
    let targetBytes = 0;
    const toTarget = new DelayedWriter(target);
    const toCaller = new DelayedWriter(caller);
    caller.on('data', (chunk: Buffer) => {
      if (!this.#isSilent(pair)) toTarget.write(chunk, getDelayMs());
    });
    target.on('data', (chunk: Buffer) => {
      const { dropAnswers, cutAfterBytes } = this.#getFaults(source);
      if (this.#isSilent(pair) || dropAnswers) return;
      targetBytes += chunk.length;
      toCaller.write(chunk, getDelayMs());
      if (cutAfterBytes > 0 && targetBytes >= cutAfterBytes) caller.destroy();
    });
    const forwardClose = (from: Socket, writer: DelayedWriter) => {
      from.on('error', () => undefined);
      from.on('close', () => {
        this.#pairs.delete(pair);
        // A silent connection does not forward the close of its peer either.
        if (!this.#isSilent(pair)) writer.end(getDelayMs());
      });
    };
    forwardClose(caller, toTarget);
    forwardClose(target, toCaller);
  }

  #isSilent(pair: ConnectionPair): boolean {
    return pair.silenced || this.#getFaults(pair.source).silent;
  }

  #getFaults(source: string): PipeFaults {
    return this.#faultsBySource.get(source) ?? this.#faults;
  }
}

/** Applies the faults that affect only the connections that are open at this moment. */
function disturbOpen(pair: ConnectionPair, { silenceOpen, resetOpen }: PipeFaults): void {
  if (silenceOpen) Object.assign(pair, { silenced: true });
  if (!resetOpen) return;
  pair.caller.resetAndDestroy();
  pair.target.resetAndDestroy();
}

/** Node timers fire late by up to this time, so the last part of a delay is polled. */
const timerLagMs = 1.2;

/** Writes data to a socket in order, each chunk after its delay. */
class DelayedWriter {
  readonly #socket: Socket;

  #pending: { dueAt: number; chunk: Buffer | undefined }[] = [];

  #isScheduled = false;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  write(chunk: Buffer, delayMs: number): void {
    this.#push(chunk, delayMs);
  }

  end(delayMs: number): void {
    this.#push(undefined, delayMs);
  }

  #push(chunk: Buffer | undefined, delayMs: number): void {
    if (delayMs === 0 && this.#pending.length === 0) this.#deliver(chunk);
    else {
      this.#pending.push({ dueAt: performance.now() + delayMs, chunk });
      this.#schedule();
    }
  }

  #schedule(): void {
    const next = this.#pending[0];
    if (this.#isScheduled || !next) return;
    this.#isScheduled = true;
    const remainingMs = next.dueAt - performance.now();
    const flush = () => {
      this.#isScheduled = false;
      this.#flush();
    };
    if (remainingMs > timerLagMs) setTimeout(flush, remainingMs - timerLagMs);
    else setImmediate(flush);
  }

  #flush(): void {
    const now = performance.now();
    while (this.#pending[0] && this.#pending[0].dueAt <= now) {
      this.#deliver(this.#pending.shift()?.chunk);
    }
    this.#schedule();
  }

  #deliver(chunk: Buffer | undefined): void {
    if (chunk === undefined) this.#socket.destroy();
    else if (!this.#socket.destroyed) this.#socket.write(chunk);
  }
}
