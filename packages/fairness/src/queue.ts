import type { Clock, WorkspaceId } from '@dotterelpass/values';
import { compareRank } from './order.js';
import type { CallRank, FairCall } from './order.js';
import { ServiceRate } from './rate.js';
import { RecentService } from './recent.js';
import { addSorted, removeSorted } from './sorted.js';

/**
 * Calls of one workspace that may wait for one service. Until the rate of service is known, this
 * alone bounds the memory that a workspace takes.
 */
const maxWaitingPerWorkspace = 256;

/**
 * Factor on the recent service of the next workspace, beyond which another one has got much more. One
 * call of its own is added, since most workspaces have fewer than one in sight of an instance.
 */
const excessFactor = 2;

/** Something that waits with a call. */
export interface FairItem {
  readonly call: FairCall;
}

/** What a queue knows about the wait of a call. */
export interface WaitEstimate {
  /** Number of waiting calls, and of those of the same workspace. */
  readonly queued: number;
  readonly queuedOfWorkspace: number;
  /** Least endpoint time that goes to other calls before this one, in milliseconds. */
  readonly workAheadMs: number;
  /** Endpoint time given per millisecond; undefined while too little was measured. */
  readonly serviceRate: number | undefined;
  /** Expected wait; undefined while the rate is, or zero. */
  readonly expectedWaitMs: number | undefined;
  /** Time that the call can wait, in milliseconds. */
  readonly availableMs: number;
}

/** Waiting calls of a workspace, for operators. */
export interface WorkspaceDemand {
  readonly workspace: WorkspaceId | undefined;
  readonly calls: number;
  /** Endpoint time that it has got lately, in milliseconds. */
  readonly recentServiceMs: number;
}

/** Waiting calls of one workspace and rank. */
interface Flow<Item> {
  readonly workspace: WorkspaceId | undefined;
  /** In the order of the ends of their waits. */
  readonly items: Item[];
  /** Recent service of the workspace, as of `RecentService.getLevel`. */
  level: number;
  /** Orders workspaces of equal service by the time since which they wait. */
  readonly sequence: number;
  workMs: number;
}

/** Waiting calls of one rank. */
interface Band<Item> extends CallRank {
  readonly flows: Map<WorkspaceId | undefined, Flow<Item>>;
  /** The flows in the order of their service. */
  readonly order: Flow<Item>[];
  workMs: number;
}

/**
 * The order in which the waiting calls of one service get capacity: by priority, then calls that can
 * be in time, then the workspace with the least recent service, then the end of the wait. The
 * deadline of a call, which callers choose, counts only within its workspace. Capacity that the
 * others do not ask for goes to whoever waits.
 *
 * An operation takes a time that is logarithmic in the number of waiting workspaces and of waiting
 * calls of the workspace, but for a refusal, which looks at each waiting workspace.
 */
export class FairQueue<Item extends FairItem> {
  readonly #clock: Clock;

  readonly #recent: RecentService;

  readonly #rate: ServiceRate;

  /** In the order of their ranks. */
  readonly #bands: Band<Item>[] = [];

  /** Number of waiting calls of each waiting workspace. */
  readonly #counts = new Map<WorkspaceId | undefined, number>();

  #size = 0;

  #sequence = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#recent = new RecentService(clock);
    this.#rate = new ServiceRate(clock);
  }

  get size(): number {
    return this.#size;
  }

  /** @returns The next call to be sent; undefined when none waits. */
  findFirst(): Item | undefined {
    return this.#bands[0]?.order[0]?.items[0];
  }

  /** Whether a call that is already waiting is sent before this one. */
  hasPrecedence(call: FairCall): boolean {
    const first = this.findFirst()?.call;
    if (!first) return false;
    const byRank = compareRank(first, call);
    if (byRank !== 0) return byRank < 0;
    if (first.workspace === call.workspace) return first.waitUntil <= call.waitUntil;
    return this.#recent.getLevel(first.workspace) <= this.#recent.getLevel(call.workspace);
  }

  /**
   * Whether the workspace of a call has got much more than that of the call which is next. A call at
   * the end of its wait may overtake the others unless this is the case: a workspace with many
   * waiting calls has one at its end at most times, and would otherwise get most of the capacity.
   */
  hasExcess({ workspace, costMs }: FairCall): boolean {
    const first = this.findFirst()?.call;
    if (!first || first.workspace === workspace) return false;
    const [ownMs, firstMs] = [workspace, first.workspace].map((other) =>
      this.#recent.convertToMs(this.#recent.getLevel(other)),
    ) as [number, number];
    return ownMs > excessFactor * firstMs + costMs;
  }

  add(item: Item): void {
    const { call } = item;
    const { workspace, costMs } = call;
    if (this.#size === 0) this.#rate.start();
    const band = this.#getOrCreateBand(call);
    let flow = band.flows.get(workspace);
    if (!flow) {
      this.#sequence += 1;
      const level = this.#recent.getLevel(workspace);
      flow = { workspace, items: [], level, sequence: this.#sequence, workMs: 0 };
      band.flows.set(workspace, flow);
      addSorted(band.order, flow, compareFlows);
    }
    addSorted(flow.items, item, compareWaits);
    flow.workMs += costMs;
    band.workMs += costMs;
    this.#size += 1;
    this.#counts.set(workspace, this.#countWaiting(workspace) + 1);
  }

  /** @returns Whether the item was waiting. */
  remove(item: Item): boolean {
    const { call } = item;
    const { workspace, costMs } = call;
    const band = this.#bands.find((other) => compareRank(other, call) === 0);
    const flow = band?.flows.get(workspace);
    if (!band || !flow || !removeSorted(flow.items, item, compareWaits)) return false;
    flow.workMs -= costMs;
    band.workMs -= costMs;
    if (flow.items.length === 0) {
      band.flows.delete(workspace);
      removeSorted(band.order, flow, compareFlows);
    }
    if (band.order.length === 0) removeSorted(this.#bands, band, compareRank);
    this.#size -= 1;
    const count = this.#countWaiting(workspace) - 1;
    if (count > 0) this.#counts.set(workspace, count);
    else this.#counts.delete(workspace);
    if (this.#size === 0) this.#rate.end();
    return true;
  }

  /**
   * Records a request that was sent for a call, whether the call has waited or not. Retries and
   * hedged requests count like any other.
   */
  recordService({ workspace, costMs }: Pick<FairCall, 'workspace' | 'costMs'>): void {
    this.#rate.record(costMs);
    this.#recent.record(workspace, costMs);
    const level = this.#recent.getLevel(workspace);
    this.#bands.forEach(({ flows, order }) => {
      const flow = flows.get(workspace);
      if (!flow) return;
      removeSorted(order, flow, compareFlows);
      flow.level = level;
      addSorted(order, flow, compareFlows);
    });
  }

  /**
   * Finds out whether a new call is refused at once because its workspace already has as many calls
   * waiting as can be served until the end of its wait. This answers a workspace that sends several
   * times its usual for seconds: without it, calls beyond its share wait for their whole deadline.
   *
   * With those that wait, the workspace uses all service that it can get by then, so a refusal costs
   * it nothing. A call is never refused when none of its workspace waits, nor before the rate of
   * service is known, and an upper bound of that rate is used. Calls without a workspace are refused
   * only beside those of workspaces.
   *
   * @returns The inputs of a refusal; undefined when the call may wait.
   */
  findRefusal(call: FairCall): WaitEstimate | undefined {
    const queuedOfWorkspace = this.#countWaiting(call.workspace);
    if (queuedOfWorkspace === 0) return undefined;
    if (call.workspace === undefined && queuedOfWorkspace === this.#size) return undefined;
    if (queuedOfWorkspace >= maxWaitingPerWorkspace) return this.estimateWait(call);
    const rate = this.#rate.estimate(call.costMs);
    if (!rate) return undefined;
    const estimate = this.estimateWait(call);
    return estimate.workAheadMs > rate.bound * estimate.availableMs ? estimate : undefined;
  }

  /** Estimates the wait of a call; a call that already waits counts among those ahead. */
  estimateWait(call: FairCall): WaitEstimate {
    const availableMs = Math.max(0, call.waitUntil - this.#clock.now());
    const workAheadMs = this.#calculateWorkAhead(call, availableMs);
    const rate = this.#rate.estimate(call.costMs)?.mean;
    const serviceRate = rate === undefined ? undefined : Math.round(rate * 1000) / 1000;
    return {
      queued: this.#size,
      queuedOfWorkspace: this.#countWaiting(call.workspace),
      workAheadMs: Math.round(workAheadMs),
      serviceRate,
      expectedWaitMs: serviceRate ? Math.round(workAheadMs / serviceRate) : undefined,
      availableMs: Math.round(availableMs),
    };
  }

  /** @returns The waiting calls by workspace. */
  listDemand(): readonly WorkspaceDemand[] {
    return [...this.#counts].map(([workspace, calls]) => ({
      workspace,
      calls,
      recentServiceMs: this.#recent.convertToMs(this.#recent.getLevel(workspace)),
    }));
  }

  /**
   * Calculates the least work that is sent before a call: all of a better rank, that of its own
   * workspace which cannot wait longer, and that of others until they have got as much as its own.
   */
  #calculateWorkAhead(call: FairCall, availableMs: number): number {
    let aheadMs = 0;
    for (const band of this.#bands) {
      const byRank = compareRank(band, call);
      if (byRank > 0) break;
      aheadMs += byRank < 0 ? band.workMs : this.#calculateWorkInBand(band, call, availableMs);
    }
    return aheadMs;
  }

  #calculateWorkInBand(band: Band<Item>, call: FairCall, availableMs: number): number {
    const { workspace, waitUntil } = call;
    const ownMs = (band.flows.get(workspace)?.items ?? [])
      .filter((item) => item.call.waitUntil <= waitUntil)
      .reduce((sum, item) => sum + item.call.costMs, 0);
    // The difference in past service shrinks while the call waits.
    const retention = this.#recent.calculateRetention(availableMs);
    const ownLevelMs = this.#recent.convertToMs(this.#recent.getLevel(workspace));
    const othersMs = band.order
      .filter((flow) => flow.workspace !== workspace)
      .map(({ level, workMs }) => {
        const leadMs = retention * (ownLevelMs - this.#recent.convertToMs(level));
        return Math.min(workMs, Math.max(0, leadMs + ownMs));
      })
      .reduce((sum, ms) => sum + ms, 0);
    return ownMs + othersMs;
  }

  #countWaiting(workspace: WorkspaceId | undefined): number {
    return this.#counts.get(workspace) ?? 0;
  }

  #getOrCreateBand({ priority, isLate }: CallRank): Band<Item> {
    const existing = this.#bands.find((band) => compareRank(band, { priority, isLate }) === 0);
    if (existing) return existing;
    const band = { priority, isLate, flows: new Map(), order: [], workMs: 0 };
    addSorted<Band<Item>>(this.#bands, band, compareRank);
    return band;
  }
}

function compareFlows(a: Flow<unknown>, b: Flow<unknown>): number {
  if (a.level !== b.level) return a.level < b.level ? -1 : 1;
  return a.sequence - b.sequence;
}

function compareWaits(a: FairItem, b: FairItem): number {
  return a.call.waitUntil - b.call.waitUntil;
}
