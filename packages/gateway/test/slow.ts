import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { HttpTransport, KeyValueStore } from '@dotterelpass/store';
import type {
  PlatformError,
  StoreListing,
  StoreReading,
  TransportResponse,
  WatchResult,
} from '@dotterelpass/store';
import type { StorePosition } from '@dotterelpass/values';
import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Pause after each piece of a response, in milliseconds. */
const paceMs = 20;

/** Time by which a watch may exceed its wait, in milliseconds. */
const watchMarginMs = 500;

/** Time limit for the beginning of a response, in milliseconds. */
const responseTimeoutMs = 700;

const revisionHeader = 'revision';

const epoch = 1;

/** A store with one key, which sends its responses at a limited rate. */
export class SlowStore {
  readonly #server = createServer((request, response) => {
    void this.#serve(request, response);
  });

  readonly #bytesPerSecond: number;

  #value: Buffer = Buffer.alloc(0);

  #revision = 0;

  #watchers: (() => void)[] = [];

  /** Number of responses with the value. */
  reads = 0;

  constructor(bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async open(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  put(value: Buffer): void {
    this.#value = value;
    this.#revision += 1;
    const watchers = this.#watchers;
    this.#watchers = [];
    watchers.forEach((notify) => notify());
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = new URL(request.url ?? '', 'http://store');
    if (pathname === '/watch' && Number(searchParams.get('after')) >= this.#revision) {
      await this.#waitForPut(Number(searchParams.get('wait_ms')));
    }
    const hasValue =
      pathname === '/read' ||
      (pathname === '/watch' && Number(searchParams.get('after')) < this.#revision);
    const value = hasValue ? this.#value : Buffer.alloc(0);
    if (hasValue) this.reads += 1;
    response.writeHead(200, { [revisionHeader]: this.#revision });
    const pieceBytes = Math.round((this.#bytesPerSecond * paceMs) / 1000);
    for (let at = 0; at < value.length && !response.destroyed; at += pieceBytes) {
      response.write(value.subarray(at, at + pieceBytes));
      await sleep(paceMs);
    }
    response.end();
  }

  async #waitForPut(maxMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, maxMs);
      this.#watchers.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

/** Client of a {@link SlowStore}, with the time limits of a store. It only reads. */
export class SlowStoreClient extends KeyValueStore {
  readonly #transport: HttpTransport;

  constructor({ address }: SlowStore) {
    super();
    this.#transport = new HttpTransport(address, { timeoutMs: responseTimeoutMs });
  }

  override async read(key: string): Promise<Result<StoreReading, PlatformError>> {
    const response = await this.#get('/read');
    return response.map(({ body, headers }) => {
      const position = readPosition(headers);
      return { item: { key, value: body, ...position }, position };
    });
  }

  override async list(): Promise<Result<StoreListing, PlatformError>> {
    const response = await this.#get('/list');
    return response.map(({ headers }) => ({ items: [], position: readPosition(headers) }));
  }

  override async watch(
    key: string,
    { revision }: StorePosition,
    waitMs: number,
  ): Promise<Result<WatchResult, PlatformError>> {
    const query = { after: String(revision), wait_ms: String(waitMs) };
    const response = await this.#get('/watch', query, waitMs + watchMarginMs);
    return response.map(({ body, headers }) => {
      const position = readPosition(headers);
      const items = body.length > 0 ? [{ key, value: body, ...position }] : [];
      return { kind: 'changes', items, removed: [], position };
    });
  }

  override async put(): Promise<Result<boolean, PlatformError>> {
    return ok(false);
  }

  override async create(): Promise<Result<readonly [], PlatformError>> {
    return ok([]);
  }

  override async createLease(): Promise<Result<number, PlatformError>> {
    return ok(1);
  }

  override close(): void {
    this.#transport.close();
  }

  async #get(
    path: string,
    query: Record<string, string> = {},
    timeoutMs = responseTimeoutMs,
  ): Promise<Result<TransportResponse, PlatformError>> {
    const target = `${path}?${new URLSearchParams(query).toString()}`;
    return this.#transport.send({
      method: 'GET',
      path: target,
      timeoutMs,
      budget: undefined,
    });
  }
}

function readPosition(headers: TransportResponse['headers']): StorePosition {
  return { epoch, revision: Number(headers[revisionHeader]) };
}
