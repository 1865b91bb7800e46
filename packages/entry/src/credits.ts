import { AdmissionQueue } from '@dotterelpass/admission';
import type { AdmissionLimits, AdmissionRefusal, WaitingCall } from '@dotterelpass/admission';
import { CreditPool, countExtraCredits } from '@dotterelpass/credits';
import type { Credit, Loan } from '@dotterelpass/credits';
import type { Refusal } from '@dotterelpass/proxy';
import { CreditPolicy, Health } from '@dotterelpass/selection';
import type { BalancingPolicy } from '@dotterelpass/selection';
import type {
  Clock,
  EndpointId,
  EndpointSpec,
  InstanceId,
  Random,
  Service,
} from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EndpointAccess } from './local.js';
import type { LoanRequest, ServiceLoad, SharedService } from './loads.js';
import { LoanCoordinator } from './loans.js';
import type { LoanTransport } from './loans.js';
import { RecentMax } from './recent.js';
import { readReport } from './report.js';
import type { LoadReport } from './report.js';
import { SlotSource, refuseCall } from './slot.js';
import type { Slot, SlotOutcome, SlotRequest } from './slot.js';

/** Dependencies of a `CreditSlotSource`. */
export interface CreditSlotSourceOptions {
  readonly self: InstanceId;
  readonly access: EndpointAccess;
  readonly transport: LoanTransport;
  readonly clock: Clock;
  readonly random: Random;
  /** One-way delay from this instance to an endpoint, in milliseconds. */
  findDelayMs(endpoint: EndpointSpec): number;
}

interface Waiter extends WaitingCall {
  readonly request: SlotRequest;
  readonly queuedAt: number;
  readonly resolve: (result: Result<Slot, Refusal>) => void;
}

/** Time, besides the network round trip, until a freed slot runs its next call. */
const dispatchMs = 0.3;
const exclusivePollMs = 5;
/** An endpoint is probed after this time without the outcome of a call. */
const idleMs = 1000;

/** Queues calls until a credit is free, and shares credits with the other entry instances. */
export class CreditSlotSource extends SlotSource implements SharedService {
  readonly health: Health;

  readonly #options: CreditSlotSourceOptions;

  readonly #credits: CreditPool;

  readonly #policy: BalancingPolicy;

  readonly #queue: AdmissionQueue<Waiter>;

  /** Calls of this instance by endpoint. */
  readonly #ownCalls = new Map<EndpointId, RecentMax>();

  readonly #loans: LoanCoordinator;

  #specs: ReadonlyMap<EndpointId, EndpointSpec>;

  /** Time of the last outcome of a call by endpoint; cancelled calls do not count. */
  readonly #lastOutcomeAt = new Map<EndpointId, number>();

  #live: readonly InstanceId[] = [];

  #ejected: ReadonlySet<EndpointId> = new Set();

  /** While set, a call that has just left the queue still counts as waiting. */
  #isDequeuing = false;

  /** State in the last `loads` message to peers. */
  #lastSent = { isWaiting: false, hasFree: false };

  constructor(service: Service, options: CreditSlotSourceOptions) {
    super(service);
    this.#options = options;
    this.#specs = toSpecMap(service);
    this.health = new Health(options.clock);
    this.#policy = new CreditPolicy(options.random);
    this.#credits = new CreditPool(service.name, options.self, options.clock, (id) =>
      this.#findCreditLimit(id),
    );
    this.#loans = new LoanCoordinator({
      service: service.name,
      self: options.self,
      transport: options.transport,
      clock: options.clock,
      credits: this.#credits,
      countQueued: () => this.#queue.size,
    });
    this.#queue = new AdmissionQueue(options.clock, toAdmissionLimits(service));
  }

  /** Number of calls that wait for a slot. */
  get queued(): number {
    return this.#queue.size;
  }

  override setService(service: Service): void {
    const removed = new Set(this.service.endpoints.map(({ id }) => id));
    super.setService(service);
    this.#specs = toSpecMap(service);
    service.endpoints.forEach(({ id }) => {
      if (!removed.delete(id)) this.health.beginSlowStart(id);
    });
    removed.forEach((id) => this.health.remove(id));
    this.#queue.setLimits(toAdmissionLimits(service));
    this.#credits.setMembers(service.endpoints, this.#live);
    this.#serveQueue();
  }

  /** @param live - Live entry instances. */
  setMembers(live: readonly InstanceId[]): void {
    this.#live = live;
    this.#credits.setMembers(this.service.endpoints, live);
    this.#serveQueue();
  }

  override isIdle(endpoint: EndpointId): boolean {
    return this.#options.clock.now() - (this.#lastOutcomeAt.get(endpoint) ?? 0) > idleMs;
  }

  /**
   * Records the outcome of a probe.
   *
   * @param endpoint - The endpoint.
   * @param report - Its report; undefined if it did not respond.
   */
  recordProbe(endpoint: EndpointId, report: LoadReport | undefined): void {
    if (report) this.health.recordLoadReport(endpoint, report.calls, this.#countCalls(endpoint));
    else this.health.recordFailure(endpoint);
    this.#updateEjected();
  }

  override async acquire(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    if (!this.service.endpoints.some((endpoint) => this.#options.access.isUsable(endpoint))) {
      return refuseCall(`service ${this.service.name} has no active endpoint`);
    }
    if (request.exclusive) return this.#acquireExclusive(request);
    const slot = this.#queue.size === 0 ? this.#findSlot(request, 0) : undefined;
    if (slot) {
      this.#loans.borrowWhenLow();
      return ok(slot);
    }
    return this.#enqueue(request);
  }

  /** Renews and returns loans, ejects outliers and expires queued calls, when due. */
  tick(): void {
    this.#updateEjected();
    this.#loans.tick();
    this.#serveQueue();
  }

  readLoad(): ServiceLoad {
    const calls = Object.fromEntries(
      this.service.endpoints
        .map(({ id }) => [id, this.#credits.countBusy(id)] as const)
        .filter(([, count]) => count > 0),
    );
    const inFlight = Object.values(calls).reduce((sum, count) => sum + count, 0);
    const queued = this.#queue.size;
    const free = queued > 0 ? 0 : this.#credits.countLendable();
    this.#lastSent = { isWaiting: queued > 0, hasFree: free > 0 };
    return { free, inFlight, queued, calls };
  }

  lend(peer: InstanceId, request: LoanRequest): readonly Loan[] {
    return this.#loans.lend(peer, request);
  }

  offerLoans(peer: InstanceId, load: ServiceLoad): readonly Loan[] {
    return this.#loans.offerLoans(peer, load);
  }

  receiveLoans(peer: InstanceId, loans: readonly Loan[], startedAt: number): void {
    this.#loans.receiveLoans(peer, loans, startedAt);
    this.#serveQueue();
  }

  receiveReturn(peer: InstanceId, loans: readonly Loan[]): void {
    this.#credits.receiveReturnedLoans(peer, loans);
    this.#serveQueue();
  }

  async #enqueue(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    if (request.signal.aborted) return refuseCall('the caller disconnected');
    this.#queue.setHeldSlots(this.#credits.countHeld());
    return new Promise((resolve) => {
      const waiter: Waiter = {
        tenant: request.tenant,
        priority: request.rule.priority,
        deadlineAt: request.deadlineAt,
        deadlineMs: request.rule.deadlineMs,
        request,
        queuedAt: this.#options.clock.now(),
        resolve,
      };
      const enqueued = this.#queue.enqueue(waiter);
      if (enqueued.isErr()) {
        resolve(err(toRefusal(enqueued.error)));
        return;
      }
      request.signal.addEventListener(
        'abort',
        () => {
          if (this.#queue.remove(waiter)) resolve(refuseCall('the caller disconnected'));
        },
        { once: true },
      );
      // Extra credits become available once a call is queued.
      this.#serveQueue();
    });
  }

  #serveQueue(): void {
    if (this.#queue.size === 0) return;
    this.#queue
      .removeExpired()
      .forEach(({ call, refusal }) => call.resolve(err(toRefusal(refusal))));
    this.#isDequeuing = true;
    while (this.#queue.size > 0 && this.#hasFree()) {
      const waiter = this.#queue.dequeue() as Waiter;
      const waitedMs = this.#options.clock.now() - waiter.queuedAt;
      const slot = this.#findSlot(waiter.request, waitedMs);
      if (!slot) {
        this.#queue.requeue(waiter);
        break;
      }
      waiter.resolve(ok(slot));
    }
    this.#isDequeuing = false;
    if (this.#queue.size > 0) {
      this.#recordChange();
      this.#loans.borrow(this.#queue.size);
    }
  }

  /**
   * Records a change of the load. It is urgent if queued calls or free credits have appeared or
   * disappeared on this instance since the last message to peers.
   */
  #recordChange(): void {
    const isWaiting = this.#queue.size > 0;
    const hasFree = !isWaiting && this.#credits.countLendable(1) > 0;
    const { isWaiting: wasWaiting, hasFree: hadFree } = this.#lastSent;
    this.#options.transport.recordChange(isWaiting !== wasWaiting || hasFree !== hadFree);
  }

  #hasFree(): boolean {
    return this.service.endpoints.some(({ id }) => this.#credits.countFree(id) > 0);
  }

  #findSlot(request: SlotRequest, waitedMs: number): Slot | undefined {
    const loads = this.#options.transport.listLoads(this.service.name);
    const free = this.service.endpoints
      .filter(({ id }) => this.#credits.countFree(id) > 0)
      .map((endpoint) => ({
        id: endpoint.id,
        endpoint,
        inFlight: this.#countCalls(endpoint.id, loads),
        expectedMs: this.health.estimateLatencyMs(endpoint.id, this.#options.findDelayMs(endpoint)),
      }));
    const untried = free.filter(({ id }) => !request.tried.includes(id));
    const inOtherDomains = untried.filter(
      ({ endpoint }) => !request.avoidDomains?.includes(endpoint.failureDomain),
    );
    const candidates = [inOtherDomains, untried, free].find(({ length }) => length > 0) ?? free;
    const picked = this.#policy.pick(candidates, this.#findMaxExpectedMs(waitedMs));
    const credit = picked && this.#credits.acquire(picked.id);
    if (!picked || !credit) return undefined;
    this.#recordOwnCalls(picked.id);
    return this.#makeSlot(picked.endpoint, request, [credit]);
  }

  /** Finds the expected latency above which it is better to wait for a faster endpoint. */
  #findMaxExpectedMs(waitedMs: number): number {
    const { averageLatencyMs: averageMs } = this.health;
    const rate = this.#queue.completionsPerSecond;
    if (averageMs === 0 || rate === 0 || waitedMs > 2 * averageMs) return Number.POSITIVE_INFINITY;
    const waitMs = ((this.#queue.size + 1) * 1000) / rate;
    return 3 * averageMs + waitMs;
  }

  #makeSlot(endpoint: EndpointSpec, request: SlotRequest, credits: readonly Credit[]): Slot {
    const startedAt = this.#options.clock.now();
    return {
      endpoint,
      pool: this.#options.access.findPool(endpoint),
      release: (outcome) => {
        const ms = this.#options.clock.now() - startedAt;
        this.#recordOutcome(endpoint, request.rule.name, ms, outcome);
        credits.forEach((credit) => this.#credits.release(credit));
        this.#recordOwnCalls(endpoint.id);
        this.#serveQueue();
        this.#loans.lendToWaitingPeers();
        this.#recordChange();
      },
    };
  }

  #recordOutcome(
    endpoint: EndpointSpec,
    className: string,
    ms: number,
    outcome: SlotOutcome,
  ): void {
    const { id } = endpoint;
    if (outcome.result !== 'cancelled') this.#lastOutcomeAt.set(id, this.#options.clock.now());
    const workMs = Math.max(0, ms - 2 * this.#options.findDelayMs(endpoint));
    const isFailure = outcome.result === 'failed' || (outcome.status ?? 0) >= 500;
    if (outcome.result === 'shed') this.health.recordShed(id);
    else if (outcome.result === 'cancelled') {
      // The caller disconnected: the call would have taken at least this long.
      if (workMs > this.health.averageLatencyMs) this.health.recordResponse(id, className, workMs);
    } else if (isFailure) this.health.recordFailure(id);
    else {
      this.health.recordResponse(id, className, workMs);
      this.#queue.recordCompletion(ms);
    }
    if (isFailure) this.#updateEjected();
    const report = readReport(outcome.report);
    if (report) this.health.recordLoadReport(id, report.calls, this.#countCalls(id));
    this.#options.access.recordOutcome(endpoint, outcome);
  }

  #updateEjected(): void {
    const ids = this.service.endpoints.map(({ id }) => id);
    this.#ejected = this.health.listEjected(ids, this.service.limits.minPoolShare);
  }

  /** Counts the calls of the fleet on an endpoint as a sum of recent maxima. */
  #countCalls(
    id: EndpointId,
    loads = this.#options.transport.listLoads(this.service.name),
  ): number {
    const own = this.#ownCalls.get(id)?.read() ?? 0;
    return [...loads.values()].reduce((sum, load) => sum + load.findRecentMax(id), own);
  }

  #recordOwnCalls(id: EndpointId): void {
    const calls = this.#ownCalls.get(id) ?? new RecentMax(this.#options.clock);
    this.#ownCalls.set(id, calls);
    calls.record(this.#credits.countBusy(id));
  }

  #findCreditLimit(id: EndpointId): number {
    const endpoint = this.#specs.get(id);
    if (!endpoint || !this.#options.access.isUsable(endpoint) || this.#ejected.has(id)) return 0;
    if (this.#loans.isReserved(id)) return 0;
    const credits = this.health.countCredits(id, endpoint.slots);
    const isWaiting = this.#isDequeuing || this.#queue.size > 0;
    if (credits < endpoint.slots || !isWaiting) return credits;
    const rttMs = 2 * this.#options.findDelayMs(endpoint) + dispatchMs;
    return credits + countExtraCredits(endpoint.slots, rttMs, this.health.averageLatencyMs);
  }

  /** Acquires all credits of one endpoint, also from peers, so that no other call runs there. */
  async #acquireExclusive(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    const { clock, self, access } = this.#options;
    const usable = this.service.endpoints.filter((endpoint) => access.isUsable(endpoint));
    const untried = usable.filter(({ id }) => !request.tried.includes(id));
    const [endpoint] = [...(untried.length > 0 ? untried : usable)].sort(
      (a, b) => this.#countCalls(a.id) - this.#countCalls(b.id),
    );
    if (!endpoint) return refuseCall(`service ${this.service.name} has no active endpoint`);
    try {
      while (clock.now() < request.deadlineAt && !request.signal.aborted) {
        const credits = this.#credits.acquireAll(endpoint.id);
        if (credits) return ok(this.#makeSlot(endpoint, request, credits));
        const peers = this.#live.filter((peer) => peer !== self);
        this.#loans.reserve(endpoint.id, endpoint.slots, peers);
        await new Promise((resolve) => {
          setTimeout(resolve, exclusivePollMs);
        });
      }
    } finally {
      this.#loans.endReservation(endpoint.id);
    }
    return refuseCall('no endpoint became free for an exclusive call before its deadline');
  }
}

function toSpecMap({ endpoints }: Service): ReadonlyMap<EndpointId, EndpointSpec> {
  return new Map(endpoints.map((endpoint) => [endpoint.id, endpoint]));
}

function toAdmissionLimits({ endpoints, limits, tenants }: Service): AdmissionLimits {
  return {
    queue: limits.queue,
    slots: endpoints.reduce((sum, { slots }) => sum + slots, 0),
    weights: new Map(tenants.map(({ id, weight }) => [id, weight])),
  };
}

function toRefusal({ message, retryAfterSeconds }: AdmissionRefusal): Refusal {
  return { status: 503, verdict: 'not-run', message, retryAfterSeconds };
}
