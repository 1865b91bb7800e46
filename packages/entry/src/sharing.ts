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
import type { EndpointAccess } from './baseline.js';
import type { LoanRequest, ServiceLoad, SharedService } from './loads.js';
import { LoanBook } from './loans.js';
import type { LoanMarket } from './loans.js';
import { RecentMax } from './recent.js';
import { readReport } from './report.js';
import type { LoadReport } from './report.js';
import { SlotSource, refuseCall } from './source.js';
import type { Slot, SlotOutcome, SlotRequest } from './source.js';

export interface SharingOptions {
  readonly self: InstanceId;
  readonly access: EndpointAccess;
  readonly market: LoanMarket;
  readonly clock: Clock;
  readonly random: Random;
  /** One-way delay from this instance to an endpoint, in milliseconds. */
  findDelayMs(endpoint: EndpointSpec): number;
}

interface Waiter extends WaitingCall {
  readonly request: SlotRequest;
  readonly queuedAt: number;
  readonly resolve: (answer: Result<Slot, Refusal>) => void;
}

/** Time beyond the way that a freed slot waits for its next call, in milliseconds. */
const handlingMs = 0.3;
const aloneStepMs = 5;
/** An endpoint that answered no call for this long is probed, in milliseconds. */
const idleMs = 1000;

/** Holds calls until a credit is free, and shares credits with the other entry instances. */
export class SharingSource extends SlotSource implements SharedService {
  readonly health: Health;

  readonly #options: SharingOptions;

  readonly #credits: CreditPool;

  readonly #policy: BalancingPolicy;

  readonly #queue: AdmissionQueue<Waiter>;

  readonly #known = new Map<EndpointId, RecentMax>();

  readonly #loans: LoanBook;

  #specs: ReadonlyMap<EndpointId, EndpointSpec>;

  readonly #heardAt = new Map<EndpointId, number>();

  #live: readonly InstanceId[] = [];

  #ejected: ReadonlySet<EndpointId> = new Set();

  /** A call that has just been taken from the queue still counts as waiting. */
  #isServing = false;

  #told = { isWaiting: false, hasFree: false };

  constructor(service: Service, options: SharingOptions) {
    super(service);
    this.#options = options;
    this.#specs = toSpecs(service);
    this.health = new Health(options.clock);
    this.#policy = new CreditPolicy(options.random);
    this.#credits = new CreditPool(service.name, options.self, options.clock, (id) =>
      this.#findLimit(id),
    );
    this.#loans = new LoanBook({
      service: service.name,
      self: options.self,
      market: options.market,
      clock: options.clock,
      credits: this.#credits,
      countQueued: () => this.#queue.size,
    });
    this.#queue = new AdmissionQueue(options.clock, toLimits(service));
  }

  /** Calls that wait for a slot. */
  get queued(): number {
    return this.#queue.size;
  }

  override setService(service: Service): void {
    const before = new Set(this.service.endpoints.map(({ id }) => id));
    super.setService(service);
    this.#specs = toSpecs(service);
    service.endpoints.forEach(({ id }) => {
      if (!before.delete(id)) this.health.beginSlowStart(id);
    });
    before.forEach((id) => this.health.remove(id));
    this.#queue.setLimits(toLimits(service));
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
    return this.#options.clock.now() - (this.#heardAt.get(endpoint) ?? 0) > idleMs;
  }

  /**
   * Takes the outcome of a probe.
   *
   * @param endpoint - The endpoint.
   * @param report - Its report; undefined when it did not answer.
   */
  recordProbe(endpoint: EndpointId, report: LoadReport | undefined): void {
    if (report) this.health.recordLoadReport(endpoint, report.calls, this.#countKnown(endpoint));
    else this.health.recordFailure(endpoint);
    this.#updateEjected();
  }

  override async acquire(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    if (!this.service.endpoints.some((endpoint) => this.#options.access.isUsable(endpoint))) {
      return refuseCall(`service ${this.service.name} has no active endpoint`);
    }
    if (request.alone) return this.#acquireAlone(request);
    const slot = this.#queue.size === 0 ? this.#findSlot(request, 0) : undefined;
    if (slot) {
      this.#loans.borrowWhenLow();
      return ok(slot);
    }
    return this.#wait(request);
  }

  /** Does what time makes due: renewals, returns, deadlines of waiting calls. */
  advance(): void {
    this.#updateEjected();
    this.#loans.advance();
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
    this.#told = { isWaiting: queued > 0, hasFree: free > 0 };
    return { free, inFlight, queued, calls };
  }

  lend(peer: InstanceId, request: LoanRequest): readonly Loan[] {
    return this.#loans.lend(peer, request);
  }

  offerLoans(peer: InstanceId, load: ServiceLoad): readonly Loan[] {
    return this.#loans.offerLoans(peer, load);
  }

  receiveLoans(peer: InstanceId, loans: readonly Loan[], askedAt: number): void {
    this.#loans.receiveLoans(peer, loans, askedAt);
    this.#serveQueue();
  }

  receiveReturn(peer: InstanceId, loans: readonly Loan[]): void {
    this.#credits.receiveReturnedLoans(peer, loans);
    this.#serveQueue();
  }

  async #wait(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    if (request.signal.aborted) return refuseCall('the caller has left');
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
      const offer = this.#queue.enqueue(waiter);
      if (offer.isErr()) {
        resolve(err(toRefusal(offer.error)));
        return;
      }
      request.signal.addEventListener(
        'abort',
        () => {
          if (this.#queue.remove(waiter)) resolve(refuseCall('the caller has left'));
        },
        { once: true },
      );
      // The first waiting call makes extra credits usable.
      this.#serveQueue();
    });
  }

  #serveQueue(): void {
    if (this.#queue.size === 0) return;
    this.#queue
      .removeExpired()
      .forEach(({ call, refusal }) => call.resolve(err(toRefusal(refusal))));
    this.#isServing = true;
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
    this.#isServing = false;
    if (this.#queue.size > 0) {
      this.#recordChange();
      this.#loans.borrow(this.#queue.size);
    }
  }

  /** Peers hear soon when calls begin or cease to wait here, or free credits begin or cease. */
  #recordChange(): void {
    const isWaiting = this.#queue.size > 0;
    const hasFree = !isWaiting && this.#credits.countLendable(1) > 0;
    const { isWaiting: wasWaiting, hasFree: hadFree } = this.#told;
    this.#options.market.recordChange(isWaiting !== wasWaiting || hasFree !== hadFree);
  }

  #hasFree(): boolean {
    return this.service.endpoints.some(({ id }) => this.#credits.countFree(id) > 0);
  }

  #findSlot(request: SlotRequest, waitedMs: number): Slot | undefined {
    const loads = this.#options.market.listLoads(this.service.name);
    const free = this.service.endpoints
      .filter(({ id }) => this.#credits.countFree(id) > 0)
      .map((endpoint) => ({
        id: endpoint.id,
        endpoint,
        inFlight: this.#countKnown(endpoint.id, loads),
        expectedMs: this.health.estimateLatencyMs(endpoint.id, this.#options.findDelayMs(endpoint)),
      }));
    const untried = free.filter(({ id }) => !request.tried.includes(id));
    const apart = untried.filter(
      ({ endpoint }) => !request.avoidDomains?.includes(endpoint.failureDomain),
    );
    const candidates = [apart, untried, free].find(({ length }) => length > 0) ?? free;
    const picked = this.#policy.pick(candidates, this.#findPatienceMs(waitedMs));
    const credit = picked && this.#credits.acquire(picked.id);
    if (!picked || !credit) return undefined;
    this.#recordKnown(picked.id);
    return this.#makeSlot(picked.endpoint, request, [credit]);
  }

  /** Beyond this expected time it is better to wait for a faster endpoint. */
  #findPatienceMs(waitedMs: number): number {
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
        this.#recordKnown(endpoint.id);
        this.#serveQueue();
        this.#loans.serveWaitingPeers();
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
    if (outcome.result !== 'cancelled') this.#heardAt.set(id, this.#options.clock.now());
    const workMs = Math.max(0, ms - 2 * this.#options.findDelayMs(endpoint));
    const isFailure = outcome.result === 'failed' || (outcome.status ?? 0) >= 500;
    if (outcome.result === 'shed') this.health.recordShed(id);
    else if (outcome.result === 'cancelled') {
      // The caller left: the call would have taken at least this long.
      if (workMs > this.health.averageLatencyMs) this.health.recordResponse(id, className, workMs);
    } else if (isFailure) this.health.recordFailure(id);
    else {
      this.health.recordResponse(id, className, workMs);
      this.#queue.recordCompletion(ms);
    }
    if (isFailure) this.#updateEjected();
    const report = readReport(outcome.report);
    if (report) this.health.recordLoadReport(id, report.calls, this.#countKnown(id));
    this.#options.access.recordOutcome(endpoint, outcome);
  }

  #updateEjected(): void {
    const ids = this.service.endpoints.map(({ id }) => id);
    this.#ejected = this.health.listEjected(ids, this.service.limits.minPoolShare);
  }

  /** Calls of the fleet on an endpoint: the most that this instance has recently known of. */
  #countKnown(id: EndpointId, loads = this.#options.market.listLoads(this.service.name)): number {
    const own = this.#known.get(id)?.read() ?? 0;
    return [...loads.values()].reduce((sum, load) => sum + load.countRecent(id), own);
  }

  #recordKnown(id: EndpointId): void {
    const known = this.#known.get(id) ?? new RecentMax(this.#options.clock);
    this.#known.set(id, known);
    known.record(this.#credits.countBusy(id));
  }

  #findLimit(id: EndpointId): number {
    const endpoint = this.#specs.get(id);
    if (!endpoint || !this.#options.access.isUsable(endpoint) || this.#ejected.has(id)) return 0;
    if (this.#loans.isSetAside(id)) return 0;
    const credits = this.health.countCredits(id, endpoint.slots);
    const isWaiting = this.#isServing || this.#queue.size > 0;
    if (credits < endpoint.slots || !isWaiting) return credits;
    const rttMs = 2 * this.#options.findDelayMs(endpoint) + handlingMs;
    return credits + countExtraCredits(endpoint.slots, rttMs, this.health.averageLatencyMs);
  }

  /** Collects all credits of one endpoint, from peers as well, until no other call runs there. */
  async #acquireAlone(request: SlotRequest): Promise<Result<Slot, Refusal>> {
    const { clock, self, access } = this.#options;
    const usable = this.service.endpoints.filter((endpoint) => access.isUsable(endpoint));
    const untried = usable.filter(({ id }) => !request.tried.includes(id));
    const [endpoint] = [...(untried.length > 0 ? untried : usable)].sort(
      (a, b) => this.#countKnown(a.id) - this.#countKnown(b.id),
    );
    if (!endpoint) return refuseCall(`service ${this.service.name} has no active endpoint`);
    try {
      while (clock.now() < request.deadlineAt && !request.signal.aborted) {
        const credits = this.#credits.acquireAll(endpoint.id);
        if (credits) return ok(this.#makeSlot(endpoint, request, credits));
        const peers = this.#live.filter((peer) => peer !== self);
        this.#loans.collect(endpoint.id, endpoint.slots, peers);
        await new Promise((resolve) => {
          setTimeout(resolve, aloneStepMs);
        });
      }
    } finally {
      this.#loans.endCollection(endpoint.id);
    }
    return refuseCall('no endpoint became free for a call that must run alone');
  }
}

function toSpecs({ endpoints }: Service): ReadonlyMap<EndpointId, EndpointSpec> {
  return new Map(endpoints.map((endpoint) => [endpoint.id, endpoint]));
}

function toLimits({ endpoints, limits, tenants }: Service): AdmissionLimits {
  return {
    queue: limits.queue,
    slots: endpoints.reduce((sum, { slots }) => sum + slots, 0),
    weights: new Map(tenants.map(({ id, weight }) => [id, weight])),
  };
}

function toRefusal({ message, retryAfterSeconds }: AdmissionRefusal): Refusal {
  return { status: 503, verdict: 'not-run', message, retryAfterSeconds };
}
