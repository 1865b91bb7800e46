import type { Clock, WorkspaceId } from '@dotterelpass/values';
import { compareRank } from './order.js';
import type { CallRank, FairCall } from './order.js';
import { ServiceRate } from './rate.js';
import { WorkspaceShares } from './share.js';
import type { ServedCall } from './share.js';
import { addSorted } from './sorted.js';

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

/** Waiting calls of a workspace, for operators. */
export interface WorkspaceDemand {
  readonly workspace: WorkspaceId | undefined;
  readonly calls: number;
  /** Recent endpoint time beyond the limit of its share, in milliseconds. */
  readonly leadMs: number;
}

/** Waiting calls of one rank. */
interface Band<Item> extends CallRank {
  /** The calls of each workspace, in the order of the ends of their waits. */
  readonly flows: Map<WorkspaceId | undefined, Entry<Item>[]>;
}

interface Entry<Item> {
  readonly item: Item;
  /** Orders calls of equal rank and wait by their arrival. */
  readonly sequence: number;
}

/**
 * The order in which the waiting calls of one service get capacity: by priority, then calls that can
 * be in time, then those of workspaces that are not clearly above their share, then the end of the
 * wait. Calls without a workspace are never above a share.
 *
 * Sharing by equal turns (start-time fair queueing) was weighed. It ignores which calls can wait, so
 * it served fewer of them, and it took from large workspaces what their quotas give them.
 *
 * Finding the first call takes a time that grows with the number of waiting workspaces, not with that
 * of their calls. Only the decision on a refusal looks at all calls ahead.
 */
export class FairQueue<Item extends FairItem> {
  readonly #clock: Clock;

  readonly #shares: WorkspaceShares;

  readonly #rate: ServiceRate;

  /** In the order of their ranks. */
  readonly #bands: Band<Item>[] = [];

  #size = 0;

  #sequence = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#shares = new WorkspaceShares(clock);
    this.#rate = new ServiceRate(clock);
  }

  get size(): number {
    return this.#size;
  }

  /** @returns The next call to be sent; undefined when none waits. */
  findFirst(): Item | undefined {
    let first: Entry<Item> | undefined;
    let isFirstAbove = false;
    this.#bands[0]?.flows.forEach(([entry], workspace) => {
      if (!entry) return;
      const isAbove = this.#shares.isAbove(workspace);
      const isBefore =
        !first || (isAbove === isFirstAbove ? compareEntries(entry, first) < 0 : isFirstAbove);
      if (!isBefore) return;
      first = entry;
      isFirstAbove = isAbove;
    });
    return first?.item;
  }

  /** Whether a call that is already waiting is sent before this one. */
  hasPrecedence(call: FairCall): boolean {
    const first = this.findFirst()?.call;
    return first !== undefined && this.#compare(first, call) <= 0;
  }

  /**
   * Whether a call at the end of its wait, which may overtake others, gives way to the one that is
   * next: when its workspace is above its share and that of the other, of equal priority, is not. A
   * workspace with many waiting calls has one at its end at most times, and would otherwise get most of
   * the capacity.
   */
  hasExcess(call: FairCall): boolean {
    const first = this.findFirst()?.call;
    if (first?.priority !== call.priority) return false;
    return this.isAboveShare(call) && !this.isAboveShare(first);
  }

  /** Whether the workspace of a call gets clearly more than its share. */
  isAboveShare({ workspace }: FairCall): boolean {
    return this.#shares.isAbove(workspace);
  }

  add(item: Item): void {
    const { call } = item;
    if (this.#size === 0) this.#rate.start();
    const { flows } = this.#getOrCreateBand(call);
    const flow = flows.get(call.workspace) ?? [];
    flows.set(call.workspace, flow);
    this.#sequence += 1;
    addSorted(flow, { item, sequence: this.#sequence }, compareWaits);
    this.#size += 1;
    this.#shares.recordWait(call, 1);
  }

  /** @returns Whether the item was waiting. */
  remove(item: Item): boolean {
    const { call } = item;
    const bandIndex = this.#bands.findIndex((other) => compareRank(other, call) === 0);
    const flows = this.#bands[bandIndex]?.flows;
    const flow = flows?.get(call.workspace);
    const index = flow?.findIndex((entry) => entry.item === item) ?? -1;
    if (!flows || !flow || index < 0) return false;
    flow.splice(index, 1);
    if (flow.length === 0) flows.delete(call.workspace);
    if (flows.size === 0) this.#bands.splice(bandIndex, 1);
    this.#size -= 1;
    this.#shares.recordWait(call, -1);
    if (this.#size === 0) this.#rate.end();
    return true;
  }

  /**
   * Records a request that was sent for a call, whether the call has waited or not. Retries and
   * hedged requests count like any other.
   */
  recordService(call: ServedCall): void {
    this.#rate.record(call.costMs);
    this.#shares.recordService(call);
  }

  /**
   * Finds out whether a new call is refused at once because its workspace already has as many calls
   * waiting as can be served until the end of its wait. This answers a workspace that sends several
   * times its usual for seconds: without it, calls beyond its share wait for their whole deadline.
   *
   * The calls ahead leave less than the time of one call unused by then, also when some of them have
   * left at the ends of their own waits, so a refusal costs no service. A call is never refused when
   * none of its workspace waits, nor before the rate of service is known, and an upper bound of that
   * rate is used. Calls without a workspace are never refused here.
   *
   * @returns The inputs of a refusal; undefined when the call may wait.
   */
  findRefusal(call: FairCall): WaitEstimate | undefined {
    const queuedOfWorkspace = this.#shares.countWaiting(call.workspace);
    if (queuedOfWorkspace === 0) return undefined;
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
      queuedOfWorkspace: this.#shares.countWaiting(call.workspace),
      workAheadMs: Math.round(workAheadMs),
      serviceRate,
      expectedWaitMs: serviceRate ? Math.round(workAheadMs / serviceRate) : undefined,
      availableMs: Math.round(availableMs),
    };
  }

  /** @returns The waiting calls by workspace. */
  listDemand(): readonly WorkspaceDemand[] {
    const waiting = this.#shares.listWaiting();
    const others = this.#size - waiting.reduce((sum, { calls }) => sum + calls, 0);
    const demand = waiting.map(({ workspace, calls }) => ({
      workspace,
      calls,
      leadMs: Math.round(this.#shares.getExcessMs(workspace)),
    }));
    return others > 0 ? [...demand, { workspace: undefined, calls: others, leadMs: 0 }] : demand;
  }

  /** Lists the calls that are sent before another one, if none comes after it. */
  #listAhead(call: FairCall): FairCall[] {
    return this.#bands.flatMap(({ flows }) =>
      [...flows.values()]
        .flat()
        .map(({ item }) => item.call)
        .filter((other) => this.#compare(other, call) <= 0),
    );
  }

  #compare(a: FairCall, b: FairCall): number {
    return (
      compareRank(a, b) ||
      Number(this.isAboveShare(a)) - Number(this.isAboveShare(b)) ||
      a.waitUntil - b.waitUntil
    );
  }

  #getOrCreateBand({ priority, isLate }: CallRank): Band<Item> {
    const existing = this.#bands.find((band) => compareRank(band, { priority, isLate }) === 0);
    if (existing) return existing;
    const band = { priority, isLate, flows: new Map() };
    addSorted<Band<Item>>(this.#bands, band, compareRank);
    return band;
  }
}

function compareWaits(a: Entry<FairItem>, b: Entry<FairItem>): number {
  return a.item.call.waitUntil - b.item.call.waitUntil;
}

function compareEntries(a: Entry<FairItem>, b: Entry<FairItem>): number {
  return compareWaits(a, b) || a.sequence - b.sequence;
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

function sumCosts(calls: readonly FairCall[]): number {
  return calls.reduce((sum, { costMs }) => sum + costMs, 0);
}
