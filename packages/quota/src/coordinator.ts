import type { Clock, InstanceId, LimitKey, Random } from '@dotterelpass/values';
import {
  attachmentTtlMs,
  computeCapacity,
  computeOverlapRate,
  computeReserve,
  computeStart,
} from './bounds.js';
import type { QuotaBounds } from './bounds.js';
import { TokenBucket } from './bucket.js';
import { computeGroup } from './groups.js';
import type { LimitSpec } from './limiter.js';
import type {
  CoordinatorStamp,
  QuotaRequest,
  QuotaResponse,
  TokenAnswer,
  TokenQuestion,
} from './message.js';

/** Age from which the attached instances are counted again. */
const recountIntervalMs = 20;

/** Time after which an unused limit is dropped. */
const limitRetentionMs = 60_000;

const sweepIntervalMs = 5000;

/**
 * Maximum time that an instance waits behind others that were denied. It bounds the questions about
 * one limit; a longer time would leave tokens unused when demand moves to other instances.
 */
const maxQueueMs = 250;

/** Maximum time over which the callers that were denied are spread. */
const maxSpanMs = 10_000;

/** Maximum wait while instances are still attaching to the group, which raises its rate. */
const maxYoungWaitMs = 1000;

export interface QuotaCoordinatorOptions {
  readonly clock: Clock;
  readonly random: Random;
  getBounds(): QuotaBounds;
}

/** An instance that is attached to groups of limits. */
interface Attachment {
  readonly groupCount: number;
  /** Time until which another coordinator may count the instance, by group. */
  readonly overlapUntil: ReadonlyMap<number, number>;
  readonly until: number;
}

/** Instances that are attached to a group. */
interface GroupCount {
  /** Instances that no other coordinator counts. */
  settled: number;
  /** Instances that another coordinator may count, too. */
  overlapping: number;
}

/** A limit whose tokens this coordinator grants. */
interface LimitState {
  spec: LimitSpec;
  readonly bucket: TokenBucket;
  /** Questions that were denied and whose instances are yet to ask again. */
  queuedQuestions: number;
  /** Requests that were denied and whose callers may come again. */
  queuedRequests: number;
  updatedAt: number;
}

/** What operators see of a group that this instance coordinates. */
export interface CoordinatedGroup {
  readonly group: number;
  readonly groupCount: number;
  readonly attached: number;
}

/** Grants the tokens of the limits of some groups, for the instances that are attached to it. */
export class QuotaCoordinator {
  readonly #options: QuotaCoordinatorOptions;

  /** Drawn with the first stamp, so that nothing is done where no limit is configured. */
  #epoch: number | undefined;

  readonly #attachments = new Map<InstanceId, Attachment>();

  readonly #counts = new Map<string, GroupCount>();

  /** Monotonic times at which groups were last taken over, wholly or in part, by group. */
  readonly #takenOverAt = new Map<string, number>();

  readonly #limits = new Map<LimitKey, LimitState>();

  #countedAt = -Infinity;

  #sweptAt = -Infinity;

  #size = 1;

  #isLeaving = false;

  constructor(options: QuotaCoordinatorOptions) {
    this.#options = options;
  }

  /** @param size - Number of known instances, including those that were lost a short time ago. */
  setSize(size: number): void {
    this.#size = Math.max(1, size);
  }

  /** Answers from now on that this instance stops, so that others use the next coordinator. */
  startDraining(): void {
    this.#isLeaving = true;
  }

  /** @returns The present time on the clock of this coordinator. */
  readStamp(): CoordinatorStamp {
    const { clock, random } = this.#options;
    this.#epoch ??= Math.floor(random.next() * 2 ** 32);
    return { epoch: this.#epoch, at: clock.now() };
  }

  /** Number of limits with a bucket here. */
  get limitCount(): number {
    return this.#limits.size;
  }

  /**
   * Handles a message of an instance.
   *
   * @param from - The instance; may be this one.
   * @param request - The message.
   */
  handleRequest(from: InstanceId, request: QuotaRequest): QuotaResponse {
    const now = this.#options.clock.now();
    const stamp = this.readStamp();
    if (this.#isLeaving) {
      return { stamp, isCounted: false, isLeaving: true, size: this.#size, answers: [] };
    }
    const isCounted = this.#recordAttachment(from, request, now);
    const answers = request.questions.map((question) => this.#answerQuestion(question, now));
    if (now - this.#sweptAt > sweepIntervalMs) this.#dropUnused(now);
    return { stamp, isCounted, isLeaving: false, size: this.#size, answers };
  }

  /** @returns The groups with attached instances, for operators. */
  readStatus(): readonly CoordinatedGroup[] {
    this.#recount(this.#options.clock.now());
    return [...this.#counts].map(([id, { settled, overlapping }]) => {
      const [group, groupCount] = id.split('/').map(Number);
      return { group: group ?? 0, groupCount: groupCount ?? 0, attached: settled + overlapping };
    });
  }

  /** @returns Whether the instance is counted in the groups that it has listed. */
  #recordAttachment(
    from: InstanceId,
    { groupCount, groups, overlapsMs, stamp }: QuotaRequest,
    now: number,
  ): boolean {
    const isValid = stamp !== undefined && stamp.epoch === this.#epoch;
    const until = isValid ? stamp.at + attachmentTtlMs : -Infinity;
    if (groups.length === 0 || until <= now) {
      // A late message neither attaches nor detaches; the answer makes the instance send again.
      if (until > now) this.#detach(from);
      return groups.length === 0;
    }
    const previous = this.#attachments.get(from);
    const overlapUntil = new Map(
      groups.map((group, index) => [group, now + (overlapsMs?.[index] ?? 0)]),
    );
    this.#attachments.set(from, { groupCount, overlapUntil, until });
    overlapUntil.forEach((time, group) => {
      const id = makeGroupId(group, groupCount);
      const wasAttached =
        previous !== undefined &&
        previous.until > now &&
        previous.groupCount === groupCount &&
        previous.overlapUntil.has(group);
      const hasMoved = !wasAttached && time > now;
      if (hasMoved || !this.#takenOverAt.has(id)) this.#takenOverAt.set(id, now);
    });
    return true;
  }

  #detach(from: InstanceId): void {
    if (this.#attachments.delete(from)) this.#countedAt = -Infinity;
  }

  #answerQuestion(question: TokenQuestion, now: number): TokenAnswer {
    const { key, wanted, returning, returned, denied } = question;
    const state = this.#getOrCreateLimit(question, now);
    const { settled, overlapping } = this.#countAttached(key, now);
    const bounds = this.#options.getBounds();
    const { spec, bucket } = state;
    const share = Math.min(1, (settled + overlapping) / this.#size);
    const rate =
      (spec.ratePerSecond * Math.min(settled, this.#size) +
        computeOverlapRate(spec, bounds) *
          Math.max(0, Math.min(overlapping, this.#size - settled))) /
      this.#size;
    const capacity = computeCapacity(spec, share);
    const passed = (rate * (now - state.updatedAt)) / 1000;
    state.updatedAt = now;
    state.queuedQuestions = Math.max(0, state.queuedQuestions - passed);
    state.queuedRequests = Math.max(0, state.queuedRequests - passed) + denied;
    bucket.refill(now, rate, capacity);
    bucket.put(returned, capacity);
    const fresh = wanted - returning;
    const grantedFresh = bucket.take(fresh);
    const reserve = computeReserve(rate, capacity);
    const granted = grantedFresh + bucket.takeBeyond(reserve, returning);
    const { tokens } = bucket;
    const attached = settled + overlapping;
    if (granted === wanted) return { key, granted, dueMs: 0, spanMs: 0, tokens, attached };
    const perTokenMs = rate > 0 ? 1000 / rate : Infinity;
    const queueMs = Math.min(maxQueueMs, state.queuedQuestions * perTokenMs || 0);
    const fullMs = Math.max(0, 1 - tokens) * perTokenMs + queueMs;
    const dueMs = this.#isYoung(key, now) ? Math.min(maxYoungWaitMs, fullMs) : fullMs;
    state.queuedQuestions += 1;
    state.queuedRequests += wanted - granted;
    const spanMs = Math.min(maxSpanMs, state.queuedRequests * perTokenMs);
    // The oldest denials no longer matter once their callers would be told the longest time.
    state.queuedRequests = Math.min(state.queuedRequests, (maxSpanMs * rate) / 1000 + 1);
    return { key, granted, dueMs, spanMs, tokens, attached };
  }

  #getOrCreateLimit(question: TokenQuestion, now: number): LimitState {
    const { key, ratePerSecond, burst, version } = question;
    const existing = this.#limits.get(key);
    if (existing) {
      if (version > existing.spec.version) existing.spec = { key, ratePerSecond, burst, version };
      return existing;
    }
    const spec: LimitSpec = { key, ratePerSecond, burst, version };
    const state: LimitState = {
      spec,
      bucket: new TokenBucket(this.#computeStartTokens(spec, now), now),
      queuedQuestions: 0,
      queuedRequests: 0,
      updatedAt: now,
    };
    this.#limits.set(key, state);
    return state;
  }

  /** A limit that has long been unused starts with its burst, as a bucket that was kept would. */
  #computeStartTokens(spec: LimitSpec, now: number): number {
    const bounds = this.#options.getBounds();
    const isTakenOver = this.#wasTakenOverWithin(spec.key, now, bounds.quotaWindowMs);
    return isTakenOver ? computeStart(spec, bounds) : computeCapacity(spec, 1);
  }

  #isYoung(key: LimitKey, now: number): boolean {
    return this.#wasTakenOverWithin(key, now, attachmentTtlMs);
  }

  #wasTakenOverWithin(key: LimitKey, now: number, ms: number): boolean {
    this.#recount(now);
    const times = this.#listGroups(key).map((id) => this.#takenOverAt.get(id) ?? now);
    return times.length === 0 || times.some((at) => now - at < ms);
  }

  #countAttached(key: LimitKey, now: number): GroupCount {
    this.#recount(now);
    const total = { settled: 0, overlapping: 0 };
    this.#listGroups(key).forEach((id) => {
      const count = this.#counts.get(id);
      total.settled += count?.settled ?? 0;
      total.overlapping += count?.overlapping ?? 0;
    });
    return total;
  }

  /**
   * Lists the groups that contain a limit. While the size of the fleet changes, instances divide the
   * limits into different numbers of groups; each instance is counted in one division only.
   */
  #listGroups(key: LimitKey): readonly string[] {
    const groupCounts = new Set([...this.#counts.keys()].map((id) => Number(id.split('/')[1])));
    return [...groupCounts].map((count) => makeGroupId(computeGroup(key, count), count));
  }

  #recount(now: number): void {
    if (now - this.#countedAt < recountIntervalMs) return;
    this.#countedAt = now;
    this.#counts.clear();
    this.#attachments.forEach(({ groupCount, overlapUntil, until }, instance) => {
      if (until <= now) {
        this.#attachments.delete(instance);
        return;
      }
      overlapUntil.forEach((time, group) => {
        const id = makeGroupId(group, groupCount);
        const count = this.#counts.get(id) ?? { settled: 0, overlapping: 0 };
        this.#counts.set(id, count);
        if (time > now) count.overlapping += 1;
        else count.settled += 1;
      });
    });
    this.#takenOverAt.forEach((_, id) => {
      if (!this.#counts.has(id)) this.#takenOverAt.delete(id);
    });
  }

  #dropUnused(now: number): void {
    this.#sweptAt = now;
    this.#limits.forEach(({ updatedAt }, key) => {
      if (now - updatedAt > limitRetentionMs) this.#limits.delete(key);
    });
  }
}

function makeGroupId(group: number, groupCount: number): string {
  return `${group}/${groupCount}`;
}
