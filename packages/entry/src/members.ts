import { randomBytes } from 'node:crypto';
import { FailureDetector, decodeMessage, encodeMessage } from '@dotterelpass/membership';
import type { Member, Message } from '@dotterelpass/membership';
import type { MessageBody, InstanceIdentity, PeerTransport } from '@dotterelpass/peers';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { systemClock, systemRandom } from '@dotterelpass/values';
import type { Incarnation, InstanceId } from '@dotterelpass/values';
import type { Members } from './gates.js';

/** Time between steps of the detector, in milliseconds; its shortest wait is 100 ms. */
const stepMs = 25;

/** Longest wait for an answer, in milliseconds; the news in a late one still counts. */
const answerTimeoutMs = 1000;

/** Longest wait until a leave has been heard, in milliseconds. */
const leaveTimeoutMs = 300;

/** Time between checks for addresses of forgotten instances, in milliseconds. */
const forgetMs = 60_000;

/** @returns A new incarnation: the start time and random digits, so that no two are equal. */
export function makeIncarnation(): Incarnation {
  return `${Date.now()}-${randomBytes(4).toString('hex')}` as Incarnation;
}

/** The entry instances as the failure detector sees them over the peer links. */
export class FleetMembers implements Members {
  readonly self: InstanceId;

  readonly #identity: InstanceIdentity;

  readonly #hub: PeerTransport;

  readonly #log: Logger;

  #detector: FailureDetector | undefined;

  #live: ReadonlyMap<InstanceId, Member> = new Map();

  #names: ReadonlyMap<InstanceId, string> = new Map();

  /** Requests that wait for an answer. */
  readonly #requests = new Set<Promise<void>>();

  #heard = false;

  #timers: readonly NodeJS.Timeout[] = [];

  #listeners: readonly (() => void)[] = [];

  /**
   * @param identity - Name and incarnation of this instance.
   * @param hub - Links to the others.
   * @param log - Where changes are told.
   * @param metrics - Where the number of live instances is shown.
   */
  constructor(identity: InstanceIdentity, hub: PeerTransport, log: Logger, metrics: Metrics) {
    this.self = identity.instance;
    this.#identity = identity;
    this.#hub = hub;
    this.#log = log;
    for (const kind of ['ping', 'ping-req', 'ack', 'members'] as const) {
      hub.handle(kind, (body, from) => this.#receive(kind, body, from));
    }
    hub.addCloseListener((instance) => {
      void this.#checkGone(instance);
    });
    metrics.addGauge('members_live', 'Entry instances that count as live.', () => this.live.length);
    metrics.addGauge('member_self_live', '1 while this instance may count itself live.', () =>
      this.#detector?.isSelfLive ? 1 : 0,
    );
  }

  get live(): readonly InstanceId[] {
    return [...this.#live.keys()];
  }

  /** Whether another instance or the platform's list was heard, so that the fleet is known. */
  get isReady(): boolean {
    return this.#heard && this.#detector?.isSuperseded === false;
  }

  findIncarnation(instance: InstanceId): Incarnation | undefined {
    return this.#live.get(instance)?.incarnation;
  }

  watch(listener: () => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /**
   * Starts to look for the others.
   *
   * @param address - IP address and port at which the others reach this instance.
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
    detector.watch(() => this.#update(detector));
    if (this.#names.size > 0) detector.setCandidates(this.#names);
    this.#timers = [
      setInterval(() => detector.tick(), stepMs),
      setInterval(() => this.#dropForgotten(detector), forgetMs),
    ];
  }

  /**
   * Replaces the names that may be tried. They make nobody live and remove nobody.
   *
   * @param names - Instances with their peer addresses.
   */
  setCandidates(names: ReadonlyMap<InstanceId, string>): void {
    this.#names = names;
    this.#detector?.setCandidates(names);
  }

  /** Says that the platform's list has been read. */
  recordListRead(): void {
    this.#heard = true;
  }

  /** Leaves the fleet for good, and waits a short time until others have heard it. */
  async leave(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#detector?.leave();
    await Promise.race([Promise.all(this.#requests), sleep(leaveTimeoutMs)]);
  }

  #update(detector: FailureDetector): void {
    const before = this.live;
    this.#live = new Map(detector.liveMembers.map((member) => [member.instance, member]));
    // Others of this program send to every live instance, also to those not pinged so far.
    this.#live.forEach(({ instance, address }) => {
      if (instance !== this.self) this.#hub.setAddress(instance, address);
    });
    if (this.live.some((instance) => instance !== this.self)) this.#heard = true;
    if (before.join() !== this.live.join()) this.#log.info('members', { live: this.live });
    if (detector.isSuperseded) {
      this.#log.error('incarnation-superseded', { incarnation: this.#identity.incarnation });
    }
    this.#listeners.forEach((listener) => listener());
  }

  #receive(kind: Message['kind'], body: MessageBody, from: InstanceIdentity): MessageBody {
    const message = decodeMessage(kind, body);
    if (!message || message.sender.instance !== from.instance) {
      throw new RangeError(`not a ${kind} of ${from.instance}`);
    }
    const answer = this.#detector?.receive(message);
    return answer ? encodeMessage(answer) : {};
  }

  #send({ instance, address }: Pick<Member, 'instance' | 'address'>, message: Message): void {
    this.#hub.setAddress(instance, address);
    if (message.kind === 'ping' || message.kind === 'members') {
      const request = this.#request(instance, message);
      this.#requests.add(request);
      void request.finally(() => this.#requests.delete(request));
    } else this.#hub.send(instance, message.kind, encodeMessage(message));
  }

  async #request(instance: InstanceId, message: Message): Promise<void> {
    const { kind } = message;
    const answer = await this.#hub.request(instance, kind, encodeMessage(message), answerTimeoutMs);
    const read = answer.isOk()
      ? decodeMessage(kind === 'ping' ? 'ack' : kind, answer.value)
      : undefined;
    if (read) this.#detector?.receive(read);
  }

  /** A closed link alone may be a network fault; a port that refuses has no process behind it. */
  async #checkGone(instance: InstanceId): Promise<void> {
    const incarnation = this.findIncarnation(instance);
    if (incarnation === undefined || instance === this.self) return;
    const answer = await this.#hub.request(instance, 'heartbeat', {}, 1);
    const refused = answer.isErr() && answer.error.kind === 'refused';
    if (refused && this.findIncarnation(instance) === incarnation) {
      this.#log.info('member-gone', { member: instance });
      this.#detector?.declareDead(instance);
    }
  }

  #dropForgotten(detector: FailureDetector): void {
    const wanted = new Set([
      ...this.#names.keys(),
      ...detector.peers.map((member) => member.instance),
    ]);
    [...this.#hub.addresses.keys()]
      .filter((instance) => !wanted.has(instance))
      .forEach((instance) => this.#hub.removeAddress(instance));
  }
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
