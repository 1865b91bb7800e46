import type { IncomingMessage } from 'node:http';
import { ConnectionPool } from '@dotterelpass/proxy';
import type { Metrics } from '@dotterelpass/telemetry';
import { outcomeHeader, rankByHash } from '@dotterelpass/values';
import type { Clock, InstanceId, Random, ServiceId } from '@dotterelpass/values';
import { createCutFailure, readResponseBody } from './body.js';
import { createCancelledFailure } from './call.js';
import type { Call, CallFailure, CallResult, CallTrace } from './call.js';
import type { HeaderCodec } from './codec.js';
import { HeaderCopier } from './forwarding.js';
import { formatMark, handoverHeader, refusalReasonHeader } from './mark.js';
import type { MarkSigner } from './mark.js';
import type { Reach, ReachMonitor } from './reach.js';
import type { CallSender } from './sender.js';

/** Peers that are asked for one call. */
const maxPeersPerCall = 3;

/**
 * Peers that an instance may ask at all. In a large fleet, all instances would otherwise ask each
 * other in turn when no instance reaches a service.
 */
const peerSubsetSize = 8;

/** Connections of this instance to one peer. */
const maxConnections = 64;

const connectTimeoutMs = 250;

/** Time after which idle connections to a peer are closed. */
const idleMs = 3000;

/** Time for which a peer gets no calls of a service after it has refused one. */
const refusedMs = 500;

/** The same after a refusal for lack of room, which lasts for moments. */
const overloadedMs = 50;

/** Time for which a peer gets no calls after it could not be reached or did not answer. */
const unreachableMs = 3000;

export interface CallHandoverOptions {
  readonly instance: InstanceId;
  readonly headerCodec: HeaderCodec;
  readonly sender: CallSender;
  readonly signer: MarkSigner;
  readonly reach: ReachMonitor;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Returns the version of the configuration in force. */
  getConfigVersion(): number;
}

/** A peer that takes calls. */
interface PeerTarget {
  readonly address: string;
  readonly pool: ConnectionPool;
}

/**
 * Sends calls to endpoints, or hands them to another instance while the endpoints of their service
 * cannot be reached from this one. A call is handed over at most once, and only if it has not run.
 */
export class CallHandover {
  readonly #options: CallHandoverOptions;

  readonly #copier: HeaderCopier;

  readonly #peers = new Map<InstanceId, PeerTarget>();

  /** Peers in the order of preference. */
  #ranked: readonly InstanceId[] = [];

  /** Monotonic times until which peers get no calls, by peer or by peer and service. */
  readonly #avoidUntil = new Map<string, number>();

  constructor(options: CallHandoverOptions) {
    this.#options = options;
    this.#copier = new HeaderCopier(options.headerCodec);
  }

  /**
   * Sets the other instances.
   *
   * @param addresses - IP addresses and ports for callers.
   */
  setPeers(addresses: ReadonlyMap<InstanceId, string>): void {
    this.#peers.forEach(({ address, pool }, peer) => {
      if (addresses.get(peer) === address) return;
      pool.drain();
      this.#peers.delete(peer);
    });
    addresses.forEach((address, peer) => {
      if (this.#peers.has(peer)) return;
      const limits = { connectTimeoutMs, idleMs, allowCloseDelimited: true, stallMs: Infinity };
      this.#peers.set(peer, { address, pool: new ConnectionPool(address, maxConnections, limits) });
    });
    this.#ranked = rankByHash(this.#options.instance, [...this.#peers.keys()]);
  }

  /**
   * Sends a call to an endpoint, from here or through another instance. While this instance reaches
   * few endpoints of the service, it keeps the calls that these can take at once.
   *
   * @param call - The call.
   * @param trace - Receives a record of each attempt.
   */
  async sendCall(call: Call, trace: CallTrace): Promise<CallResult> {
    const { sender, reach: monitor } = this.#options;
    const { service, body, handedOverBy } = call;
    const reach = monitor.checkReach(service);
    if (handedOverBy !== undefined) {
      if (reach === 'none') return createUnreachableFailure(service);
      return sender.sendCall(call, trace.attempts, { mayWait: reach === 'all' });
    }
    if (this.#ranked.length === 0) return sender.sendCall(call, trace.attempts);
    if (reach === 'none') {
      return (await this.#handOver(call, trace)) ?? createUnreachableFailure(service);
    }
    // Such a body can be sent only once, and an attempt from here may have taken a part of it.
    if (body.kind === 'stream') return sender.sendCall(call, trace.attempts);
    const mayWait = reach === 'all';
    const result = await sender.sendCall(call, trace.attempts, { mayWait });
    if (!isUnsent(result, reach)) return result;
    const handedOver = await this.#handOver(call, trace);
    if (handedOver || mayWait) return handedOver ?? result;
    return sender.sendCall(call, trace.attempts);
  }

  close(): void {
    this.#peers.forEach(({ pool }) => pool.close());
  }

  /** @returns The result; undefined when no peer has taken the call. */
  async #handOver(call: Call, trace: CallTrace): Promise<CallResult | undefined> {
    const maxPeers = call.body.kind === 'stream' ? 1 : maxPeersPerCall;
    for (let count = 0; count < maxPeers; count++) {
      const peer = this.#pickPeer(call.service);
      const target = peer === undefined ? undefined : this.#peers.get(peer);
      if (peer === undefined || !target) return undefined;
      const result = await this.#sendToPeer(call, peer, target, trace);
      const isRefused = result.kind === 'failed' && result.verdict === 'not-run';
      if (!isRefused || call.incoming.cancellation.aborted) return result;
    }
    return undefined;
  }

  #pickPeer(service: ServiceId): InstanceId | undefined {
    const { clock, random } = this.#options;
    const now = clock.now();
    const usable = this.#ranked
      .slice(0, peerSubsetSize)
      .filter((peer) =>
        [peer, buildKey(peer, service)].every((key) => (this.#avoidUntil.get(key) ?? 0) <= now),
      );
    return usable[Math.floor(random.next() * usable.length)];
  }

  async #sendToPeer(
    call: Call,
    peer: InstanceId,
    { pool }: PeerTarget,
    trace: CallTrace,
  ): Promise<CallResult> {
    const { headerCodec, metrics } = this.#options;
    const { incoming, service, deadlineAt, route } = call;
    const startedAt = performance.now();
    const isOnce = route.repeat === 'once';
    const remainingMs = Math.max(1, deadlineAt - startedAt);
    const sent = await pool.send({
      method: call.method,
      path: incoming.target.pathAndQuery,
      headers: [
        ...this.#copier.copyHeaders(call),
        ...headerCodec.buildTimeoutHeaders(remainingMs),
        handoverHeader,
        this.#buildMark(call),
      ],
      body: call.body,
      timeoutMs: remainingMs,
      cancellation: incoming.cancellation,
      mayCancelSent: !isOnce,
      requiresFreshConnection: isOnce,
    });
    const finish = (outcome: string) => {
      const ms = Math.round(performance.now() - startedAt);
      trace.handovers.push({ peer, outcome, ms });
      metrics.recordEvent(`handover-${outcome}`, service);
    };
    if (sent.isErr()) {
      const { kind, verdict, message } = sent.error;
      finish(kind);
      if (kind === 'cancelled') return { ...createCancelledFailure(), verdict };
      this.#avoid(peer, unreachableMs);
      if (kind === 'timeout') {
        return { kind: 'failed', verdict, reason: 'timeout', timedOutIn: 'response-head', message };
      }
      const reason = kind === 'bad-answer' ? 'invalid' : 'reset';
      return { kind: 'failed', verdict, reason, message };
    }
    return this.#readResponse(call, peer, sent.value, finish);
  }

  async #readResponse(
    call: Call,
    peer: InstanceId,
    response: IncomingMessage,
    finish: (outcome: string) => void,
  ): Promise<CallResult> {
    const { incoming, service, deadlineAt } = call;
    const status = response.statusCode ?? 0;
    const timeoutMs = Math.max(1, deadlineAt - performance.now());
    const body = await readResponseBody(response, timeoutMs, incoming.turn);
    if (response.headers[outcomeHeader] === 'not-run' && status !== 404) {
      if (body.kind === 'large') response.destroy();
      const reason = response.headers[refusalReasonHeader];
      finish('refused');
      this.#avoid(buildKey(peer, service), reason === 'overload' ? overloadedMs : refusedMs);
      const message = `instance ${peer} refused the call with status ${status}`;
      return { kind: 'failed', verdict: 'not-run', reason: 'no-endpoint', message };
    }
    if (body.kind === 'cut') {
      finish('cut');
      if (incoming.cancellation.aborted) {
        return { ...createCancelledFailure(), verdict: 'may-have-run' };
      }
      return createCutFailure(body);
    }
    finish(String(status));
    return {
      kind: 'answer',
      response,
      bufferedBody: body.kind === 'whole' ? body.bytes : undefined,
      isSuccess: status >= 200 && status < 300,
      finish: () => undefined,
    };
  }

  #buildMark({ id, method, incoming, workspace, hidesCredentials }: Call): string {
    const { instance, signer, getConfigVersion } = this.#options;
    const mark = { instance, configVersion: getConfigVersion(), workspace: workspace?.name };
    if (!hidesCredentials) return formatMark(mark);
    return signer.signMark(mark, { id, method, target: incoming.target });
  }

  #avoid(key: string, ms: number): void {
    this.#avoidUntil.set(key, this.#options.clock.now() + ms);
  }
}

function buildKey(peer: InstanceId, service: ServiceId): string {
  return `${peer} ${service}`;
}

/** Whether a call was not sent because too few endpoints can be reached from this instance. */
function isUnsent(result: CallResult, reach: Reach): boolean {
  if (result.kind !== 'failed' || result.verdict !== 'not-run') return false;
  return result.reason === 'no-endpoint' || (reach === 'few' && result.reason === 'overload');
}

function createUnreachableFailure(service: ServiceId): CallFailure {
  return {
    kind: 'failed',
    verdict: 'not-run',
    reason: 'no-endpoint',
    message: `the endpoints of service ${service} cannot be reached from this instance`,
  };
}
