import type { Clock, WorkspaceId } from '@dotterelpass/values';
import { compareRank } from './order.js';
import type { CallRank, FairCall } from './order.js';
import { ServiceRate } from './rate.js';
import { addSorted, removeSorted } from './sorted.js';
import { VirtualTime } from './virtual.js';

/**
 * Calls of one workspace that may wait for one service. Until the rate of service is known, this
 * alone bounds the memory that a workspace takes.
 */
const maxWaitingPerWorkspace = 256;

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

/** The properties of a call that was sent on which the order of others depends. */
export type ServedCall = Pick<FairCall, 'workspace' | 'priority' | 'costMs'>;

/** Waiting calls of a workspace, for operators. */
export interface WorkspaceDemand {
  readonly workspace: WorkspaceId | undefined;
  readonly calls: number;
  /** Endpoint time that it has got ahead of the workspace that is next, in milliseconds. */
  readonly leadMs: number;
}

/** Waiting calls of one workspace and rank. */
interface Flow<Item> {
  readonly workspace: WorkspaceId | undefined;
  /** In the order of the ends of their waits. */
  readonly items: Item[];
  /** Virtual start of its next call. */
  start: number;
  /** Orders workspaces of equal service by the time since which they wait. */
  readonly sequence: number;
}

/** Waiting calls of one rank. */
interface Band<Item> extends CallRank {
  readonly flows: Map<WorkspaceId | undefined, Flow<Item>>;
  /** The flows in the order of their virtual starts. */
  readonly order: Flow<Item>[];
}

/**
 * The order in which the waiting calls of one service get capacity: by priority, then calls that can
 * be in time, then the workspace that has got the least, then the end of the wait. The
 * deadline of a call, which callers choose, counts only within its workspace. Capacity that the
 * others do not ask for goes to whoever waits.
 *
 * An operation takes a time that is logarithmic in the number of waiting workspaces and of waiting
 * calls of the workspace. Only the decision on a refusal looks at all calls ahead.
 */
export class FairQueue<Item extends FairItem> {
  readonly #clock: Clock;

  /** By priority: what a workspace gets for urgent calls says nothing about its share of others. */
  readonly #times = new Map<number, VirtualTime>();

  readonly #rate: ServiceRate;

  /** In the order of their ranks. */
  readonly #bands: Band<Item>[] = [];

  /** Number of waiting calls of each waiting workspace. */
  readonly #counts = new Map<WorkspaceId | undefined, number>();

  #size = 0;

  #sequence = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
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
    return this.#getStart(first) <= this.#getStart(call);
  }

  /**
   * Whether the workspace of a call is ahead of the one that is next, by more than a call. A call at
   * the end of its wait may overtake others unless this is the case: a workspace with many waiting
   * calls has one at its end at most times, and would otherwise get most of the capacity.
   */
  hasExcess(call: FairCall): boolean {
    const first = this.findFirst()?.call;
    if (!first || first.priority !== call.priority) return false;
    return this.#getStart(call) > this.#getStart(first) + call.costMs;
  }

  add(item: Item): void {
    const { call } = item;
    const { workspace } = call;
    if (this.#size === 0) this.#rate.start();
    const band = this.#getOrCreateBand(call);
    let flow = band.flows.get(workspace);
    if (!flow) {
      this.#sequence += 1;
      const start = this.#getStart(call);
      flow = { workspace, items: [], start, sequence: this.#sequence };
      band.flows.set(workspace, flow);
      addSorted(band.order, flow, compareFlows);
    }
    addSorted(flow.items, item, compareWaits);
    this.#size += 1;
    this.#counts.set(workspace, this.#countWaiting(workspace) + 1);
  }

  /** @returns Whether the item was waiting. */
  remove(item: Item): boolean {
    const { call } = item;
    const { workspace } = call;
    const band = this.#bands.find((other) => compareRank(other, call) === 0);
    const flow = band?.flows.get(workspace);
    if (!band || !flow || !removeSorted(flow.items, item, compareWaits)) return false;
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
  recordService(call: ServedCall): void {
    const { workspace, priority, costMs } = call;
    this.#rate.record(costMs);
    const start = this.#getStart(call);
    const time = this.#times.get(priority) ?? new VirtualTime();
    this.#times.set(priority, time);
    time.record(workspace, start, costMs);
    this.#bands.forEach((band) => {
      const flow = band.flows.get(workspace);
      if (!flow || band.priority !== priority) return;
      removeSorted(band.order, flow, compareFlows);
      flow.start = start + costMs;
      addSorted(band.order, flow, compareFlows);
    });
  }

  /**
   * Finds out whether a new call is refused at once because its workspace already has as many calls
   * waiting as can be served until the end of its wait. This answers a workspace that sends several
   * times its usual for seconds: without it, calls beyond its share wait for their whole deadline.
   *
   * The calls ahead leave less than the time of one call unused by then, also when some of them have
   * left at the ends of their own waits, so a refusal costs no service. A call is never refused when
   * none of its workspace waits, nor before the rate of service is known, and an upper bound of that
   * rate is used. Calls without a workspace are refused only beside those of workspaces.
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
    const now = this.#clock.now();
    const ahead = this.#listAhead(call);
    return calculateRoomMs(call, ahead, rate.bound, now) < call.costMs
      ? this.estimateWait(call)
      : undefined;
  }

  /** Estimates the wait of a call; a call that already waits counts among those ahead. */
  estimateWait(call: FairCall): WaitEstimate {
    const availableMs = Math.max(0, call.waitUntil - this.#clock.now());
    const workAheadMs = sumCosts(this.#listAhead(call));
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
    const times = [...this.#times.values()];
    return [...this.#counts].map(([workspace, calls]) => ({
      workspace,
      calls,
      leadMs: Math.round(Math.max(0, ...times.map((time) => time.getLeadMs(workspace)))),
    }));
  }

  /**
   * Lists the calls that are sent before another one, if none comes after it: all of a better rank,
   * those of its own workspace whose wait ends first, and those of other workspaces until they have
   * got as much.
   */
  #listAhead(call: FairCall): FairCall[] {
    const ahead: FairCall[] = [];
    for (const band of this.#bands) {
      const byRank = compareRank(band, call);
      if (byRank > 0) break;
      if (byRank < 0) band.order.forEach(({ items }) => ahead.push(...items.map(getCall)));
      else ahead.push(...this.#listAheadInBand(band, call));
    }
    return ahead;
  }

  #listAheadInBand(band: Band<Item>, call: FairCall): FairCall[] {
    const { workspace, waitUntil } = call;
    const ahead = (band.flows.get(workspace)?.items ?? [])
      .map(getCall)
      .filter((other) => other.waitUntil <= waitUntil);
    const lastStart = this.#getStart(call) + sumCosts(ahead);
    band.order.forEach((flow) => {
      if (flow.workspace === workspace) return;
      let dueMs = lastStart - flow.start;
      for (const { call: other } of flow.items) {
        if (dueMs < other.costMs) return;
        dueMs -= other.costMs;
        ahead.push(other);
      }
    });
    return ahead;
  }

  /** @returns The virtual start of the next call of a workspace, which it keeps while it waits. */
  #getStart({ workspace, priority }: Pick<FairCall, 'workspace' | 'priority'>): number {
    const starts = this.#bands
      .filter((band) => band.priority === priority)
      .map(({ flows }) => flows.get(workspace)?.start ?? Infinity);
    const start = Math.min(...starts);
    return start < Infinity ? start : (this.#times.get(priority)?.getStart(workspace) ?? 0);
  }

  #countWaiting(workspace: WorkspaceId | undefined): number {
    return this.#counts.get(workspace) ?? 0;
  }

  #getOrCreateBand({ priority, isLate }: CallRank): Band<Item> {
    const existing = this.#bands.find((band) => compareRank(band, { priority, isLate }) === 0);
    if (existing) return existing;
    const band = { priority, isLate, flows: new Map(), order: [] };
    addSorted<Band<Item>>(this.#bands, band, compareRank);
    return band;
  }
}

function compareFlows(a: Flow<unknown>, b: Flow<unknown>): number {
  if (a.start !== b.start) return a.start - b.start;
  return a.sequence - b.sequence;
}

function compareWaits(a: FairItem, b: FairItem): number {
  return a.call.waitUntil - b.call.waitUntil;
}

/**
 * Calculates the endpoint time that calls ahead of another one leave to it. After each end of a wait,
 * only the calls with later ends still take any.
 *
 * @param rate - Endpoint time given per millisecond.
 */
function calculateRoomMs(
  { waitUntil }: FairCall,
  ahead: readonly FairCall[],
  rate: number,
  now: number,
): number {
  const byEnd = [...ahead].sort((a, b) => b.waitUntil - a.waitUntil);
  let laterMs = 0;
  let roomMs = 0;
  byEnd.forEach((call) => {
    roomMs = Math.max(roomMs, rate * (waitUntil - call.waitUntil) - laterMs);
    laterMs += call.costMs;
  });
  return Math.max(roomMs, rate * (waitUntil - now) - laterMs);
}

function getCall({ call }: FairItem): FairCall {
  return call;
}

function sumCosts(calls: readonly FairCall[]): number {
  return calls.reduce((sum, { costMs }) => sum + costMs, 0);
}
