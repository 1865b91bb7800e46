import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, TenantId } from '@dotterelpass/values';
import { CompletionRate, rateWindowMs } from './rate.js';

/** A call that waits for a slot. */
export interface WaitingCall {
  readonly tenant: TenantId;
  /** From 0 to 9; calls with priority 9 are served first. */
  readonly priority: number;
  /** Monotonic time of the deadline, in milliseconds. */
  readonly deadlineAt: number;
  /** Time from arrival to deadline that the class of the call allows, in milliseconds. */
  readonly deadlineMs: number;
}

/** Why a call was not admitted. It never got a slot, so its verdict is always `not-run`. */
export interface AdmissionRefusal {
  readonly reason: 'queue-full' | 'deadline';
  readonly message: string;
  /** Time after which a retry may be admitted, in whole seconds. */
  readonly retryAfterSeconds: number;
}

/** Limits of the queue of one service. */
export interface AdmissionLimits {
  /** Maximum number of queued calls. */
  readonly queue: number;
  /** Slots of the service; an unsaturated queue may hold as many calls, up to `queue`. */
  readonly slots: number;
  /** Weights of tenants; a tenant that is not listed has weight 1. */
  readonly weights: ReadonlyMap<TenantId, number>;
}

interface TenantQueue<Call> {
  readonly callsByPriority: Map<number, Call[]>;
  /** Number of calls that the tenant may still run in this round of deficit round robin. */
  deficit: number;
  size: number;
}

/** Smallest quantum that a tenant gets per round; it ensures that `dequeue` terminates. */
const minQuantum = 0.01;

/**
 * Share of the deadline for which a saturated queue may hold calls. A backlog of a whole deadline
 * takes at least that long to clear after a load peak: with a deadline of 2 s and half load after
 * the peak, calls waited for 4 s more.
 */
const saturatedDeadlineShare = 0.25;

/**
 * The bounded queue of one service. It is fair between tenants by deficit round robin; within a
 * tenant, calls are ordered by priority.
 */
export class AdmissionQueue<Call extends WaitingCall> {
  readonly #clock: Clock;

  readonly #rate: CompletionRate;

  readonly #tenants = new Map<TenantId, TenantQueue<Call>>();

  #limits: AdmissionLimits;

  #size = 0;

  #heldSlots = 1;

  /** Time since which the queue has not been empty. */
  #nonEmptySince = 0;

  /** Tenants with queued calls in the order of the round; the first is served now. */
  #activeTenants: TenantId[] = [];

  /** Whether the first active tenant has yet to get its quantum for this round. */
  #needsQuantum = true;

  constructor(clock: Clock, limits: AdmissionLimits) {
    this.#clock = clock;
    this.#limits = limits;
    this.#rate = new CompletionRate(clock);
  }

  /** Number of queued calls. */
  get size(): number {
    return this.#size;
  }

  /** Expected rate at which queued calls are served, in calls per second. */
  get completionsPerSecond(): number {
    return this.#rate.estimatePerSecond(this.#isSaturated());
  }

  /** Service time of a call with a margin for its deviation, in milliseconds. */
  get serviceTimeMs(): number {
    return this.#rate.serviceTimeMs;
  }

  /** @param limits - New limits; calls that are already queued stay. */
  setLimits(limits: AdmissionLimits): void {
    this.#limits = limits;
  }

  /**
   * Records a completed call.
   *
   * @param serviceTimeMs - Time for which the call held a slot, in milliseconds.
   */
  recordCompletion(serviceTimeMs: number): void {
    this.#rate.recordCompletion(serviceTimeMs);
  }

  /**
   * Sets how many calls this instance can run at once, which is a lower bound of the completion
   * rate while demand is low.
   *
   * @param slots - Number of slots that this instance holds or uses.
   */
  setHeldSlots(slots: number): void {
    this.#heldSlots = slots;
    this.#rate.setSlots(slots);
  }

  /**
   * Adds a call to the queue.
   *
   * @param call - The call.
   * @returns A refusal when the queue is full or the deadline of the call cannot be met.
   */
  enqueue(call: Call): Result<void, AdmissionRefusal> {
    const remainingMs = call.deadlineAt - this.#clock.now();
    const rate = this.completionsPerSecond;
    const waitMs = rate > 0 ? (this.#countAhead(call) / rate) * 1000 : 0;
    if (waitMs > remainingMs - this.serviceTimeMs) {
      const message = `the expected wait of ${Math.round(waitMs)} ms exceeds the deadline`;
      return err(this.#createRefusal('deadline', message, waitMs));
    }
    if (this.#size >= this.#computeMaxSize(call, rate)) {
      return err(this.#createRefusal('queue-full', `${this.#size} calls wait already`, waitMs));
    }
    if (this.#size === 0) this.#nonEmptySince = this.#clock.now();
    const queue = this.#findOrCreateQueue(call.tenant);
    if (queue.size === 0) this.#activeTenants.push(call.tenant);
    const samePriority = queue.callsByPriority.get(call.priority);
    if (samePriority) samePriority.push(call);
    else queue.callsByPriority.set(call.priority, [call]);
    queue.size += 1;
    this.#size += 1;
    return ok(undefined);
  }

  /**
   * Removes and returns the call that runs next. It may be a call whose deadline can no longer be
   * met, so `removeExpired` must be called first.
   *
   * @returns The call, or undefined when the queue is empty.
   */
  dequeue(): Call | undefined {
    while (this.#activeTenants.length > 0) {
      const [tenant] = this.#activeTenants as [TenantId];
      const queue = this.#tenants.get(tenant) as TenantQueue<Call>;
      if (this.#needsQuantum) {
        queue.deficit += Math.max(minQuantum, this.#limits.weights.get(tenant) ?? 1);
        this.#needsQuantum = false;
      }
      if (queue.deficit >= 1) {
        queue.deficit -= 1;
        const call = findHighestPriorityCall(queue);
        this.remove(call);
        return call;
      }
      this.#activeTenants.push(this.#activeTenants.shift() as TenantId);
      this.#needsQuantum = true;
    }
    return undefined;
  }

  /**
   * Puts back a call that `dequeue` returned and that could not run, ahead of the other calls of
   * its tenant and priority.
   *
   * @param call - The call.
   */
  requeue(call: Call): void {
    const queue = this.#findOrCreateQueue(call.tenant);
    queue.callsByPriority.set(call.priority, [
      call,
      ...(queue.callsByPriority.get(call.priority) ?? []),
    ]);
    queue.size += 1;
    queue.deficit += 1;
    this.#size += 1;
    // The tenant did not use its turn, so it stays first in the round.
    this.#activeTenants = [
      call.tenant,
      ...this.#activeTenants.filter((tenant) => tenant !== call.tenant),
    ];
    this.#needsQuantum = false;
  }

  /**
   * Removes the calls whose deadline can no longer be met.
   *
   * @returns The removed calls, each with its refusal.
   */
  removeExpired(): { readonly call: Call; readonly refusal: AdmissionRefusal }[] {
    const earliestEnd = this.#clock.now() + this.serviceTimeMs;
    const expired = [...this.#tenants.values()].flatMap(({ callsByPriority }) =>
      [...callsByPriority.values()].flatMap((calls) =>
        calls.filter((call) => call.deadlineAt < earliestEnd),
      ),
    );
    return expired.map((call) => {
      this.remove(call);
      const message = 'the deadline can no longer be met after waiting in the queue';
      return { call, refusal: this.#createRefusal('deadline', message, 0) };
    });
  }

  /**
   * Removes a call, for example because its caller has disconnected.
   *
   * @returns Whether the call was queued.
   */
  remove(call: Call): boolean {
    const queue = this.#tenants.get(call.tenant);
    const samePriority = queue?.callsByPriority.get(call.priority);
    const index = samePriority?.indexOf(call) ?? -1;
    if (!queue || !samePriority || index < 0) return false;
    samePriority.splice(index, 1);
    if (samePriority.length === 0) queue.callsByPriority.delete(call.priority);
    queue.size -= 1;
    this.#size -= 1;
    if (queue.size === 0) {
      // A tenant without queued calls must not accumulate a deficit.
      this.#tenants.delete(call.tenant);
      if (this.#activeTenants[0] === call.tenant) this.#needsQuantum = true;
      this.#activeTenants = this.#activeTenants.filter((tenant) => tenant !== call.tenant);
    }
    return true;
  }

  #findOrCreateQueue(tenant: TenantId): TenantQueue<Call> {
    const queue = this.#tenants.get(tenant) ?? { callsByPriority: new Map(), deficit: 0, size: 0 };
    this.#tenants.set(tenant, queue);
    return queue;
  }

  /**
   * Counts the calls that are served before a new call: calls of its tenant with at least its
   * priority, and the fair share of the other tenants in the same rounds.
   */
  #countAhead(call: Call): number {
    const own = this.#tenants.get(call.tenant);
    const findWeight = (tenant: TenantId) => this.#limits.weights.get(tenant) ?? 1;
    let ownAhead = 0;
    own?.callsByPriority.forEach((calls, priority) => {
      if (priority >= call.priority) ownAhead += calls.length;
    });
    const rounds = (ownAhead + 1) / findWeight(call.tenant);
    let ahead = ownAhead;
    this.#tenants.forEach((queue, tenant) => {
      if (tenant === call.tenant) return;
      ahead += Math.min(queue.size, Math.ceil(rounds * findWeight(tenant)));
    });
    return ahead;
  }

  /**
   * Whether the queue has been non-empty for a whole window. A longer queue would then not raise
   * the throughput, only the waiting time.
   */
  #isSaturated(): boolean {
    return this.#size > 0 && this.#clock.now() - this.#nonEmptySince >= rateWindowMs;
  }

  #computeMaxSize(call: Call, rate: number): number {
    const { queue, slots } = this.#limits;
    const perDeadline = rate * (call.deadlineMs / 1000);
    if (!this.#isSaturated()) return Math.min(queue, Math.max(slots, perDeadline));
    return Math.min(queue, Math.max(this.#heldSlots, perDeadline * saturatedDeadlineShare));
  }

  #createRefusal(
    reason: AdmissionRefusal['reason'],
    message: string,
    waitMs: number,
  ): AdmissionRefusal {
    return { reason, message, retryAfterSeconds: Math.max(1, Math.ceil(waitMs / 1000)) };
  }
}

function findHighestPriorityCall<Call>(queue: TenantQueue<Call>): Call {
  const highest = Math.max(...queue.callsByPriority.keys());
  return queue.callsByPriority.get(highest)?.[0] as Call;
}
