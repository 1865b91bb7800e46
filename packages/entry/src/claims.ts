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

/** What both sides of a claim need. */
export interface OnceDependencies {
  readonly identity: InstanceIdentity;
  readonly hub: PeerTransport;
  readonly members: Members;
  readonly platform: ConsulClient;
  readonly mint: TicketIssuer;
  readonly executions: AttemptTable;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Time that callers' own keys are known, in milliseconds. */
  readonly keepMs: number;
}

/** A claim on its way to whoever decides about it. */
export interface ClaimRequest extends Claim {
  /** Shard of an own key; undefined for a ticket. */
  readonly shard: string | undefined;
  /** How long the answer may take, in milliseconds. */
  readonly waitMs: number;
}

const shardCount = 8;
const inquireTimeoutMs = 500;
const confirmTimeoutMs = 300;
const expireMs = 10_000;

/** A membership change is followed by others; a take-over waits this long for them. */
const takeOverDelayMs = 100;

/** Time for the difference between the clocks of arbiters, in milliseconds. */
const clockMarginMs = 3_600_000;

/** @returns The shard of an own key. */
export function findShard(key: string): string {
  return String(Buffer.from(key, 'base64url').readUInt8(0) % shardCount);
}

/** Decides about claims: for own tickets, and for the shards that this instance leads. */
export class ClaimServer {
  readonly #parts: OnceDependencies;

  readonly #tickets: Arbiter;

  readonly #arbiters = new Map<string, Arbiter>();

  /** Newest position of each shard that this instance has heard of. */
  readonly #seen = new Map<string, JournalPosition>();

  /** When the platform last accepted a write of this arbiter, by shard, monotonic. */
  readonly #confirmedAt = new Map<string, number>();

  #changing: NodeJS.Timeout | undefined;

  constructor(parts: OnceDependencies) {
    this.#parts = parts;
    const { hub, members, metrics, identity } = parts;
    const journal = new NoopJournal(identity.incarnation);
    this.#tickets = new Arbiter(journal, (holder) => this.#inquire(holder), systemClock, {
      retentionMs: 2 * clockMarginMs,
    });
    hub.handle('claim', async (body, from) => this.#handleClaim(body, from));
    hub.handle('settle', (body, from) => this.#handleSettle(body, from));
    hub.handle('inquire', (body) => this.#handleInquire(body));
    members.watch(() => this.#handleChange());
    setInterval(() => this.#expire(), expireMs).unref();
    metrics.addGauge('once_keys', 'Keys that this instance decides about.', () =>
      [this.#tickets, ...this.#arbiters.values()].reduce((sum, { size }) => sum + size, 0),
    );
  }

  /** @returns The newest known position of a shard. */
  findPosition(shard: string): JournalPosition | undefined {
    return this.#seen.get(shard);
  }

  /** Keeps the newest position of a shard. */
  recordPosition(shard: string, mark: JournalPosition | undefined): void {
    const known = this.#seen.get(shard);
    if (mark && (!known || !isBehind(mark, known))) this.#seen.set(shard, mark);
  }

  /** @returns The instance that leads a shard in the view of this one. */
  findLeader(shard: string): InstanceId {
    // Digits at the end of a key hardly change its hash; this order spreads the shards evenly.
    const [leader] = rankByHash(`${shard}/once`, this.#parts.members.live);
    return leader ?? this.#parts.members.self;
  }

  /**
   * Accepts the present state of the platform after it has lost writes. Keys that were recorded
   * only in the lost writes can run again.
   */
  acceptPlatformState(): void {
    this.#seen.clear();
    this.#arbiters.forEach((arbiter) => arbiter.release());
  }

  /**
   * Decides about a claim.
   *
   * @param request - The claim, of this instance or of a peer.
   * @param seen - The newest position of the shard that the asker knows.
   */
  async claim(request: ClaimRequest, seen: JournalPosition | undefined): Promise<ClaimAnswer> {
    const { shard, key, waitMs } = request;
    const signal = AbortSignal.timeout(Math.max(1, Math.floor(waitMs)));
    if (shard === undefined) return this.#claimTicket(request, signal);
    if (this.findLeader(shard) !== this.#parts.members.self) return { kind: 'moved' };
    this.recordPosition(shard, seen);
    const arbiter = this.#findArbiter(shard);
    const startedAt = systemClock.now();
    const answer = await arbiter.claim(request, signal, this.#seen.get(shard));
    this.recordPosition(shard, arbiter.position);
    if (answer.kind === 'granted') this.#confirmedAt.set(shard, startedAt);
    else if (answer.kind === 'refused') {
      this.#parts.log.warn('once-refused', { shard, digest: key, reason: answer.reason });
    }
    return answer;
  }

  /** Records the end of an attempt. */
  settle(shard: string | undefined, key: string, holder: Holder, outcome: Outcome): void {
    if (shard === undefined) this.#tickets.recordOutcome(key, holder, outcome);
    else this.#arbiters.get(shard)?.recordOutcome(key, holder, outcome);
  }

  async #claimTicket(request: ClaimRequest, signal: AbortSignal): Promise<ClaimAnswer> {
    const { mint } = this.#parts;
    const ticket = mint.verify(request.key);
    // Only the run of the process that issued the ticket knows whether it was used.
    if (ticket.isErr() || !mint.isOwn(ticket.value)) return { kind: 'unknown' };
    if (mint.isExpired(ticket.value) && !this.#tickets.has(request.key)) return { kind: 'unknown' };
    return this.#tickets.claim(request, signal);
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
    const mark = isTicket || shard === undefined ? undefined : this.#seen.get(shard);
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

  /** Answers a question about an attempt, or about the position of a shard. */
  #handleInquire(body: MessageBody): MessageBody {
    const { holder, shard } = body as unknown as { holder?: Holder; shard?: string };
    if (holder) return { account: this.#parts.executions.answerInquiry(holder) };
    const mark = this.#seen.get(String(shard));
    return { upMs: performance.now(), ...(mark ? { mark } : {}) };
  }

  async #inquire(holder: Holder): Promise<AttemptStatus> {
    const { executions, hub, members } = this.#parts;
    if (holder.instance === members.self) return executions.answerInquiry(holder);
    const answer = await hub.request(holder.instance, 'inquire', { holder }, inquireTimeoutMs);
    if (answer.isOk()) return answer.value.account as AttemptStatus;
    const { kind } = answer.error;
    if (kind === 'refused' || !members.live.includes(holder.instance)) return { kind: 'gone' };
    return { kind: 'silent' };
  }

  #findArbiter(shard: string): Arbiter {
    const known = this.#arbiters.get(shard);
    if (known) return known;
    const { platform, identity, keepMs } = this.#parts;
    const journal = new PlatformJournal(
      toStore(platform),
      shard,
      identity.incarnation,
      systemClock,
      { retentionMs: keepMs + clockMarginMs },
    );
    const arbiter = new Arbiter(journal, (holder) => this.#inquire(holder), systemClock, {
      retentionMs: keepMs + clockMarginMs,
      onFailure: (failure) => this.#recordFailure(shard, failure),
      mayBeReplaced: async (mark) => this.#mayBeReplaced(shard, mark),
    });
    this.#arbiters.set(shard, arbiter);
    return arbiter;
  }

  /**
   * During an outage the platform cannot say whether another arbiter has taken over, so every
   * other instance must say that it has heard of none and has run since the last write.
   */
  async #mayBeReplaced(shard: string, mark: JournalPosition): Promise<boolean> {
    const { hub, members } = this.#parts;
    const sinceMs = systemClock.now() - (this.#confirmedAt.get(shard) ?? -Infinity);
    const peers = [...hub.addresses.keys()].filter((instance) => instance !== members.self);
    const doubts = await Promise.all(
      peers.map(async (instance) => {
        const answer = await hub.request(instance, 'inquire', { shard }, confirmTimeoutMs);
        if (answer.isErr()) return true;
        const heard = answer.value.mark as JournalPosition | undefined;
        return (heard && isBehind(mark, heard)) || Number(answer.value.upMs) < sinceMs;
      }),
    );
    return doubts.some(Boolean);
  }

  #recordFailure(shard: string, { kind, message }: JournalFailure): void {
    const { log, metrics } = this.#parts;
    metrics.recordEvent(`once-${kind}`);
    if (kind === 'went-back') log.error('once-went-back', { shard, reason: message });
    else log.warn(`once-${kind}`, { shard, reason: message });
  }

  #handleChange(): void {
    clearTimeout(this.#changing);
    this.#changing = setTimeout(() => this.#followLeaders(), takeOverDelayMs);
    this.#changing.unref();
  }

  /** Takes over the shards that this instance leads now and gives up the others. */
  #followLeaders(): void {
    for (let index = 0; index < shardCount; index++) {
      const shard = String(index);
      if (this.findLeader(shard) !== this.#parts.members.self) this.#arbiters.get(shard)?.release();
      else void this.#takeOver(shard);
    }
  }

  async #takeOver(shard: string): Promise<void> {
    const arbiter = this.#findArbiter(shard);
    const startedAt = systemClock.now();
    if (arbiter.position) return;
    if ((await arbiter.acquire(this.#seen.get(shard))) !== undefined) return;
    this.#confirmedAt.set(shard, startedAt);
    this.recordPosition(shard, arbiter.position);
    this.#parts.log.info('once-leading', { shard, epoch: this.#seen.get(shard)?.epoch });
  }

  #expire(): void {
    this.#tickets.removeExpired();
    this.#arbiters.forEach((arbiter) => arbiter.removeExpired());
  }
}

/** The journal reads its own writes, so it asks for the newest state. */
function toStore(platform: ConsulClient): JournalStore {
  return {
    read: async (key, recurse) =>
      (await platform.read(key, { recurse, consistent: true })).map(({ entries }) => entries),
    compareAndSwap: async (key, value, index) => platform.compareAndSwap(key, value, index),
    remove: async (key) => platform.remove(key),
  };
}
