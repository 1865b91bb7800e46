import { shuffle } from '@dotterelpass/values';
import type { Clock, Incarnation, InstanceId, Random } from '@dotterelpass/values';
import { match } from 'ts-pattern';
import { isPresent } from './member.js';
import type { Member } from './member.js';
import type { Message } from './message.js';
import { defaultOptions } from './options.js';
import type { DetectorOptions, Transport } from './options.js';
import { LocalMember } from './self.js';
import { MemberTable } from './table.js';

/** Number of pings that a suspect gets within the suspicion timeout. */
const pingsPerSuspicion = 4;

/** Number of members that get the graceful leave directly; gossip carries it to the others. */
const maxLeaveMessages = 8;

/** A ping that has not been acknowledged yet. */
interface Probe {
  readonly target: Member;
  readonly sentAt: number;
  /** Whether indirect probes were requested, or none are needed. */
  readonly indirectRequested: boolean;
  /** The member that requested this ping with a `ping-req`, and its sequence number. */
  readonly relay?: { readonly to: Member; readonly sequence: number };
}

/** Detects which entry instances are alive, with a protocol based on SWIM. */
export class FailureDetector {
  readonly #transport: Transport;

  readonly #clock: Clock;

  readonly #random: Random;

  readonly #options: DetectorOptions;

  readonly #table: MemberTable;

  readonly #probes = new Map<number, Probe>();

  readonly #startedAt: number;

  /** Monotonic time of the next ping of each suspect. */
  readonly #nextSuspectPingAt = new Map<InstanceId, number>();

  readonly #local: LocalMember;

  #candidates: ReadonlyMap<InstanceId, string> | undefined;

  #listeners: readonly (() => void)[] = [];

  #sequence = 1;

  #tickedAt: number;

  #nextProbeAt: number;

  #nextRejoinAt: number;

  #hasRequestedTable = false;

  #wasLive = false;

  /**
   * @param self - Name, incarnation and peer address of this instance.
   * @param transport - Sends the messages of this instance.
   * @param clock - Source of time.
   * @param random - Source of random numbers.
   * @param options - Options that differ from the defaults.
   */
  constructor(
    self: { instance: InstanceId; incarnation: Incarnation; address: string },
    transport: Transport,
    clock: Clock,
    random: Random,
    options: Partial<DetectorOptions> = {},
  ) {
    this.#local = new LocalMember(self);
    this.#transport = transport;
    this.#clock = clock;
    this.#random = random;
    this.#options = { ...defaultOptions, ...options };
    this.#table = new MemberTable(random);
    this.#startedAt = clock.now();
    this.#tickedAt = this.#startedAt;
    // Spreads the probes of instances that start at the same time.
    this.#nextProbeAt = this.#startedAt + random.next() * this.#options.probeIntervalMs;
    this.#nextRejoinAt = this.#startedAt;
  }

  /**
   * Whether this instance may regard itself as live. It may not before a peer has answered for the
   * first time, after a pause or its declared death until a refutation is confirmed, after leaving,
   * and once a newer incarnation of its name exists.
   */
  get isSelfLive(): boolean {
    return this.#local.isLive;
  }

  /** Whether a newer incarnation of this instance exists. This one can only be shut down. */
  get isSuperseded(): boolean {
    return this.#local.isSuperseded;
  }

  /** Present members sorted by name, including this instance while `isSelfLive` is true. */
  get liveMembers(): readonly Member[] {
    const { present } = this.#table;
    const members = this.isSelfLive ? [...present, this.#local.entry] : [...present];
    return members.sort((a, b) => (a.instance < b.instance ? -1 : 1));
  }

  /** All other members in the table, in any state. */
  get peers(): readonly Member[] {
    return this.#table.rows.map(({ member }) => member);
  }

  /** Registers a function that is called when `liveMembers` or an incarnation in it has changed. */
  watch(listener: () => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /**
   * Replaces the instances that are probed while they are not present, such as seeds and the
   * platform's list of instances. A candidate becomes a member only when it answers; a member stays
   * one when it is no longer a candidate.
   *
   * @param candidates - Peer addresses by instance name; this instance may be included.
   */
  setCandidates(candidates: ReadonlyMap<InstanceId, string>): void {
    this.#candidates = new Map(
      [...candidates].filter(([name]) => name !== this.#local.entry.instance),
    );
  }

  /** Sends due probes and checks timeouts. Must be called at least every 50 ms. */
  tick(): void {
    if (this.#local.entry.state === 'left') return;
    const now = this.#clock.now();
    this.#handleStall(now);
    this.#tickedAt = now;
    this.#checkProbeTimeouts(now);
    this.#checkEntryTimeouts(now);
    if (now >= this.#nextProbeAt) {
      this.#nextProbeAt = now + this.#options.probeIntervalMs;
      const target = this.#table.pickProbeTarget();
      if (target) this.#sendPing(target, now);
    }
    if (now >= this.#nextRejoinAt) this.#probeAbsent(now);
    this.#checkJoin(now);
  }

  /**
   * Processes a received message.
   *
   * @param message - The message.
   * @returns The answer to the sender, if there is one.
   */
  receive(message: Message): Message | undefined {
    const { sender } = message;
    const { entry } = this.#local;
    if (entry.state === 'left' || sender.instance === entry.instance) {
      this.#applyUpdate(sender);
      return undefined;
    }
    [sender, ...message.updates].forEach((update) => this.#applyUpdate(update));
    if (!this.#hasRequestedTable && message.kind !== 'members' && isPresent(sender)) {
      // Reads the whole table from the first member that sends a message: gossip would take longer.
      this.#hasRequestedTable = true;
      this.#send(sender, { kind: 'members', after: '' });
    }
    return match(message.kind)
      .with('ping', () => this.#makeMessage(sender, { kind: 'ack', sequence: message.sequence }))
      .with('ack', () => this.#handleAck(message))
      .with('ping-req', () => this.#handlePingRequest(message))
      .with('members', () => this.#handleMembers(message))
      .exhaustive();
  }

  /**
   * Declares a member dead without a prior suspicion. Called when its process has ended: its
   * connection was closed and its port refuses new ones.
   *
   * @param instance - The member.
   */
  declareDead(instance: InstanceId): void {
    const row = this.#table.find(instance);
    if (row && isPresent(row.member)) this.#applyUpdate({ ...row.member, state: 'dead' });
  }

  /** Announces that this incarnation leaves the fleet for good. */
  leave(): void {
    if (this.#local.entry.state === 'left') return;
    this.#local.setLeft();
    const receivers = shuffle(this.#random, this.#table.present).slice(0, maxLeaveMessages);
    receivers.forEach((member) => this.#send(member, { kind: 'ping', sequence: 0 }));
    this.#notifyListeners();
  }

  /**
   * Handles a stall of this process. Acknowledgements that arrived during the stall have not been
   * read yet, so the pending probes are dropped and the suspicions extended instead of suspecting
   * members. After a longer stall the others may have declared this instance dead.
   */
  #handleStall(now: number): void {
    const stallMs = now - this.#tickedAt;
    const { probeTimeoutMs, pauseThresholdMs, indirectProbes } = this.#options;
    if (stallMs < probeTimeoutMs) return;
    this.#probes.clear();
    this.#table.extendSuspicions(stallMs);
    if (stallMs < pauseThresholdMs) return;
    this.#local.requireConfirmation(this.#sequence);
    this.#notifyOnOwnChange();
    shuffle(this.#random, this.#table.present)
      .slice(0, indirectProbes)
      .forEach((member) => this.#sendPing(member, now));
  }

  #checkProbeTimeouts(now: number): void {
    for (const [sequence, probe] of this.#probes) {
      const ageMs = now - probe.sentAt;
      if (probe.relay) {
        if (ageMs >= this.#options.suspicionTimeoutMs) this.#probes.delete(sequence);
      } else if (ageMs >= this.#options.probeIntervalMs) {
        this.#probes.delete(sequence);
        if (isPresent(probe.target)) this.#setSuspect(probe.target);
      } else if (ageMs >= this.#options.probeTimeoutMs && !probe.indirectRequested) {
        this.#probes.set(sequence, { ...probe, indirectRequested: true });
        this.#sendPingRequests(probe.target, sequence);
      }
    }
  }

  #sendPingRequests({ instance: target }: Member, sequence: number): void {
    const relays = this.#table.present.filter(
      ({ instance, state }) => instance !== target && state === 'live',
    );
    shuffle(this.#random, relays)
      .slice(0, this.#options.indirectProbes)
      .forEach((relay) => this.#send(relay, { kind: 'ping-req', target, sequence }));
  }

  #setSuspect({ instance, incarnation }: Member): void {
    const member = this.#table.find(instance)?.member;
    if (member?.state === 'live' && member.incarnation === incarnation) {
      this.#applyUpdate({ ...member, state: 'suspect' });
    }
  }

  #checkEntryTimeouts(now: number): void {
    const { suspicionTimeoutMs, tombstoneTtlMs } = this.#options;
    for (const { member, since } of this.#table.rows) {
      if (member.state === 'suspect') {
        if (now - since >= suspicionTimeoutMs) this.#applyUpdate({ ...member, state: 'dead' });
        else this.#pingSuspect(member, now);
      } else if (!isPresent(member) && now - since >= tombstoneTtlMs) {
        this.#table.remove(member.instance);
      }
    }
  }

  /**
   * Pings a suspect several times within the suspicion timeout. Every member that suspects it does
   * so, since a refutation that only gossip carries can arrive too late.
   */
  #pingSuspect(member: Member, now: number): void {
    if (now < (this.#nextSuspectPingAt.get(member.instance) ?? 0)) return;
    this.#nextSuspectPingAt.set(
      member.instance,
      now + this.#options.suspicionTimeoutMs / pingsPerSuspicion,
    );
    this.#sendPing(member, now);
  }

  /** Probes absent instances, which may be new or reachable again after a partition. */
  #probeAbsent(now: number): void {
    const { probeIntervalMs, rejoinIntervalMs, indirectProbes } = this.#options;
    const isAlone = this.#table.present.length === 0;
    this.#nextRejoinAt = now + (isAlone ? probeIntervalMs : rejoinIntervalMs);
    const absent = new Map<InstanceId, string>();
    for (const { member } of this.#table.rows) {
      if (member.state === 'dead') absent.set(member.instance, member.address);
    }
    for (const [instance, address] of this.#candidates ?? []) {
      const row = this.#table.find(instance);
      if (!row || !isPresent(row.member)) absent.set(instance, address);
    }
    shuffle(this.#random, [...absent])
      .slice(0, isAlone ? indirectProbes : 1)
      .forEach(([instance, address]) => {
        this.#sendProbe({ instance, address }, this.#table.find(instance)?.member, now);
      });
  }

  /** Lets an instance that reaches no other member become live on its own. */
  #checkJoin(now: number): void {
    const isAlone = this.#table.present.length === 0;
    const hasTimedOut = now - this.#startedAt >= this.#options.joinTimeoutMs;
    if (hasTimedOut || (isAlone && this.#candidates?.size === 0)) this.#local.setJoined();
    if (isAlone) this.#local.waiveConfirmation();
    this.#notifyOnOwnChange();
  }

  #handleAck({ sequence = 0, sender }: Message): undefined {
    const probe = this.#probes.get(sequence);
    if (!probe) return;
    this.#probes.delete(sequence);
    if (probe.relay) {
      const { to, sequence: requestedSequence } = probe.relay;
      this.#send(to, { kind: 'ack', sequence: requestedSequence }, sender);
      return;
    }
    if (isPresent(sender)) this.#local.setJoined();
    this.#local.confirm(sequence);
    this.#notifyOnOwnChange();
  }

  #handlePingRequest({ sender, target, sequence = 0 }: Message): undefined {
    const row = target && this.#table.find(target);
    if (row) this.#sendPing(row.member, this.#clock.now(), { to: sender, sequence });
  }

  #handleMembers({ sender, after, next }: Message): Message | undefined {
    if (after !== undefined) {
      return this.#makeMessage(sender, { kind: 'members', ...this.#table.makePage(after) });
    }
    if (next !== undefined) this.#send(sender, { kind: 'members', after: next });
    return undefined;
  }

  #applyUpdate(update: Member): void {
    if (update.instance === this.#local.entry.instance) {
      this.#local.handleUpdate(update, this.#sequence);
      this.#notifyOnOwnChange();
      return;
    }
    const before = this.#table.find(update.instance)?.member;
    if (!this.#table.merge(update, this.#clock.now())) return;
    if (update.state !== 'suspect') this.#nextSuspectPingAt.delete(update.instance);
    const changesLiveMembers =
      before?.incarnation !== update.incarnation || isPresent(before) !== isPresent(update);
    if (changesLiveMembers) this.#notifyListeners();
  }

  #notifyOnOwnChange(): void {
    if (this.isSelfLive !== this.#wasLive) this.#notifyListeners();
  }

  #notifyListeners(): void {
    this.#wasLive = this.isSelfLive;
    this.#listeners.forEach((listener) => listener());
  }

  #sendPing(target: Member, now: number, relay?: Probe['relay']): void {
    this.#sendProbe(target, target, now, relay);
  }

  #sendProbe(
    to: Pick<Member, 'instance' | 'address'>,
    known: Member | undefined,
    now: number,
    relay?: Probe['relay'],
  ): void {
    const sequence = this.#sequence;
    this.#sequence += 1;
    const target = known ?? { ...this.#local.entry, ...to, state: 'dead' as const };
    this.#probes.set(sequence, {
      target,
      sentAt: now,
      indirectRequested: !isPresent(target),
      relay,
    });
    this.#send(to, { kind: 'ping', sequence });
  }

  #send(
    to: Pick<Member, 'instance' | 'address'>,
    fields: Omit<Message, 'sender' | 'updates'> & { updates?: readonly Member[] },
    extraUpdate?: Member,
  ): void {
    const message = this.#makeMessage(to, fields);
    const updates = extraUpdate ? [...message.updates, extraUpdate] : message.updates;
    this.#transport.send(to, { ...message, updates });
  }

  #makeMessage(
    { instance }: Pick<Member, 'instance'>,
    fields: Omit<Message, 'sender' | 'updates'> & { updates?: readonly Member[] },
  ): Message {
    const updates = fields.updates ?? this.#table.pickUpdates();
    const known = this.#table.find(instance)?.member;
    // The receiver can refute a suspicion or its declared death only when it gets its own entry.
    const receiverEntry = known && !updates.includes(known) ? [known] : [];
    return { ...fields, sender: this.#local.entry, updates: [...updates, ...receiverEntry] };
  }
}
