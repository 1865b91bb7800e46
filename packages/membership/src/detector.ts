import { shuffle } from '@dotterelpass/values';
import type { Clock, Incarnation, InstanceId, Random } from '@dotterelpass/values';
import { match } from 'ts-pattern';
import { isPresent } from './member.js';
import type { Member } from './member.js';
import type { Message } from './message.js';
import { defaultOptions } from './options.js';
import type { DetectorOptions, Transport } from './options.js';
import { Standing } from './standing.js';
import { MemberTable } from './table.js';

/** Pings of a suspect in the time that it has to refute. */
const suspectPings = 4;

/** Members that are told directly of a graceful leave; the others hear it from them. */
const maxLeaveMessages = 8;

/** A ping that waits for its acknowledgement. */
interface Probe {
  readonly target: Member;
  readonly sentAt: number;
  readonly asked: boolean;
  /** The member that asked for this ping, and the number that it gave. */
  readonly relay?: { readonly to: Member; readonly sequence: number };
}

/** Finds out which entry instances are alive, in the manner of SWIM. */
export class FailureDetector {
  readonly #transport: Transport;

  readonly #clock: Clock;

  readonly #random: Random;

  readonly #options: DetectorOptions;

  readonly #table: MemberTable;

  readonly #probes = new Map<number, Probe>();

  readonly #startedAt: number;

  /** When a suspect is pinged again. */
  readonly #pingSuspectAt = new Map<InstanceId, number>();

  readonly #standing: Standing;

  #names: ReadonlyMap<InstanceId, string> | undefined;

  #listeners: readonly (() => void)[] = [];

  #sequence = 1;

  #advancedAt: number;

  #periodAt: number;

  #retryAt: number;

  #synced = false;

  #wasLive = false;

  /**
   * @param self - Name, incarnation and peer address of this instance.
   * @param transport - Sends its messages.
   * @param clock - Source of time.
   * @param random - Source of random numbers.
   * @param options - Times and bounds that differ from the defaults.
   */
  constructor(
    self: { instance: InstanceId; incarnation: Incarnation; address: string },
    transport: Transport,
    clock: Clock,
    random: Random,
    options: Partial<DetectorOptions> = {},
  ) {
    this.#standing = new Standing(self);
    this.#transport = transport;
    this.#clock = clock;
    this.#random = random;
    this.#options = { ...defaultOptions, ...options };
    this.#table = new MemberTable(random);
    this.#startedAt = clock.now();
    this.#advancedAt = this.#startedAt;
    // Instances that start together do not ping together.
    this.#periodAt = this.#startedAt + random.next() * this.#options.periodMs;
    this.#retryAt = this.#startedAt;
  }

  /**
   * Whether this instance may count itself live. It may not before the first answer of a peer,
   * between a pause or its declared death and a confirmed refutation, after leaving, and once a
   * newer incarnation of its name exists.
   */
  get isSelfLive(): boolean {
    return this.#standing.isLive;
  }

  /** Whether a newer incarnation of this instance's name exists; this one can only be ended. */
  get isSuperseded(): boolean {
    return this.#standing.isSuperseded;
  }

  /** Present members by name, this one included while it may count itself live. */
  get liveMembers(): readonly Member[] {
    const { present } = this.#table;
    const members = this.isSelfLive ? [...present, this.#standing.entry] : [...present];
    return members.sort((a, b) => (a.instance < b.instance ? -1 : 1));
  }

  /** All known members with their states, this one not included. */
  get peers(): readonly Member[] {
    return this.#table.rows.map(({ member }) => member);
  }

  /** Registers a function that is called after `live` or an incarnation in it has changed. */
  watch(listener: () => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /**
   * Replaces the names that may be tried, such as seeds and those of the platform's list. A name
   * on it is not a member before it answers, and a member does not leave with its name.
   *
   * @param names - Names with peer addresses; this instance may be among them.
   */
  setCandidates(names: ReadonlyMap<InstanceId, string>): void {
    this.#names = new Map([...names].filter(([name]) => name !== this.#standing.entry.instance));
  }

  /** Does what is due; called often, at least every 50 ms. */
  tick(): void {
    if (this.#standing.entry.state === 'left') return;
    const now = this.#clock.now();
    this.#handleStall(now);
    this.#advancedAt = now;
    this.#checkProbes(now);
    this.#checkRows(now);
    if (now >= this.#periodAt) {
      this.#periodAt = now + this.#options.periodMs;
      const next = this.#table.pickNext();
      if (next) this.#sendPing(next, now);
    }
    if (now >= this.#retryAt) this.#retryAbsent(now);
    this.#checkAlone(now);
  }

  /**
   * Takes in a message.
   *
   * @param message - The message.
   * @returns The answer, for the sender only.
   */
  receive(message: Message): Message | undefined {
    const { sender } = message;
    const { entry } = this.#standing;
    if (entry.state === 'left' || sender.instance === entry.instance) {
      this.#apply(sender);
      return undefined;
    }
    [sender, ...message.updates].forEach((update) => this.#apply(update));
    if (!this.#synced && message.kind !== 'members' && isPresent(sender)) {
      // The first answer of any member is reason enough to read the whole table from it.
      this.#synced = true;
      this.#send(sender, { kind: 'members', after: '' });
    }
    return match(message.kind)
      .with('ping', () => this.#makeMessage(sender, { kind: 'ack', sequence: message.sequence }))
      .with('ack', () => this.#handleAck(message))
      .with('ping-req', () => this.#handleRequest(message))
      .with('members', () => this.#handlePage(message))
      .exhaustive();
  }

  /**
   * Records that the process of a member is gone: its link closed and its port refuses new
   * connections. It is declared dead without suspicion.
   *
   * @param instance - The member.
   */
  declareDead(instance: InstanceId): void {
    const row = this.#table.find(instance);
    if (row && isPresent(row.member)) this.#apply({ ...row.member, state: 'dead' });
  }

  /** Announces that this instance leaves for good. */
  leave(): void {
    if (this.#standing.entry.state === 'left') return;
    this.#standing.setLeft();
    const told = shuffle(this.#random, this.#table.present).slice(0, maxLeaveMessages);
    told.forEach((member) => this.#send(member, { kind: 'ping', sequence: 0 }));
    this.#callListeners();
  }

  /**
   * After a stall of this process the answers of others wait unread, and its own time has run
   * without them: nobody may be suspected for that. After a longer one others may have declared
   * this instance dead.
   */
  #handleStall(now: number): void {
    const gap = now - this.#advancedAt;
    const { pingMs, pauseMs, helpers } = this.#options;
    if (gap < pingMs) return;
    this.#probes.clear();
    this.#table.extendSuspicions(gap);
    if (gap < pauseMs) return;
    this.#standing.setUnconfirmed(this.#sequence);
    this.#noticeSelf();
    shuffle(this.#random, this.#table.present)
      .slice(0, helpers)
      .forEach((member) => this.#sendPing(member, now));
  }

  #checkProbes(now: number): void {
    for (const [sequence, probe] of this.#probes) {
      const age = now - probe.sentAt;
      if (probe.relay) {
        if (age >= this.#options.suspicionMs) this.#probes.delete(sequence);
      } else if (age >= this.#options.periodMs) {
        this.#probes.delete(sequence);
        if (isPresent(probe.target)) this.#setSuspect(probe.target);
      } else if (age >= this.#options.pingMs && !probe.asked) {
        this.#probes.set(sequence, { ...probe, asked: true });
        this.#askHelpers(probe.target, sequence);
      }
    }
  }

  #askHelpers({ instance: target }: Member, sequence: number): void {
    const helpers = this.#table.present.filter(
      ({ instance, state }) => instance !== target && state === 'live',
    );
    shuffle(this.#random, helpers)
      .slice(0, this.#options.helpers)
      .forEach((helper) => this.#send(helper, { kind: 'ping-req', target, sequence }));
  }

  #setSuspect({ instance, incarnation }: Member): void {
    const member = this.#table.find(instance)?.member;
    if (member?.state === 'live' && member.incarnation === incarnation) {
      this.#apply({ ...member, state: 'suspect' });
    }
  }

  #checkRows(now: number): void {
    const { suspicionMs, forgetMs } = this.#options;
    for (const { member, since } of this.#table.rows) {
      if (member.state === 'suspect') {
        if (now - since >= suspicionMs) this.#apply({ ...member, state: 'dead' });
        else this.#pingSuspect(member, now);
      } else if (!isPresent(member) && now - since >= forgetMs) {
        this.#table.remove(member.instance);
      }
    }
  }

  /** A suspect is asked by everyone who suspects it, so that no refutation is too late. */
  #pingSuspect(member: Member, now: number): void {
    if (now < (this.#pingSuspectAt.get(member.instance) ?? 0)) return;
    this.#pingSuspectAt.set(member.instance, now + this.#options.suspicionMs / suspectPings);
    this.#sendPing(member, now);
  }

  /** Tries instances that are not present: they may be new, or on the far side of a healed cut. */
  #retryAbsent(now: number): void {
    const { periodMs, retryMs, helpers } = this.#options;
    const alone = this.#table.present.length === 0;
    this.#retryAt = now + (alone ? periodMs : retryMs);
    const absent = new Map<InstanceId, string>();
    for (const { member } of this.#table.rows) {
      if (member.state === 'dead') absent.set(member.instance, member.address);
    }
    for (const [instance, address] of this.#names ?? []) {
      const row = this.#table.find(instance);
      if (!row || !isPresent(row.member)) absent.set(instance, address);
    }
    shuffle(this.#random, [...absent])
      .slice(0, alone ? helpers : 1)
      .forEach(([instance, address]) => {
        this.#sendProbe({ instance, address }, this.#table.find(instance)?.member, now);
      });
  }

  /** An instance that can reach nobody goes on by itself. */
  #checkAlone(now: number): void {
    const alone = this.#table.present.length === 0;
    const waited = now - this.#startedAt >= this.#options.joinMs;
    if (waited || (alone && this.#names?.size === 0)) this.#standing.setJoined();
    if (alone) this.#standing.setAlone();
    this.#noticeSelf();
  }

  #handleAck({ sequence = 0, sender }: Message): undefined {
    const probe = this.#probes.get(sequence);
    if (!probe) return;
    this.#probes.delete(sequence);
    if (probe.relay) {
      const { to, sequence: theirs } = probe.relay;
      this.#send(to, { kind: 'ack', sequence: theirs }, sender);
      return;
    }
    if (isPresent(sender)) this.#standing.setJoined();
    this.#standing.setConfirmed(sequence);
    this.#noticeSelf();
  }

  #handleRequest({ sender, target, sequence = 0 }: Message): undefined {
    const row = target && this.#table.find(target);
    if (row) this.#sendPing(row.member, this.#clock.now(), { to: sender, sequence });
  }

  #handlePage({ sender, after, next }: Message): Message | undefined {
    if (after !== undefined) {
      return this.#makeMessage(sender, { kind: 'members', ...this.#table.makePage(after) });
    }
    if (next !== undefined) this.#send(sender, { kind: 'members', after: next });
    return undefined;
  }

  #apply(update: Member): void {
    if (update.instance === this.#standing.entry.instance) {
      this.#standing.apply(update, this.#sequence);
      this.#noticeSelf();
      return;
    }
    const before = this.#table.find(update.instance)?.member;
    if (!this.#table.apply(update, this.#clock.now())) return;
    if (update.state !== 'suspect') this.#pingSuspectAt.delete(update.instance);
    const changed =
      before?.incarnation !== update.incarnation || isPresent(before) !== isPresent(update);
    if (changed) this.#callListeners();
  }

  #noticeSelf(): void {
    if (this.isSelfLive !== this.#wasLive) this.#callListeners();
  }

  #callListeners(): void {
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
    const target = known ?? { ...this.#standing.entry, ...to, state: 'dead' as const };
    this.#probes.set(sequence, { target, sentAt: now, asked: !isPresent(target), relay });
    this.#send(to, { kind: 'ping', sequence });
  }

  #send(
    to: Pick<Member, 'instance' | 'address'>,
    parts: Omit<Message, 'sender' | 'updates'> & { updates?: readonly Member[] },
    about?: Member,
  ): void {
    const message = this.#makeMessage(to, parts);
    const updates = about ? [...message.updates, about] : message.updates;
    this.#transport.send(to, { ...message, updates });
  }

  #makeMessage(
    { instance }: Pick<Member, 'instance'>,
    parts: Omit<Message, 'sender' | 'updates'> & { updates?: readonly Member[] },
  ): Message {
    const updates = parts.updates ?? this.#table.pickNews();
    const known = this.#table.find(instance)?.member;
    // The receiver must learn what is held against it, or it cannot refute it.
    const needed = known && !updates.includes(known) ? [known] : [];
    return { ...parts, sender: this.#standing.entry, updates: [...updates, ...needed] };
  }
}
