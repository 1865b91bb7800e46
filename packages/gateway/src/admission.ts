import type { WaitEstimate, WorkspaceDemand } from '@dotterelpass/fairness';
import type { Cancellation } from '@dotterelpass/proxy';
import type { Clock, ServiceId } from '@dotterelpass/values';
import type { Workspace } from '@dotterelpass/workspaces';
import type { AttemptRecord } from './call.js';
import { CapacityQueue } from './capacity.js';
import type { WaitingCall } from './capacity.js';
import { getCallPriority } from './catalog.js';
import type { Route } from './catalog.js';
import type { LatencyEstimator } from './latency.js';
import { busyFactor, hasSpareCapacity } from './picker.js';
import type { Pick, Picker, PickRequest } from './picker.js';

/** Safety factor on the expected time of a call that waits as long as its target allows. */
const latestStartFactor = 1.25;

/**
 * Time that a call waits for capacity when it cannot meet its target any more, relative to its
 * target latency. A longer wait would take the slots of calls that can still meet theirs.
 */
const lateWaitShare = 0.1;

/**
 * Time that a call waits for a local endpoint before it looks for capacity in other failure
 * domains, relative to its target latency: traffic between failure domains costs money.
 */
const localWaitShare = 0.15;

/** Time between two looks for an endpoint, relative to the estimated latency, and its bounds. */
const pollShare = 0.1;
const minPollIntervalMs = 10;
const maxPollIntervalMs = 50;

/** Endpoints that could take a call ask instances to wait for longer than the call can. */
export interface NotBefore {
  /** Monotonic time at which the first of them may get a request, in milliseconds. */
  readonly notBefore: number;
}

/** No endpoint can take the call in time. */
export interface Overload {
  /** State of the queue when this was decided. */
  readonly wait: WaitEstimate;
}

/**
 * Result of the admission of a call; undefined when no endpoint is reachable, `overload` when a call
 * that may not wait would have to.
 */
export type Admission = Pick | NotBefore | Overload | 'overload' | undefined;

/** Whether a call was admitted. */
export function isPick(admission: Admission): admission is Pick {
  return typeof admission === 'object' && 'endpoint' in admission;
}

/** Whether a call was refused for lack of capacity. */
export function isOverload(admission: Admission): admission is Overload | 'overload' {
  return admission === 'overload' || (typeof admission === 'object' && 'wait' in admission);
}

/** The parts of a call on which its admission depends. */
export interface AdmissionRequest {
  readonly service: ServiceId;
  /** The workspace that the call counts for; undefined when the configuration asks for no keys. */
  readonly workspace?: Workspace | undefined;
  readonly route: Route;
  readonly isUrgent: boolean;
  /** Monotonic time at which the target latency ends, in milliseconds. */
  readonly targetDeadlineAt: number;
  readonly incoming: { readonly cancellation: Cancellation };
}

/** How a call is admitted. */
export interface AdmissionOptions {
  /** Whether the call may wait; otherwise it needs an endpoint with spare capacity at once. */
  readonly mayWait: boolean;
}

export interface CallAdmissionOptions {
  readonly clock: Clock;
  readonly latency: LatencyEstimator;
  readonly picker: Picker;
}

/**
 * Decides when a call is sent. A call that would queue at an endpoint waits here instead, where
 * urgent calls go first: endpoints serve in the order of arrival, and a few long calls in their
 * queues make all short calls behind them late.
 */
export class CallAdmission {
  readonly #options: CallAdmissionOptions;

  readonly #queues = new Map<ServiceId, CapacityQueue>();

  constructor(options: CallAdmissionOptions) {
    this.#options = options;
  }

  /** @returns Number of calls that wait for an endpoint of a service. */
  countWaiting(service: ServiceId): number {
    return this.#queues.get(service)?.size ?? 0;
  }

  /** @returns The waiting calls of a service by workspace. */
  listDemand(service: ServiceId): readonly WorkspaceDemand[] {
    return this.#queues.get(service)?.listDemand() ?? [];
  }

  /** Records a hedged request, which needs no admission. */
  recordHedge(call: AdmissionRequest): void {
    this.#getOrCreateQueue(call.service).recordService({
      workspace: call.workspace?.name,
      ratePerSecond: call.workspace?.ratePerSecond,
      costMs: this.#estimateCostMs(call),
    });
  }

  /** Lets the first waiting call of a service look for an endpoint at once. */
  notifyCapacity(service: ServiceId): void {
    this.#queues.get(service)?.wakeFirst();
  }

  /**
   * Waits for an endpoint that can take a call now, as long as the target latency of the call
   * allows.
   *
   * @param call - The call.
   * @param records - Its earlier attempts, whose endpoints are excluded.
   * @param options - Whether the call may wait.
   */
  async admitCall(
    call: AdmissionRequest,
    records: readonly AttemptRecord[],
    { mayWait }: AdmissionOptions = { mayWait: true },
  ): Promise<Admission> {
    const queue = this.#getOrCreateQueue(call.service);
    const waitingCall = this.#buildWaitingCall(call);
    if (!queue.hasPrecedence(waitingCall)) {
      const pick = await this.#pick(call, records, false);
      if (pick && this.#canStart(call, pick, waitingCall.isLate)) {
        // A call that goes before this one may have begun to wait while the endpoints were probed.
        if (!queue.hasPrecedence(waitingCall)) {
          queue.recordService(waitingCall);
          return pick;
        }
        queue.wakeFirst();
      }
      if (!pick) {
        const block = this.#findBlock(call, records);
        if (!block || block.notBefore > waitingCall.waitUntil) return block;
      }
    }
    if (!mayWait) return 'overload';
    const refusal = queue.findRefusal(waitingCall);
    if (refusal) return { wait: refusal };
    return this.#waitForCapacity(call, records, queue, waitingCall);
  }

  async #waitForCapacity(
    call: AdmissionRequest,
    records: readonly AttemptRecord[],
    queue: CapacityQueue,
    waitingCall: WaitingCall,
  ): Promise<Admission> {
    const { clock } = this.#options;
    const { cancellation } = call.incoming;
    const localUntil = clock.now() + localWaitShare * call.route.targetLatencyMs;
    const waiter = queue.addCall(waitingCall);
    const wake = () => waiter.wake();
    cancellation.addListener(wake);
    try {
      for (;;) {
        await queue.waitForTurn(waiter, this.#calculatePollIntervalMs(call));
        const now = clock.now();
        const isTimeUp = now >= waitingCall.waitUntil;
        if (cancellation.aborted) return undefined;
        if (!isTimeUp && !queue.isFirst(waiter)) continue;
        if (isTimeUp && queue.hasExcess(waitingCall)) {
          return { wait: queue.estimateWait(waitingCall) };
        }
        const pick = await this.#pick(call, records, isTimeUp || now >= localUntil);
        if (!pick) {
          const block = this.#findBlock(call, records);
          if (!block || isTimeUp || block.notBefore > waitingCall.waitUntil) return block;
          continue;
        }
        const canStart = this.#canStart(call, pick, isTimeUp || waitingCall.isLate);
        const mayQueue = isTimeUp && !queue.isAboveShare(waitingCall);
        if (canStart || (mayQueue && this.#mayQueueAtEndpoint(call, pick))) {
          // Recorded before the call leaves the queue, so that the next one is chosen accordingly.
          queue.recordService(waitingCall);
          return pick;
        }
        if (isTimeUp) return { wait: queue.estimateWait(waitingCall) };
      }
    } finally {
      cancellation.removeListener(wake);
      queue.remove(waiter);
    }
  }

  async #pick(
    call: AdmissionRequest,
    records: readonly AttemptRecord[],
    needsSpareCapacity: boolean,
  ): Promise<Pick | undefined> {
    return this.#options.picker.pick({ ...buildPickRequest(call, records), needsSpareCapacity });
  }

  /** Finds until when all endpoints that could take a call ask instances to wait. */
  #findBlock(call: AdmissionRequest, records: readonly AttemptRecord[]): NotBefore | undefined {
    const { picker, clock } = this.#options;
    const notBefore = picker.findNextRequestAt(buildPickRequest(call, records));
    return notBefore !== undefined && notBefore > clock.now() ? { notBefore } : undefined;
  }

  /**
   * Whether a call can be sent without a wait at the endpoint. An urgent call may take the last
   * slots, which the other calls leave free.
   *
   * @param mayMissTarget - Whether to send the call even if it is expected to miss its target.
   */
  #canStart(call: AdmissionRequest, pick: Pick, mayMissTarget: boolean): boolean {
    const { load, registration } = pick.endpoint;
    const hasRoom = hasSpareCapacity(pick.endpoint) || (call.isUrgent && load < registration.slots);
    return hasRoom && (mayMissTarget || this.#meetsTarget(call, pick));
  }

  /**
   * Whether a call that cannot wait here any longer is sent to an endpoint without room. An urgent
   * call is worth more than the delay of the one that would be next there.
   */
  #mayQueueAtEndpoint(call: AdmissionRequest, pick: Pick): boolean {
    const { load, registration } = pick.endpoint;
    return this.#meetsTarget(call, pick) || (call.isUrgent && load <= registration.slots);
  }

  #meetsTarget(call: AdmissionRequest, { expectedMs }: Pick): boolean {
    return this.#options.clock.now() + expectedMs <= call.targetDeadlineAt;
  }

  #estimateCostMs({ route, service }: AdmissionRequest): number {
    const { latency } = this.#options;
    return latency.estimateMs(route) * latency.getSlowdown(service);
  }

  #buildWaitingCall(call: AdmissionRequest): WaitingCall {
    const { route, workspace, targetDeadlineAt } = call;
    const now = this.#options.clock.now();
    const costMs = this.#estimateCostMs(call);
    const busyMs = costMs * busyFactor;
    const latestStartAt = targetDeadlineAt - latestStartFactor * busyMs;
    const isLate = latestStartAt <= now;
    const waitUntil = isLate ? now + lateWaitShare * route.targetLatencyMs : latestStartAt;
    const priority = getCallPriority(call);
    const { name, ratePerSecond } = workspace ?? {};
    return { workspace: name, ratePerSecond, priority, isLate, waitUntil, costMs };
  }

  #calculatePollIntervalMs({ route }: AdmissionRequest): number {
    const intervalMs = pollShare * this.#options.latency.estimateMs(route);
    return Math.min(maxPollIntervalMs, Math.max(minPollIntervalMs, intervalMs));
  }

  #getOrCreateQueue(service: ServiceId): CapacityQueue {
    const existing = this.#queues.get(service);
    if (existing) return existing;
    const queue = new CapacityQueue(this.#options.clock);
    this.#queues.set(service, queue);
    return queue;
  }
}

function buildPickRequest(
  { service, route }: AdmissionRequest,
  records: readonly AttemptRecord[],
): PickRequest {
  return { service, route, tried: records.map(({ endpoint }) => endpoint) };
}
