import { createServer, connect } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { z } from 'zod';

/** Faults of one proxied route. They hold for open and new connections, unless said otherwise. */
export const pipeFaultSchema = z.object({
  /** Added to every piece of data in each direction, in milliseconds. */
  delayMs: z.number().min(0).max(60_000).default(0),
  /** New connections are closed at once. */
  refuse: z.boolean().default(false),
  /** Connections that are open now carry nothing more; new ones work. */
  silenceOpen: z.boolean().default(false),
  /** No connection carries anything. */
  silent: z.boolean().default(false),
  /** Data from the target is dropped, data to it passes: a one-way link. */
  dropAnswers: z.boolean().default(false),
  /** Closes all connections that are open now with a reset. */
  resetOpen: z.boolean().default(false),
  /** Closes each connection after this many bytes from the target; 0 for never. */
  cutAfterBytes: z.number().int().min(0).default(0),
});

export type PipeFaults = z.infer<typeof pipeFaultSchema>;

/** The text form of a route: where to listen and where to connect to. */
export interface Route {
  readonly listen: string;
  readonly target: string;
}

interface Pair {
  readonly caller: Socket;
  readonly target: Socket;
  silenced: boolean;
}

/** A fault-injecting TCP proxy for one route. */
export class Pipe {
  readonly #route: Route;

  readonly #server: Server;

  readonly #pairs = new Set<Pair>();

  /** Extra one-way delay by the IP address of the connecting side, in milliseconds. */
  readonly #distances: ReadonlyMap<string, number>;

  #faults: PipeFaults = pipeFaultSchema.parse({});

  constructor(route: Route, distances: ReadonlyMap<string, number> = new Map()) {
    this.#route = route;
    this.#distances = distances;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  get faults(): PipeFaults {
    return this.#faults;
  }

  /** Open connections. */
  get size(): number {
    return this.#pairs.size;
  }

  /** @returns The port on which it listens. */
  async open(): Promise<number> {
    const [ip, port] = this.#route.listen.split(':');
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(Number(port), ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Replaces the faults; those about open connections act once. */
  setFaults(faults: PipeFaults): void {
    this.#faults = faults;
    for (const pair of this.#pairs) {
      if (faults.silenceOpen) pair.silenced = true;
      if (faults.resetOpen) {
        pair.caller.resetAndDestroy();
        pair.target.resetAndDestroy();
      }
    }
  }

  /** Closes everything. */
  close(): void {
    this.#server.close();
    this.#pairs.forEach(({ caller, target }) => {
      caller.destroy();
      target.destroy();
    });
  }

  #accept(caller: Socket): void {
    if (this.#faults.refuse) {
      caller.resetAndDestroy();
      return;
    }
    const [host = '', port = ''] = this.#route.target.split(':');
    const target = connect({ host, port: Number(port), noDelay: true });
    caller.setNoDelay(true);
    const pair: Pair = { caller, target, silenced: false };
    this.#pairs.add(pair);
    const distanceMs = this.#distances.get(caller.remoteAddress ?? '') ?? 0;
    let answered = 0;
    const toTarget = new DelayedWriter(target);
    const toCaller = new DelayedWriter(caller);
    caller.on('data', (chunk: Buffer) => {
      if (!this.#isSilent(pair)) toTarget.write(chunk, this.#faults.delayMs + distanceMs);
    });
    target.on('data', (chunk: Buffer) => {
      if (this.#isSilent(pair) || this.#faults.dropAnswers) return;
      answered += chunk.length;
      toCaller.write(chunk, this.#faults.delayMs + distanceMs);
      if (this.#faults.cutAfterBytes > 0 && answered >= this.#faults.cutAfterBytes) {
        caller.destroy();
      }
    });
    const end = (from: Socket, writer: DelayedWriter) => {
      from.on('error', () => undefined);
      from.on('close', () => {
        this.#pairs.delete(pair);
        // A silent connection does not even tell that its other side has closed.
        if (!this.#isSilent(pair)) writer.end(this.#faults.delayMs + distanceMs);
      });
    };
    end(caller, toTarget);
    end(target, toCaller);
  }

  #isSilent(pair: Pair): boolean {
    return pair.silenced || this.#faults.silent;
  }
}

/** Timers of Node are late by up to this long, so the rest of a delay is spent polling. */
const timerLagMs = 1.2;

/** Writes data to a socket after a delay, in order. */
class DelayedWriter {
  readonly #socket: Socket;

  #waiting: { dueAt: number; chunk: Buffer | undefined }[] = [];

  #armed = false;

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
    if (delayMs === 0 && this.#waiting.length === 0) this.#deliver(chunk);
    else {
      this.#waiting.push({ dueAt: performance.now() + delayMs, chunk });
      this.#arm();
    }
  }

  #arm(): void {
    const next = this.#waiting[0];
    if (this.#armed || !next) return;
    this.#armed = true;
    const restMs = next.dueAt - performance.now();
    const wake = () => {
      this.#armed = false;
      this.#flush();
    };
    if (restMs > timerLagMs) setTimeout(wake, restMs - timerLagMs);
    else setImmediate(wake);
  }

  #flush(): void {
    const now = performance.now();
    while (this.#waiting[0] && this.#waiting[0].dueAt <= now) {
      this.#deliver(this.#waiting.shift()?.chunk);
    }
    this.#arm();
  }

  #deliver(chunk: Buffer | undefined): void {
    if (chunk === undefined) this.#socket.destroy();
    else if (!this.#socket.destroyed) this.#socket.write(chunk);
  }
}
