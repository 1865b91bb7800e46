import type { LimitKey } from '@dotterelpass/values';
import type { LimitSpec } from './limiter.js';

/** By how much the requests of all instances together may exceed their limits. */
export interface QuotaBounds {
  /** Window in which the requests of a workspace are counted. */
  readonly quotaWindowMs: number;
  /** Share of a workspace's limit by which it may be exceeded, and requests besides. */
  readonly quotaOver: number;
  readonly quotaSlack: number;
  /** Factor by which the rate of a cold endpoint may be exceeded in one second, and requests besides. */
  readonly warmupOver: number;
  readonly warmupSlack: number;
}

/** The bounds that deployments state. */
export const defaultQuotaBounds: QuotaBounds = {
  quotaWindowMs: 5000,
  quotaOver: 0.1,
  quotaSlack: 20,
  warmupOver: 1.5,
  warmupSlack: 8,
};

/** Time for which a coordinator counts an instance after it has last heard of it. */
export const attachmentTtlMs = 2500;

/** Time of the rate, and maximum share of the bucket, that is kept for requests that come first. */
const reserveMs = 60;
const maxReserveShare = 0.5;

const endpointPrefix = 'endpoint:';

/** Window in which the requests of a cold endpoint are counted. */
const warmupWindowMs = 1000;

/** Share of the tolerance with which a coordinator starts that takes over a limit of a workspace. */
const startShare = 0.5;

/** Share of the tolerance for what buckets hold beyond the burst. */
const capacityShare = 0.1;

/**
 * Share of the tolerance of a cold endpoint for instances that count at two coordinators. The rest is
 * for a second burst: coordinators of cold endpoints start with the whole one. Up to a quarter of the
 * tolerance, two bursts and the overlap stay within the bound.
 */
const warmupOverlapShare = 0.25;

/** Share of the tolerance of a workspace for tokens of own shares that are used later than due. */
const savedShare = 0.75;

/**
 * Tokens that a bucket keeps beyond the burst, and the time for which it keeps further ones. An
 * instance asks again only when a token is due and at most every 20 ms; a bucket without a burst would
 * lose what becomes due meanwhile.
 */
const extraCapacity = 1;
const extraCapacityMs = 50;

/**
 * Share of a workspace's burst that is spread over the window. A bucket with the rate and the whole
 * burst grants a workspace that stays beyond its limit only five sixths of what a window of 5 s allows,
 * when the burst is one second of the rate.
 */
const spreadBurstShare = 0.5;

/** The quota of a workspace, as operators set it. */
export interface WorkspaceQuota {
  readonly name: string;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly version: number;
}

/**
 * Builds the limit of a workspace. It allows as many requests in each window as the rate and the burst
 * of the quota, but more of them evenly.
 */
export function buildWorkspaceLimit(
  { name, ratePerSecond, burst, version }: WorkspaceQuota,
  { quotaWindowMs }: Pick<QuotaBounds, 'quotaWindowMs'>,
): LimitSpec {
  const spread = burst * spreadBurstShare;
  return {
    key: makeWorkspaceKey(name),
    ratePerSecond: ratePerSecond + (spread * 1000) / quotaWindowMs,
    burst: burst - spread,
    version,
  };
}

/** @returns The key of a workspace's limit. */
export function makeWorkspaceKey(workspace: string): LimitKey {
  return `workspace:${workspace}` as LimitKey;
}

/** @returns The key of a cold endpoint's limit. */
export function makeEndpointKey(endpoint: string): LimitKey {
  return `${endpointPrefix}${endpoint}` as LimitKey;
}

/**
 * Computes what the bucket of a limit holds at most.
 *
 * @param limit - The limit.
 * @param share - Share of the limit that the bucket hands out.
 */
export function computeCapacity({ ratePerSecond, burst }: LimitSpec, share: number): number {
  // A bucket that never held a whole token would never grant one.
  return 1 + (extraCapacity + burst + (ratePerSecond * extraCapacityMs) / 1000) * share;
}

/**
 * Computes the tokens that requests whose callers have come back leave in the bucket. Under a demand
 * beyond the limit they would otherwise take the tokens of requests that come for the first time, and
 * are late already.
 *
 * @param rate - Tokens a second that the bucket gets.
 * @param capacity - Tokens that it holds at most.
 */
export function computeReserve(rate: number, capacity: number): number {
  return Math.min((rate * reserveMs) / 1000, capacity * maxReserveShare);
}

/**
 * Computes the tokens with which a coordinator starts that takes over a limit: an earlier one may
 * have granted the whole burst just before.
 */
export function computeStart(limit: LimitSpec, bounds: QuotaBounds): number {
  const { key, burst } = limit;
  const cap = isEndpointKey(key) ? burst : startShare * computeTolerance(limit, bounds);
  return Math.max(1, Math.min(burst, cap));
}

/**
 * Computes the rate of the limit for instances that may also count at another coordinator. It is so
 * low that what they get twice stays within the tolerance.
 *
 * @returns Tokens a second; 0 when the tolerance leaves nothing that may be granted twice.
 */
export function computeOverlapRate(limit: LimitSpec, bounds: QuotaBounds): number {
  const isEndpoint = isEndpointKey(limit.key);
  const tolerance = computeTolerance(limit, bounds);
  const tokens = isEndpoint
    ? tolerance * warmupOverlapShare
    : tolerance * (1 - capacityShare) - computeStart(limit, bounds);
  const spanMs = Math.min(attachmentTtlMs, isEndpoint ? warmupWindowMs : bounds.quotaWindowMs);
  return Math.min(limit.ratePerSecond, (Math.max(0, tokens) * 1000) / spanMs);
}

/**
 * Computes the time for which a token of the own share may be used. At a low rate, an instance with
 * few requests would otherwise miss most of its tokens; a longer time would let tokens that many
 * instances have saved exceed the tolerance.
 */
export function computeUsableMs(limit: LimitSpec, bounds: QuotaBounds): number {
  const saved = computeTolerance(limit, bounds) * (isEndpointKey(limit.key) ? 0 : savedShare);
  return (saved * 1000) / limit.ratePerSecond;
}

/** Requests beyond the limit that may reach endpoints in one window. */
function computeTolerance({ key, ratePerSecond, burst }: LimitSpec, bounds: QuotaBounds): number {
  if (isEndpointKey(key)) {
    const over = Math.max(0, bounds.warmupOver - 1);
    return over * ((ratePerSecond * warmupWindowMs) / 1000) + bounds.warmupSlack;
  }
  const inWindow = (ratePerSecond * bounds.quotaWindowMs) / 1000 + burst;
  return bounds.quotaOver * inWindow + bounds.quotaSlack;
}

function isEndpointKey(key: LimitKey): boolean {
  return key.startsWith(endpointPrefix);
}
