import { Arbiter, PlatformJournal, NoopJournal, isBehind, ticketPrefix } from '@dotterelpass/once';
import type {
  AttemptStatus,
  Claim,
  ClaimAnswer,
  AttemptTable,
  Holder,
  JournalFailure,
  JournalStore,
  JournalPosition,
  Outcome,
  TicketIssuer,
} from '@dotterelpass/once';
import type { MessageBody, InstanceIdentity, PeerTransport } from '@dotterelpass/peers';
import type { ConsulClient } from '@dotterelpass/store';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { rankByHash, systemClock } from '@dotterelpass/values';
import type { InstanceId } from '@dotterelpass/values';
import type { Members } from './gates.js';

/** Services that the claiming and the deciding side of a claim use. */
export interface OnceDependencies {
  readonly identity: InstanceIdentity;
  readonly hub: PeerTransport;
  readonly members: Members;
  readonly platform: ConsulClient;
  readonly ticketIssuer: TicketIssuer;
  readonly attemptTable: AttemptTable;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Time for which keys that callers chose are remembered, in milliseconds. */
  readonly keyRetentionMs: number;
}

/** A claim with its shard and the time limit for the decision about it. */
export interface ClaimRequest extends Claim {
  /** Shard of a key that the caller chose; undefined for a ticket. */
  readonly shard: string | undefined;
  /** Longest time until the decision, in milliseconds. */
  readonly waitMs: number;
}

const shardCount = 8;
const inquireTimeoutMs = 500;
const confirmTimeoutMs = 300;
const expiryIntervalMs = 10_000;

/**
 * Delay between a membership change and the take-over of shards, in milliseconds. One change is
 * usually followed by others, and the take-over waits until the last of them.
 */
const takeOverDelayMs = 100;

/** Allowance for the difference between the clocks of arbiters, in milliseconds. */
const maxClockSkewMs = 3_600_000;

/** @returns The shard of the hash of a key that a caller chose. */
export function findShard(hash: string): string {
  return String(Buffer.from(hash, 'base64url').readUInt8(0) % shardCount);
}

/**
 * Decides about claims on the tickets that this instance issued and on the keys of the shards that
 * it leads.
 */
export class ClaimServer {
  readonly #dependencies: OnceDependencies;

  readonly #ticketArbiter: Arbiter;

  readonly #shardArbiters = new Map<string, Arbiter>();

  /** Newest journal position of each shard that this instance has seen, also from peers. */
  readonly #positions = new Map<string, JournalPosition>();

  /**
   * Monotonic time at which the last write that the platform accepted from this instance began, by
   * shard.
   */
  readonly #lastWriteAt = new Map<string, number>();

  #takeOverTimer: NodeJS.Timeout | undefined;

  constructor(dependencies: OnceDependencies) {
    this.#dependencies = dependencies;
    const { hub, members, metrics, identity } = dependencies;
    const journal = new NoopJournal(identity.incarnation);
    this.#ticketArbiter = new Arbiter(journal, (holder) => this.#inquire(holder), systemClock, {
      retentionMs: 2 * maxClockSkewMs,
    });
    hub.handle('claim', async (body, from) => this.#handleClaim(body, from));
    hub.handle('settle', (body, from) => this.#handleSettle(body, from));
    hub.handle('inquire', (body) => this.#handleInquire(body));
    members.watch(() => this.#scheduleTakeOver());
    setInterval(() => this.#removeExpired(), expiryIntervalMs).unref();
    metrics.addGauge('once_keys', 'Keys that this instance decides about.', () =>
      [this.#ticketArbiter, ...this.#shardArbiters.values()].reduce(
        (sum, { size }) => sum + size,
        0,
      ),
    );
  }

  /** @returns The newest journal position of a shard that this instance has seen. */
  findPosition(shard: string): JournalPosition | undefined {
    return this.#positions.get(shard);
  }

  /** Records the journal position of a shard, unless a newer one is recorded. */
  recordPosition(shard: string, position: JournalPosition | undefined): void {
    const newest = this.#positions.get(shard);
    if (position && (!newest || !isBehind(position, newest))) this.#positions.set(shard, position);
  }

  /** @returns The instance that leads a shard, according to the members that are live here. */
  findLeader(shard: string): InstanceId {
    // The last characters hardly change the hash, so the digit that differs comes first. That
    // spreads the shards evenly over the instances.
    const [leader] = rankByHash(`${shard}/once`, this.#dependencies.members.live);
    return leader ?? this.#dependencies.members.self;
  }

  /**
   * Accepts the present state of the platform after it lost writes. Requests whose keys were
   * recorded only in the lost writes can run again.
   */
  acceptPlatformState(): void {
    this.#positions.clear();
    this.#shardArbiters.forEach((arbiter) => arbiter.release());
  }

  /**
   * Decides about a claim.
   *
   * @param request - The claim, from this instance or from a peer.
   * @param seen - The newest journal position of the shard that the claiming instance has seen.
   */
  async claim(request: ClaimRequest, seen: JournalPosition | undefined): Promise<ClaimAnswer> {
    const { shard, key, waitMs } = request;
    const signal = AbortSignal.timeout(Math.max(1, Math.floor(waitMs)));
    if (shard === undefined) return this.#claimTicket(request, signal);
    if (this.findLeader(shard) !== this.#dependencies.members.self) return { kind: 'moved' };
    this.recordPosition(shard, seen);
    const arbiter = this.#findArbiter(shard);
    const startedAt = systemClock.now();
    const answer = await arbiter.claim(request, signal, this.#positions.get(shard));
    this.recordPosition(shard, arbiter.position);
    if (answer.kind === 'granted') this.#lastWriteAt.set(shard, startedAt);
    else if (answer.kind === 'refused') {
      this.#dependencies.log.warn('once-refused', { shard, digest: key, reason: answer.reason });
    }
    return answer;
  }

  /** Records the outcome of an attempt. */
  settle(shard: string | undefined, key: string, holder: Holder, outcome: Outcome): void {
    if (shard === undefined) this.#ticketArbiter.recordOutcome(key, holder, outcome);
    else this.#shardArbiters.get(shard)?.recordOutcome(key, holder, outcome);
  }

  async #claimTicket(request: ClaimRequest, signal: AbortSignal): Promise<ClaimAnswer> {
    const { ticketIssuer } = this.#dependencies;
    const ticket = ticketIssuer.verify(request.key);
    // Uses of a ticket are kept only in the memory of the process that issued it, so a restarted
    // process does not know whether the ticket was used.
    if (ticket.isErr() || !ticketIssuer.isOwn(ticket.value)) return { kind: 'unknown' };
    if (ticketIssuer.isExpired(ticket.value) && !this.#ticketArbiter.has(request.key))
      return { kind: 'unknown' };
    return this.#ticketArbiter.claim(request, signal);
  }

  async #handleClaim(body: MessageBody, from: InstanceIdentity): Promise<MessageBody> {
    const { key, digest, attempt, givenUp, shard, waitMs, seen } = body as unknown as {
      attempt: number;
      seen?: JournalPosition;
    } & ClaimRequest;
    const isTicket = key.startsWith(ticketPrefix);
    const holder = { ...from, attempt };
    const request = { key, digest, holder, givenUp, waitMs, shard: isTicket ? undefined : shard };
    const answer = await this.claim(request, seen ?? undefined);
    const mark = isTicket || shard === undefined ? undefined : this.#positions.get(shard);
    return { answer, ...(mark ? { mark } : {}) };
  }

  #handleSettle(body: MessageBody, from: InstanceIdentity): MessageBody {
    const { key, shard, attempt, outcome } = body as unknown as {
      key: string;
      shard?: string;
      attempt: number;
      outcome: Outcome;
    };
    this.settle(shard ?? undefined, key, { ...from, attempt }, outcome);
    return {};
  }

  /** Answers an inquiry about an attempt or about the journal position of a shard. */
  #handleInquire(body: MessageBody): MessageBody {
    const { holder, shard } = body as unknown as { holder?: Holder; shard?: string };
    if (holder) return { account: this.#dependencies.attemptTable.answerInquiry(holder) };
    const mark = this.#positions.get(String(shard));
    return { upMs: performance.now(), ...(mark ? { mark } : {}) };
  }

  async #inquire(holder: Holder): Promise<AttemptStatus> {
    const { attemptTable, hub, members } = this.#dependencies;
    if (holder.instance === members.self) return attemptTable.answerInquiry(holder);
    const answer = await hub.request(holder.instance, 'inquire', { holder }, inquireTimeoutMs);
    if (answer.isOk()) return answer.value.account as AttemptStatus;
    const { kind } = answer.error;
    if (kind === 'refused' || !members.live.includes(holder.instance)) return { kind: 'gone' };
    return { kind: 'silent' };
  }

  #findArbiter(shard: string): Arbiter {
    const existing = this.#shardArbiters.get(shard);
    if (existing) return existing;
    const { platform, identity, keyRetentionMs } = this.#dependencies;
    const journal = new PlatformJournal(
      makeJournalStore(platform),
      shard,
      identity.incarnation,
      systemClock,
      { retentionMs: keyRetentionMs + maxClockSkewMs },
    );
    const arbiter = new Arbiter(journal, (holder) => this.#inquire(holder), systemClock, {
      retentionMs: keyRetentionMs + maxClockSkewMs,
      onFailure: (failure) => this.#recordFailure(shard, failure),
      mayBeReplaced: async (position) => this.#mayBeReplaced(shard, position),
    });
    this.#shardArbiters.set(shard, arbiter);
    return arbiter;
  }

  /**
   * Checks with all other instances whether another arbiter may have taken over, which the platform
   * cannot say during an outage. None has taken over when every instance answers that it has seen no
   * newer journal position and that its process already ran at the last accepted write.
   *
   * @returns Whether a take-over is possible; an instance that does not answer makes it possible.
   */
  async #mayBeReplaced(shard: string, position: JournalPosition): Promise<boolean> {
    const { hub, members } = this.#dependencies;
    const lastWriteAgeMs = systemClock.now() - (this.#lastWriteAt.get(shard) ?? -Infinity);
    const peers = [...hub.addresses.keys()].filter((instance) => instance !== members.self);
    const possible = await Promise.all(
      peers.map(async (instance) => {
        const answer = await hub.request(instance, 'inquire', { shard }, confirmTimeoutMs);
        if (answer.isErr()) return true;
        const theirs = answer.value.mark as JournalPosition | undefined;
        return (theirs && isBehind(position, theirs)) || Number(answer.value.upMs) < lastWriteAgeMs;
      }),
    );
    return possible.some(Boolean);
  }

  #recordFailure(shard: string, { kind, message }: JournalFailure): void {
    const { log, metrics } = this.#dependencies;
    metrics.recordEvent(`once-${kind}`);
    if (kind === 'went-back') log.error('once-went-back', { shard, reason: message });
    else log.warn(`once-${kind}`, { shard, reason: message });
  }

  #scheduleTakeOver(): void {
    clearTimeout(this.#takeOverTimer);
    this.#takeOverTimer = setTimeout(() => this.#updateLeadership(), takeOverDelayMs);
    this.#takeOverTimer.unref();
  }

  /** Takes over the shards that this instance now leads and releases all others. */
  #updateLeadership(): void {
    for (let index = 0; index < shardCount; index++) {
      const shard = String(index);
      if (this.findLeader(shard) !== this.#dependencies.members.self)
        this.#shardArbiters.get(shard)?.release();
      else void this.#takeOver(shard);
    }
  }

  async #takeOver(shard: string): Promise<void> {
    const arbiter = this.#findArbiter(shard);
    const startedAt = systemClock.now();
    if (arbiter.position) return;
    if ((await arbiter.acquire(this.#positions.get(shard))) !== undefined) return;
    this.#lastWriteAt.set(shard, startedAt);
    this.recordPosition(shard, arbiter.position);
    this.#dependencies.log.info('once-leading', {
      shard,
      epoch: this.#positions.get(shard)?.epoch,
    });
  }

  #removeExpired(): void {
    this.#ticketArbiter.removeExpired();
    this.#shardArbiters.forEach((arbiter) => arbiter.removeExpired());
  }
}

/** Makes the store of the journal. Its reads are consistent, so they see all earlier writes. */
function makeJournalStore(platform: ConsulClient): JournalStore {
  return {
    read: async (key, recurse) =>
      (await platform.read(key, { recurse, consistent: true })).map(({ entries }) => entries),
    compareAndSwap: async (key, value, index) => platform.compareAndSwap(key, value, index),
    remove: async (key) => platform.remove(key),
  };
}
