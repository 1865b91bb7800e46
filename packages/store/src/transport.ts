import { Agent, request } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Metrics } from '@dotterelpass/telemetry';
import { ByteCollector, isFinalStatus } from '@dotterelpass/values';
import type { FleetRates, RateBudget } from './budget.js';

/** A failed platform call. */
export interface PlatformError {
  readonly kind: 'unreachable' | 'timeout' | 'rate-limited' | 'refused' | 'bad-answer';
  readonly message: string;
  /** Whether a write may have taken effect: `no` proves that it has not. */
  readonly applied: 'no' | 'unknown';
}

/** Options of a transport. */
export interface TransportOptions {
  /** Rate limit of the calls; without it they are not limited. */
  readonly budget?: RateBudget;
  readonly metrics?: Pick<Metrics, 'recordEvent'>;
  /**
   * Time limit for the beginning of a response, other than to a watch, and between two pieces of any
   * response, in milliseconds.
   */
  readonly timeoutMs?: number;
}

/** A call to the platform. */
export interface TransportRequest {
  readonly method: string;
  readonly path: string;
  readonly body?: Buffer | undefined;
  /** Time limit for the beginning of the response, in milliseconds. */
  readonly timeoutMs: number;
  /** The rate that the call counts against; undefined when it is not rate limited. */
  readonly budget: keyof FleetRates | undefined;
}

/** A complete response of the platform, with any final status. */
export interface TransportResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

const defaultTimeoutMs = 2000;

/** Maximum size of a response, in bytes: several times that of a page or of a whole history. */
const maxResponseBytes = 16 * 1024 * 1024;

/** Time limit of a whole response, however many pieces it comes in, in milliseconds. */
const maxTransferMs = 10_000;

/** Longest time that a call waits for its rate limit before it fails. */
const maxBudgetWaitMs = 500;

/** Sends HTTP calls to the platform, each with a rate limit and a timeout. */
export class HttpTransport {
  readonly #host: string;

  readonly #port: number;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64, scheduling: 'lifo' });

  readonly #options: TransportOptions;

  /** Time limit of calls other than watches, in milliseconds. */
  readonly timeoutMs: number;

  #callCount = 0;

  /**
   * @param address - IP address and port of the platform.
   * @param options - Options that differ from the defaults.
   */
  constructor(address: string, options: TransportOptions = {}) {
    this.#options = options;
    this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    const [host = '', port = ''] = address.split(':');
    if (!host || !port) throw new RangeError(`invalid platform address ${JSON.stringify(address)}`);
    this.#host = host;
    this.#port = Number(port);
  }

  /** Number of calls sent so far; a watch counts as one. */
  get callCount(): number {
    return this.#callCount;
  }

  /** Closes all connections; pending calls fail. */
  close(): void {
    this.#agent.destroy();
  }

  /**
   * Sends a call and waits for its response.
   *
   * @param call - The call.
   * @returns The response, or the reason why there is none.
   */
  async send(call: TransportRequest): Promise<Result<TransportResponse, PlatformError>> {
    const limitError = call.budget && (await this.#waitForBudget(call.budget));
    if (limitError) return err(limitError);
    this.#callCount += 1;
    const response = await this.#sendRequest(call);
    const outcome = response.isOk() ? 'answered' : response.error.kind;
    this.#options.metrics?.recordEvent(`platform-${outcome}`);
    return response;
  }

  async #waitForBudget(kind: keyof FleetRates): Promise<PlatformError | undefined> {
    const { budget, metrics } = this.#options;
    let waitedMs = 0;
    for (let waitMs = budget?.acquire(kind) ?? 0; waitMs > 0; waitMs = budget?.acquire(kind) ?? 0) {
      waitedMs += waitMs;
      if (waitedMs > maxBudgetWaitMs) {
        metrics?.recordEvent('platform-budget-spent');
        const message = `this instance has used up its share of platform ${kind}`;
        return { kind: 'rate-limited', message, applied: 'no' };
      }
      await sleep(waitMs);
    }
    return undefined;
  }

  async #sendRequest({
    method,
    path,
    body,
    timeoutMs,
  }: TransportRequest): Promise<Result<TransportResponse, PlatformError>> {
    return new Promise((resolve) => {
      const outgoing = request({
        agent: this.#agent,
        host: this.#host,
        port: this.#port,
        method,
        path,
        headers: body ? { 'content-type': 'application/json', 'content-length': body.length } : {},
      });
      const expire = (message: string) => {
        // The network may have dropped this connection and the idle ones without a reset. New
        // connections may still work.
        outgoing.destroy();
        Object.values(this.#agent.freeSockets).forEach((sockets) =>
          sockets?.forEach((socket) => socket.destroy()),
        );
        resolve(err({ kind: 'timeout', message, applied: 'unknown' }));
      };
      let timer = setTimeout(() => expire(`no response within ${timeoutMs} ms`), timeoutMs);
      const startedAt = performance.now();
      const extend = () => {
        clearTimeout(timer);
        const leftMs = Math.max(0, startedAt + timeoutMs + maxTransferMs - performance.now());
        const message = 'the response stalled or took too long';
        timer = setTimeout(() => expire(message), Math.min(this.timeoutMs, leftMs));
      };
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        const applied = error.code === 'ECONNREFUSED' ? 'no' : 'unknown';
        resolve(err({ kind: 'unreachable', message: error.message, applied }));
      });
      const rejectResponse = (message: string) => {
        clearTimeout(timer);
        outgoing.destroy();
        resolve(err({ kind: 'bad-answer', message, applied: 'unknown' }));
      };
      outgoing.on('upgrade', () => rejectResponse('the response switches protocols'));
      outgoing.on('response', (response) => {
        const { statusCode: status = 0, headers } = response;
        if (!isFinalStatus(status)) {
          response.on('error', () => undefined);
          rejectResponse(`the response has the invalid status ${status}`);
          return;
        }
        const bytes = new ByteCollector();
        extend();
        response.on('data', (chunk: Buffer) => {
          extend();
          bytes.add(chunk);
          if (bytes.size > maxResponseBytes) response.destroy();
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          clearTimeout(timer);
          if (!response.complete) {
            const message = 'the response is incomplete';
            resolve(err({ kind: 'unreachable', message, applied: 'unknown' }));
            return;
          }
          resolve(ok({ status, headers, body: bytes.toBuffer() }));
        });
      });
      outgoing.end(body);
    });
  }
}

/** @returns The error for a response with an unexpected status. */
export function toStatusError(status: number, body: Buffer): PlatformError {
  const message = `status ${status}: ${body.toString().slice(0, 200)}`;
  if (status === 429) return { kind: 'rate-limited', message, applied: 'no' };
  return { kind: 'refused', message, applied: status >= 500 ? 'unknown' : 'no' };
}

/** Parses the body of a response as JSON. Its structure is not checked. */
export function parseJson<T>(body: Buffer): Result<T, PlatformError> {
  try {
    return ok(JSON.parse(body.toString()) as T);
  } catch {
    return err({
      kind: 'bad-answer',
      message: 'the response body is not valid JSON',
      applied: 'unknown',
    });
  }
}
