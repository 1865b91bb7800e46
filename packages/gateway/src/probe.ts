import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { ChunkPacer, FramingMeter, isParserError, limitHead } from '@dotterelpass/proxy';
import type { ConnectionPool } from '@dotterelpass/proxy';
import { isFinalStatus } from '@dotterelpass/values';
import type { HeaderCodec, ResponseHead } from './codec.js';

/** Time after which the result of a probe no longer waits for the response. */
const probeTimeoutMs = 100;

/** Time limit for the response on a connection that the endpoint has accepted. */
const lateProbeTimeoutMs = 3000;

/** Maximum size of a response body, in bytes. Health responses need none. */
const maxBodyBytes = 64 * 1024;

/** Maximum number of informational responses (1xx) before the response. */
const maxInformationalResponses = 8;

/** What is known of an endpoint `probeTimeoutMs` after a probe was sent, or earlier. */
export type ProbeReply =
  | { readonly kind: 'answered'; readonly head: ResponseHead }
  /**
   * The endpoint has accepted the connection but not answered: a new connection to an endpoint
   * whose slots are all in use waits for one of them. `answer` is undefined when none came in time.
   */
  | { readonly kind: 'waiting'; readonly answer: Promise<ResponseHead | undefined> }
  /** The endpoint has reset a new connection after accepting it, as it does when it is full. */
  | { readonly kind: 'full' }
  /**
   * A connection that had been idle was reset or silent, or carried an answer to an earlier call. That
   * says nothing of the endpoint.
   */
  | { readonly kind: 'stale-connection' }
  /** No connection could be established, or what came back on a new one is no valid response. */
  | { readonly kind: 'unreachable' };

/**
 * Sends a health request on an idle connection of a pool, or on a new one.
 *
 * @param pool - Connections to the endpoint.
 * @param address - IP address and port of the endpoint.
 * @param path - Health path of its service.
 * @param headerCodec - Tells answers to calls from the answer to the probe.
 * @returns What is known after `probeTimeoutMs` or earlier. The connection stays open while the
 * endpoint may still answer on it.
 */
export async function sendProbe(
  pool: ConnectionPool,
  address: string,
  path: string,
  headerCodec: HeaderCodec,
): Promise<ProbeReply> {
  const probe = new ProbeRequest(pool, address, path, headerCodec);
  const head = await Promise.race([probe.answer, sleepPastPendingInput(probeTimeoutMs)]);
  if (typeof head === 'object') return { kind: 'answered', head };
  if (probe.isReused) {
    probe.destroy();
    return { kind: 'stale-connection' };
  }
  if (head === undefined) {
    return { kind: probe.isAccepted && !probe.isInvalid ? 'full' : 'unreachable' };
  }
  if (probe.mayBeAnswered) return { kind: 'waiting', answer: probe.answer };
  probe.destroy();
  return { kind: 'unreachable' };
}

/** One health request. */
class ProbeRequest {
  readonly #pool: ConnectionPool;

  readonly #headerCodec: HeaderCodec;

  readonly #outgoing: ClientRequest;

  #isAccepted = false;

  #isInvalid = false;

  /** Status and headers after the end of the response; undefined when there is no response. */
  readonly answer: Promise<ResponseHead | undefined>;

  constructor(pool: ConnectionPool, address: string, path: string, headerCodec: HeaderCodec) {
    const [host = '', port = ''] = address.split(':');
    this.#pool = pool;
    this.#headerCodec = headerCodec;
    this.#outgoing = request({ agent: pool.agent, host, port: Number(port), path });
    this.#outgoing.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => this.#markAccepted());
      else this.#markAccepted();
    });
    this.answer = this.#waitForResponse();
    this.#outgoing.end();
  }

  /** Whether the endpoint has accepted the connection. */
  get isAccepted(): boolean {
    return this.#isAccepted;
  }

  /** Whether the endpoint sent something that is no valid response. */
  get isInvalid(): boolean {
    return this.#isInvalid;
  }

  /** Whether the connection has carried another request before. */
  get isReused(): boolean {
    return this.#outgoing.reusedSocket;
  }

  /** Whether the endpoint has the request, or the request waits for one of the pool's connections. */
  get mayBeAnswered(): boolean {
    return this.#isAccepted || !this.#outgoing.socket;
  }

  destroy(): void {
    this.#outgoing.destroy();
    this.#pool.removeQueued(this.#outgoing);
  }

  #markAccepted(): void {
    this.#isAccepted = true;
  }

  #rejectResponse(): void {
    this.#isInvalid = true;
    this.destroy();
  }

  async #waitForResponse(): Promise<ResponseHead | undefined> {
    const outgoing = this.#outgoing;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.destroy(), lateProbeTimeoutMs);
      const finish = (head?: ResponseHead) => {
        clearTimeout(timer);
        resolve(head);
      };
      limitHead(outgoing, () => this.#rejectResponse());
      let informationalResponses = 0;
      outgoing.on('information', () => {
        informationalResponses += 1;
        if (informationalResponses > maxInformationalResponses) this.#rejectResponse();
      });
      outgoing.on('response', (response) => {
        const { statusCode: status = 0, headers } = response;
        if (!isFinalStatus(status)) {
          response.on('error', () => undefined);
          this.#rejectResponse();
          finish();
          return;
        }
        // The probe's own answer follows, and would reach the next request on the connection.
        if (this.isReused && this.#headerCodec.hasRequestId(headers)) {
          this.destroy();
          finish();
          return;
        }
        discardBody(response);
        const head = { status, headers, isReused: this.isReused };
        response.on('end', () => finish(response.complete ? head : undefined));
        response.on('close', () => finish());
      });
      // A protocol switch that was not requested is no response either.
      outgoing.on('upgrade', () => this.#rejectResponse());
      outgoing.on('error', (error) => {
        if (isParserError(error)) this.#isInvalid = true;
        finish();
      });
      outgoing.on('close', () => finish());
    });
  }
}

/** Reads a body up to `maxBodyBytes`, and destroys a longer one. */
function discardBody(response: IncomingMessage): void {
  let bytes = 0;
  new ChunkPacer(response).start();
  const meter = new FramingMeter(response, () => response.destroy());
  meter.start();
  response.once('close', () => meter.stop());
  response.on('error', () => undefined);
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBodyBytes) response.destroy();
  });
}

/**
 * Sleeps, and then lets the process handle the input that arrived meanwhile: after a stall of the
 * process, timers fire before the input that has been waiting is read.
 */
async function sleepPastPendingInput(ms: number): Promise<'slow'> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => setImmediate(() => resolve('slow')), ms);
    timer.unref();
  });
}
