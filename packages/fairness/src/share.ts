import type { Clock, WorkspaceId } from '@dotterelpass/values';
import type { FairCall } from './order.js';

/** Time constant with which past service is forgotten. */
const timeConstantMs = 4000;

/** Use of a workspace, relative to the mean, beyond which it is above its share. */
const shareFactor = 2;

/**
 * Standard deviations, and calls, that a workspace may be further above. An instance sees a few calls
 * of most workspaces within the time constant: without this, one long call of a small workspace puts
 * it above its share.
 */
const allowedDeviations = 1;
const allowedCalls = 1;

/** Time between two updates of the decay. */
const decayIntervalMs = 100;

/** Decayed service below which a workspace without waiting calls is forgotten. */
const minServiceMs = 1;

/** The properties of a call that was sent on which the order of others depends. */
export type ServedCall = Pick<FairCall, 'workspace' | 'ratePerSecond' | 'costMs'>;

interface Activity {
  ratePerSecond: number;
  waiting: number;
  /** Decayed endpoint time of the calls sent. */
  serviceMs: number;
}

/**
 * Finds the workspaces that get clearly more than their share: more than twice as much endpoint time,
 * relative to their configured rates, as all workspaces that have recent service or waiting calls,
 * beyond what random arrivals explain.
 * Callers cannot choose these weights. Workspaces without a rate weigh as much as the mean of the
 * others.
 */
export class WorkspaceShares {
  readonly #clock: Clock;

  readonly #activities = new Map<WorkspaceId, Activity>();

  #decayedAt = 0;

  #totalMs = 0;

  /** Decayed sum of the squares of the endpoint times of calls, for their deviation. */
  #totalSquares = 0;

  #totalWeight = 0;

  /** Weight of workspaces without a configured rate. */
  #meanRate = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of workspaces that have recent service or waiting calls. */
  get size(): number {
    return this.#activities.size;
  }

  /** Records that a call begins (1) or ends (-1) to wait. */
  recordWait(call: ServedCall, change: 1 | -1): void {
    const activity = this.#getOrCreateActivity(call);
    if (activity) activity.waiting += change;
  }

  /** Records a request that was sent for a call. */
  recordService(call: ServedCall): void {
    this.#decay();
    const activity = this.#getOrCreateActivity(call);
    if (!activity) return;
    activity.serviceMs += call.costMs;
    this.#totalMs += call.costMs;
    this.#totalSquares += call.costMs ** 2;
  }

  /** Whether a workspace gets clearly more than its share. */
  isAbove(workspace: WorkspaceId | undefined): boolean {
    return this.getRoomMs(workspace) < 0;
  }

  /** @returns Endpoint time that a workspace may get until it is above its share; negative above it. */
  getRoomMs(workspace: WorkspaceId | undefined): number {
    this.#decay();
    const activity = workspace === undefined ? undefined : this.#activities.get(workspace);
    if (!activity || this.#activities.size < 2) return Infinity;
    const shareMs = (this.#totalMs * this.#getWeight(activity)) / this.#totalWeight;
    // For random arrivals, the variance of the sum is the share times this length of a call.
    const callMs = this.#totalMs > 0 ? this.#totalSquares / this.#totalMs : 0;
    const deviationMs = Math.sqrt(shareMs * callMs);
    const allowedMs = allowedDeviations * deviationMs + allowedCalls * callMs;
    return shareFactor * shareMs + allowedMs - activity.serviceMs;
  }

  #getOrCreateActivity({ workspace, ratePerSecond = 0 }: ServedCall): Activity | undefined {
    if (workspace === undefined) return undefined;
    const existing = this.#activities.get(workspace);
    if (existing?.ratePerSecond === ratePerSecond) return existing;
    const activity = existing ?? { ratePerSecond, waiting: 0, serviceMs: 0 };
    activity.ratePerSecond = ratePerSecond;
    this.#activities.set(workspace, activity);
    this.#recount();
    return activity;
  }

  #getWeight({ ratePerSecond }: Activity): number {
    return ratePerSecond > 0 ? ratePerSecond : this.#meanRate;
  }

  #decay(): void {
    const elapsedMs = this.#clock.now() - this.#decayedAt;
    if (elapsedMs < decayIntervalMs) return;
    this.#decayedAt += elapsedMs;
    const retention = Math.exp(-elapsedMs / timeConstantMs);
    this.#totalSquares *= retention;
    for (const [workspace, activity] of this.#activities) {
      activity.serviceMs *= retention;
      if (activity.waiting === 0 && activity.serviceMs < minServiceMs) {
        this.#activities.delete(workspace);
      }
    }
    this.#recount();
  }

  #recount(): void {
    const activities = [...this.#activities.values()];
    const rates = activities
      .map(({ ratePerSecond }) => ratePerSecond)
      .filter((ratePerSecond) => ratePerSecond > 0);
    this.#meanRate = rates.length > 0 ? sum(rates) / rates.length : 1;
    this.#totalMs = sum(activities.map(({ serviceMs }) => serviceMs));
    this.#totalWeight = sum(activities.map((activity) => this.#getWeight(activity)));
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
