import type { Clock, WorkspaceId } from '@dotterelpass/values';
import { compareRank } from './order.js';
import type { FairCall } from './order.js';
import { ServiceRate } from './rate.js';
import { WorkspaceShares } from './share.js';
import type { ServedCall } from './share.js';

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

/** Waiting calls of one workspace and rank, by the ends of their waits. */
type Flow<Item> = [Item, ...Item[]];

/**
 * The order in which the waiting calls of one service get capacity: by priority, then calls that can
 * be in time, then those of workspaces that are not clearly above their share, then the end of the
 * wait. Calls without a workspace are never above a share.
 *
 * Finding the first call takes a time that grows with the number of waiting workspaces, not with that
 * of their calls. Only the decision on a refusal looks at all calls ahead.
 */
export class FairQueue<Item extends FairItem> {
  readonly #clock: Clock;

  readonly #shares: WorkspaceShares;

  readonly #rate: ServiceRate;

  #flows: Flow<Item>[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#shares = new WorkspaceShares(clock);
    this.#rate = new ServiceRate(clock);
  }

  get size(): number {
    return sum(this.#flows.map(({ length }) => length));
  }

  /** @returns The next call to be sent; undefined when none waits. */
  findFirst(): Item | undefined {
    let first: Item | undefined;
    this.#flows.forEach(([item]) => {
      if (!first || this.#compare(item.call, first.call) < 0) first = item;
    });
    return first;
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
    if (this.#flows.length === 0) this.#rate.start();
    this.#shares.recordWait(call, 1);
    const flow = this.#findFlow(call);
    if (!flow) {
      this.#flows.push([item]);
      return;
    }
    const previous = flow.findLastIndex((other) => other.call.waitUntil <= call.waitUntil);
    flow.splice(previous + 1, 0, item);
  }

  /** @returns Whether the item was waiting. */
  remove(item: Item): boolean {
    const flow = this.#findFlow(item.call);
    if (!flow?.includes(item)) return false;
    flow.splice(flow.indexOf(item), 1);
    if (flow.length === 0) this.#flows.splice(this.#flows.indexOf(flow), 1);
    this.#shares.recordWait(item.call, -1);
    if (this.#flows.length === 0) this.#rate.end();
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
    if (call.workspace === undefined) return undefined;
    const waiting = this.#countWaiting(call.workspace);
    if (waiting === 0) return undefined;
    return waiting >= maxWaitingPerWorkspace || !this.#hasRoom(call)
      ? this.estimateWait(call)
      : undefined;
  }

  /** Estimates the wait of a call; a call that already waits counts among those ahead. */
  estimateWait(call: FairCall): WaitEstimate {
    const workAheadMs = sumCosts(this.#listAhead(call));
    const rate = this.#rate.estimate(call.costMs)?.mean;
    return {
      queued: this.size,
      queuedOfWorkspace: this.#countWaiting(call.workspace),
      workAheadMs: Math.round(workAheadMs),
      serviceRate: rate === undefined ? undefined : Math.round(rate * 1000) / 1000,
      expectedWaitMs: rate ? Math.round(workAheadMs / rate) : undefined,
      availableMs: Math.max(0, Math.round(call.waitUntil - this.#clock.now())),
    };
  }

  /** @returns The waiting calls by workspace. */
  listDemand(): readonly WorkspaceDemand[] {
    const workspaces = new Set(this.#flows.map(([{ call }]) => call.workspace));
    return [...workspaces].map((workspace) => ({
      workspace,
      calls: this.#countWaiting(workspace),
      leadMs: Math.max(0, Math.round(-this.#shares.getRoomMs(workspace))),
    }));
  }

  #countWaiting(workspace: WorkspaceId | undefined): number {
    const flows = this.#flows.filter(([{ call }]) => call.workspace === workspace);
    return sum(flows.map(({ length }) => length));
  }

  #findFlow(call: FairCall): Flow<Item> | undefined {
    return this.#flows.find(
      ([other]) => other.call.workspace === call.workspace && compareRank(other.call, call) === 0,
    );
  }

  /** Whether the calls ahead may leave time for a call; true while the rate is unknown. */
  #hasRoom(call: FairCall): boolean {
    const rate = this.#rate.estimate(call.costMs);
    if (!rate) return true;
    const roomMs = calculateRoomMs(call, this.#listAhead(call), rate.bound, this.#clock.now());
    return roomMs >= call.costMs;
  }

  /**
   * Lists the calls that are sent before another one, if none comes after it. For a call within the
   * share of its workspace, those of equal rank and other workspaces count only as far as they are
   * within their shares too when they are reached.
   */
  #listAhead(call: FairCall): FairCall[] {
    const isAbove = this.isAboveShare(call);
    return this.#flows.flatMap((flow) => {
      const other = flow[0].call;
      const order = compareRank(other, call) || Number(this.isAboveShare(other)) - Number(isAbove);
      if (order > 0) return [];
      const calls = flow.map((item) => item.call);
      if (order < 0) return calls;
      const ahead = calls.filter(({ waitUntil }) => waitUntil <= call.waitUntil);
      const isLimited = !isAbove && other.workspace !== call.workspace;
      return isLimited ? takeWithin(ahead, this.#getRoomMs(other)) : ahead;
    });
  }

  /** @returns What the workspace of a call may get in its rank until it is above its share. */
  #getRoomMs(call: FairCall): number {
    const before = this.#flows
      .filter(([{ call: other }]) => other.workspace === call.workspace)
      .filter(([{ call: other }]) => compareRank(other, call) < 0)
      .flatMap((flow) => flow.map((item) => item.call));
    return this.#shares.getRoomMs(call.workspace) - sumCosts(before);
  }

  #compare(a: FairCall, b: FairCall): number {
    return (
      compareRank(a, b) ||
      Number(this.isAboveShare(a)) - Number(this.isAboveShare(b)) ||
      a.waitUntil - b.waitUntil
    );
  }
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

/** @returns The first calls, up to the one that uses up the room. */
function takeWithin(calls: readonly FairCall[], roomMs: number): FairCall[] {
  let sentMs = 0;
  return calls.filter(({ costMs }) => {
    sentMs += costMs;
    return sentMs - costMs <= roomMs;
  });
}

function sumCosts(calls: readonly FairCall[]): number {
  return sum(calls.map(({ costMs }) => costMs));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
