import { randomBytes } from 'node:crypto';
import { FailureDetector, decodeMessage, encodeMessage } from '@dotterelpass/membership';
import type { Member, Message } from '@dotterelpass/membership';
import type { MessageBody, InstanceIdentity, PeerTransport } from '@dotterelpass/peers';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { systemClock, systemRandom } from '@dotterelpass/values';
import type { Incarnation, InstanceId } from '@dotterelpass/values';
import type { Members } from './gates.js';

/** Time between ticks of the failure detector, in milliseconds; its shortest wait is 100 ms. */
const tickIntervalMs = 25;

/**
 * Longest wait for an answer, in milliseconds. The membership updates in an answer are used even
 * when the detector's probe has already timed out.
 */
const answerTimeoutMs = 1000;

/** Longest wait for peers to acknowledge that this instance leaves, in milliseconds. */
const leaveTimeoutMs = 300;

/** Time between removals of the addresses of instances that are no longer used, in milliseconds. */
const addressCleanupIntervalMs = 60_000;

/** @returns A new incarnation: the start time and random digits, which keep it unique. */
export function makeIncarnation(): Incarnation {
  return `${Date.now()}-${randomBytes(4).toString('hex')}` as Incarnation;
}

/** The live entry instances, as the failure detector sees them over the peer connections. */
export class FleetMembers implements Members {
  readonly self: InstanceId;

  readonly #identity: InstanceIdentity;

  readonly #hub: PeerTransport;

  readonly #log: Logger;

  #detector: FailureDetector | undefined;

  #live: ReadonlyMap<InstanceId, Member> = new Map();

  #candidates: ReadonlyMap<InstanceId, string> = new Map();

  /** Requests to peers that have not been answered yet. */
  readonly #pendingRequests = new Set<Promise<void>>();

  #hasFleetInformation = false;

  #timers: readonly NodeJS.Timeout[] = [];

  #listeners: readonly (() => void)[] = [];

  /**
   * @param identity - Name and incarnation of this instance.
   * @param hub - Connections to the peers.
   * @param log - Receives membership changes.
   * @param metrics - Exposes the number of live instances.
   */
  constructor(identity: InstanceIdentity, hub: PeerTransport, log: Logger, metrics: Metrics) {
    this.self = identity.instance;
    this.#identity = identity;
    this.#hub = hub;
    this.#log = log;
    for (const kind of ['ping', 'ping-req', 'ack', 'members'] as const) {
      hub.handle(kind, (body, from) => this.#handleMessage(kind, body, from));
    }
    hub.addCloseListener((instance) => {
      void this.#checkProcessExit(instance);
    });
    metrics.addGauge('members_live', 'Entry instances that count as live.', () => this.live.length);
    metrics.addGauge('member_self_live', '1 while this instance may count itself live.', () =>
      this.#detector?.isSelfLive ? 1 : 0,
    );
  }

  get live(): readonly InstanceId[] {
    return [...this.#live.keys()];
  }

  /**
   * Whether the fleet is known, because another instance was live or the platform's list was read,
   * and no newer incarnation has superseded this instance.
   */
  get isReady(): boolean {
    return this.#hasFleetInformation && this.#detector?.isSuperseded === false;
  }

  findIncarnation(instance: InstanceId): Incarnation | undefined {
    return this.#live.get(instance)?.incarnation;
  }

  watch(listener: () => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /**
   * Starts failure detection.
   *
   * @param address - IP address and port at which peers reach this instance.
   */
  start(address: string): void {
    const transport = {
      send: (to: Pick<Member, 'instance' | 'address'>, message: Message) => this.#send(to, message),
    };
    const detector = new FailureDetector(
      { ...this.#identity, address },
      transport,
      systemClock,
      systemRandom,
    );
    this.#detector = detector;
    detector.watch(() => this.#handleDetectorChange(detector));
    if (this.#candidates.size > 0) detector.setCandidates(this.#candidates);
    this.#timers = [
      setInterval(() => detector.tick(), tickIntervalMs),
      setInterval(() => this.#removeForgottenAddresses(detector), addressCleanupIntervalMs),
    ];
  }

  /**
   * Replaces the candidates, which the detector may ping. A candidate does not count as live until
   * it answers, and a live instance that is no candidate stays live.
   *
   * @param candidates - Peer addresses by instance.
   */
  setCandidates(candidates: ReadonlyMap<InstanceId, string>): void {
    this.#candidates = candidates;
    this.#detector?.setCandidates(candidates);
  }

  /** Records that the platform's list has been read, which makes the fleet known. */
  recordListRead(): void {
    this.#hasFleetInformation = true;
  }

  /** Leaves the fleet permanently, and waits a short time for peers to acknowledge it. */
  async leave(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#detector?.leave();
    await Promise.race([Promise.all(this.#pendingRequests), sleep(leaveTimeoutMs)]);
  }

  #handleDetectorChange(detector: FailureDetector): void {
    const before = this.live;
    this.#live = new Map(detector.liveMembers.map((member) => [member.instance, member]));
    // Other components send to every live instance, including those not pinged so far.
    this.#live.forEach(({ instance, address }) => {
      if (instance !== this.self) this.#hub.setAddress(instance, address);
    });
    if (this.live.some((instance) => instance !== this.self)) this.#hasFleetInformation = true;
    if (before.join() !== this.live.join()) this.#log.info('members', { live: this.live });
    if (detector.isSuperseded) {
      this.#log.error('incarnation-superseded', { incarnation: this.#identity.incarnation });
    }
    this.#listeners.forEach((listener) => listener());
  }

  #handleMessage(kind: Message['kind'], body: MessageBody, from: InstanceIdentity): MessageBody {
    const message = decodeMessage(kind, body);
    if (!message || message.sender.instance !== from.instance) {
      throw new RangeError(`body is not a valid ${kind} message from ${from.instance}`);
    }
    const answer = this.#detector?.receive(message);
    return answer ? encodeMessage(answer) : {};
  }

  #send({ instance, address }: Pick<Member, 'instance' | 'address'>, message: Message): void {
    this.#hub.setAddress(instance, address);
    if (message.kind === 'ping' || message.kind === 'members') {
      const request = this.#request(instance, message);
      this.#pendingRequests.add(request);
      void request.finally(() => this.#pendingRequests.delete(request));
    } else this.#hub.send(instance, message.kind, encodeMessage(message));
  }

  async #request(instance: InstanceId, message: Message): Promise<void> {
    const { kind } = message;
    const answer = await this.#hub.request(instance, kind, encodeMessage(message), answerTimeoutMs);
    const reply = answer.isOk()
      ? decodeMessage(kind === 'ping' ? 'ack' : kind, answer.value)
      : undefined;
    if (reply) this.#detector?.receive(reply);
  }

  /**
   * Declares an instance dead after its connection closed, if its port refuses new connections. A
   * closed connection alone may be a network fault, but a port that refuses belongs to no process.
   */
  async #checkProcessExit(instance: InstanceId): Promise<void> {
    const incarnation = this.findIncarnation(instance);
    if (incarnation === undefined || instance === this.self) return;
    const answer = await this.#hub.request(instance, 'heartbeat', {}, 1);
    const refused = answer.isErr() && answer.error.kind === 'refused';
    if (refused && this.findIncarnation(instance) === incarnation) {
      this.#log.info('member-gone', { member: instance });
      this.#detector?.declareDead(instance);
    }
  }

  #removeForgottenAddresses(detector: FailureDetector): void {
    const used = new Set([
      ...this.#candidates.keys(),
      ...detector.peers.map((member) => member.instance),
    ]);
    [...this.#hub.addresses.keys()]
      .filter((instance) => !used.has(instance))
      .forEach((instance) => this.#hub.removeAddress(instance));
  }
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
