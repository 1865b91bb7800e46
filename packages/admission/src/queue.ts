import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, TenantId } from '@dotterelpass/values';
import { CompletionRate, windowMs } from './rate.js';

/** A call that waits for a slot. */
export interface WaitingCall {
  readonly tenant: TenantId;
  /** 9 is served first. */
  readonly priority: number;
  /** Monotonic time at which the answer is worthless, in milliseconds. */
  readonly deadlineAt: number;
  /** Time from its arrival to its deadline that the class allows, in milliseconds. */
  readonly deadlineMs: number;
}

/** Why a call does not run. It was never given a slot, so the verdict is always `not-run`. */
export interface AdmissionRefusal {
  readonly reason: 'queue-full' | 'deadline';
  readonly message: string;
  /** Time after which a new try has a chance, in whole seconds. */
  readonly retryAfterSeconds: number;
}

/** Limits of one queue. */
export interface AdmissionLimits {
  /** Most calls that wait. */
  readonly queue: number;
  /** Slots of the service; the queue may always be this long. */
  readonly slots: number;
  /** Weights of tenants; others weigh 1. */
  readonly weights: ReadonlyMap<TenantId, number>;
}

interface TenantQueue<Call> {
  readonly levels: Map<number, Call[]>;
  deficit: number;
  size: number;
}

/** Smallest share that a tenant gains in one round, so that a round always ends. */
const minWeight = 0.01;

/**
 * Share of the deadline that a standing queue may hold. A backlog of a whole deadline takes that
 * long to serve after a crest: at half load, calls waited 4 s more with a deadline of 2 s.
 */
const standingShare = 0.25;

/** The bounded queue of one service: fair between tenants, by priority within a tenant. */
export class AdmissionQueue<Call extends WaitingCall> {
  readonly #clock: Clock;

  readonly #rate: CompletionRate;

  readonly #tenants = new Map<TenantId, TenantQueue<Call>>();

  #limits: AdmissionLimits;

  #size = 0;

  #heldSlots = 1;

  /** Since when the queue has not been empty. */
  #waitingSince = 0;

  /** Tenants with waiting calls, the one whose turn it is first. */
  #turns: TenantId[] = [];

  #isTurnNew = true;

  constructor(clock: Clock, limits: AdmissionLimits) {
    this.#clock = clock;
    this.#limits = limits;
    this.#rate = new CompletionRate(clock);
  }

  /** Calls that wait. */
  get size(): number {
    return this.#size;
  }

  /** Calls a second that this queue can expect to be served. */
  get completionsPerSecond(): number {
    return this.#rate.readPerSecond(this.#isSaturated());
  }

  /** Time that a call takes, with a margin for its spread, in milliseconds. */
  get serviceMs(): number {
    return this.#rate.serviceMs;
  }

  /** @param limits - Limits that apply from now on; calls that wait already stay. */
  setLimits(limits: AdmissionLimits): void {
    this.#limits = limits;
  }

  /**
   * Records a call that has been served.
   *
   * @param serviceMs - Time that it held a slot, in milliseconds.
   */
  recordCompletion(serviceMs: number): void {
    this.#rate.record(serviceMs);
  }

  /**
   * Records how many calls this instance can run at once, which bounds the rate from below
   * while demand is low.
   *
   * @param slots - Slots that this instance holds or uses.
   */
  setHeldSlots(slots: number): void {
    this.#heldSlots = slots;
    this.#rate.recordSlots(slots);
  }

  /**
   * Puts a call in the queue.
   *
   * @param call - The call.
   * @returns A refusal when the queue is full or its deadline cannot be met.
   */
  enqueue(call: Call): Result<void, AdmissionRefusal> {
    const remainingMs = call.deadlineAt - this.#clock.now();
    const rate = this.completionsPerSecond;
    const waitMs = rate > 0 ? (this.#countAhead(call) / rate) * 1000 : 0;
    if (waitMs > remainingMs - this.serviceMs) {
      const message = `the expected wait of ${Math.round(waitMs)} ms exceeds the deadline`;
      return err(this.#toRefusal('deadline', message, waitMs));
    }
    if (this.#size >= this.#findBound(call, rate)) {
      return err(this.#toRefusal('queue-full', `${this.#size} calls wait already`, waitMs));
    }
    if (this.#size === 0) this.#waitingSince = this.#clock.now();
    const queue = this.#findTenant(call.tenant);
    if (queue.size === 0) this.#turns.push(call.tenant);
    const level = queue.levels.get(call.priority);
    if (level) level.push(call);
    else queue.levels.set(call.priority, [call]);
    queue.size += 1;
    this.#size += 1;
    return ok(undefined);
  }

  /**
   * Picks the call that runs next and removes it. Call `dropLate` first.
   *
   * @returns The call, or undefined when none waits.
   */
  dequeue(): Call | undefined {
    while (this.#turns.length > 0) {
      const [tenant] = this.#turns as [TenantId];
      const queue = this.#tenants.get(tenant) as TenantQueue<Call>;
      if (this.#isTurnNew) {
        queue.deficit += Math.max(minWeight, this.#limits.weights.get(tenant) ?? 1);
        this.#isTurnNew = false;
      }
      if (queue.deficit >= 1) {
        queue.deficit -= 1;
        const call = findFirst(queue);
        this.remove(call);
        return call;
      }
      this.#turns.push(this.#turns.shift() as TenantId);
      this.#isTurnNew = true;
    }
    return undefined;
  }

  /**
   * Puts back a call that `pickNext` gave and that could not run, at the head of its level.
   *
   * @param call - The call.
   */
  requeue(call: Call): void {
    const queue = this.#findTenant(call.tenant);
    queue.levels.set(call.priority, [call, ...(queue.levels.get(call.priority) ?? [])]);
    queue.size += 1;
    queue.deficit += 1;
    this.#size += 1;
    // Its turn was not used: it goes on.
    this.#turns = [call.tenant, ...this.#turns.filter((tenant) => tenant !== call.tenant)];
    this.#isTurnNew = false;
  }

  /**
   * Removes the calls whose deadline can no longer be met.
   *
   * @returns These calls, each with its refusal.
   */
  removeExpired(): { readonly call: Call; readonly refusal: AdmissionRefusal }[] {
    const latest = this.#clock.now() + this.serviceMs;
    const late = [...this.#tenants.values()].flatMap(({ levels }) =>
      [...levels.values()].flatMap((calls) => calls.filter((call) => call.deadlineAt < latest)),
    );
    return late.map((call) => {
      this.remove(call);
      const message = 'the deadline can no longer be met after waiting in the queue';
      return { call, refusal: this.#toRefusal('deadline', message, 0) };
    });
  }

  /**
   * Removes a call whose caller has left.
   *
   * @returns Whether it was waiting.
   */
  remove(call: Call): boolean {
    const queue = this.#tenants.get(call.tenant);
    const level = queue?.levels.get(call.priority);
    const index = level?.indexOf(call) ?? -1;
    if (!queue || !level || index < 0) return false;
    level.splice(index, 1);
    if (level.length === 0) queue.levels.delete(call.priority);
    queue.size -= 1;
    this.#size -= 1;
    if (queue.size === 0) {
      // A tenant without waiting calls saves up no share.
      this.#tenants.delete(call.tenant);
      if (this.#turns[0] === call.tenant) this.#isTurnNew = true;
      this.#turns = this.#turns.filter((tenant) => tenant !== call.tenant);
    }
    return true;
  }

  #findTenant(tenant: TenantId): TenantQueue<Call> {
    const queue = this.#tenants.get(tenant) ?? { levels: new Map(), deficit: 0, size: 0 };
    this.#tenants.set(tenant, queue);
    return queue;
  }

  /** Counts the calls that are served before a new call: its tenant's, and others' fair share. */
  #countAhead(call: Call): number {
    const own = this.#tenants.get(call.tenant);
    const weightOf = (tenant: TenantId) => this.#limits.weights.get(tenant) ?? 1;
    let before = 0;
    own?.levels.forEach((calls, priority) => {
      if (priority >= call.priority) before += calls.length;
    });
    const rounds = (before + 1) / weightOf(call.tenant);
    let ahead = before;
    this.#tenants.forEach((queue, tenant) => {
      if (tenant === call.tenant) return;
      ahead += Math.min(queue.size, Math.ceil(rounds * weightOf(tenant)));
    });
    return ahead;
  }

  /** A queue that was not empty for a whole window gives its calls nothing but a wait. */
  #isSaturated(): boolean {
    return this.#size > 0 && this.#clock.now() - this.#waitingSince >= windowMs;
  }

  #findBound(call: Call, rate: number): number {
    const { queue, slots } = this.#limits;
    const perDeadline = rate * (call.deadlineMs / 1000);
    if (!this.#isSaturated()) return Math.min(queue, Math.max(slots, perDeadline));
    return Math.min(queue, Math.max(this.#heldSlots, perDeadline * standingShare));
  }

  #toRefusal(
    reason: AdmissionRefusal['reason'],
    message: string,
    waitMs: number,
  ): AdmissionRefusal {
    return { reason, message, retryAfterSeconds: Math.max(1, Math.ceil(waitMs / 1000)) };
  }
}

function findFirst<Call>(queue: TenantQueue<Call>): Call {
  const highest = Math.max(...queue.levels.keys());
  return queue.levels.get(highest)?.[0] as Call;
}
