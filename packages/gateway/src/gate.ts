import { makeEndpointKey } from '@dotterelpass/quota';
import type { FleetLimiter, LimitSpec } from '@dotterelpass/quota';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import type { ServiceId } from '@dotterelpass/values';
import type { Endpoint } from './endpoint.js';

/**
 * Burst of the limit of a cold endpoint. A token is used up to 250 ms after its grant, so the requests
 * of any one second were granted within 1.25 s: at most 1.25 x rate + burst, and one burst more when
 * another coordinator takes over the limit. With 2, that is 1.25 x rate + 4 and stays below the bound
 * of 1.5 x rate + 8 for every rate. The rest is left for requests that are under way to an endpoint
 * when it turns cold, and for instances that count at two coordinators: even if half of them do, the
 * sum is 1.5 x 1.25 x rate + 4, which is 12.6 of 14.9 at 4.6 a second.
 */
const burst = 2;

/** The limits of cold endpoints have no versions; all instances derive the same from their services. */
const limitVersion = 0;

/** What shows whether an endpoint is cold. */
export type WarmupEvidence = 'registration' | 'health-check';

/** The right to send one request to an endpoint. */
export interface AttemptToken {
  /** Returns the right because the request has not reached the endpoint. */
  giveBack(): void;
}

/** Right to send a request to an endpoint that is not cold. */
export const freeToken: AttemptToken = { giveBack: () => undefined };

export interface WarmupGateOptions {
  readonly limiter: FleetLimiter;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Returns the requests a second that a cold endpoint takes; undefined without a limit. */
  findRate(service: ServiceId): number | undefined;
}

/** Keeps the requests to cold endpoints within a rate that all instances share. */
export class WarmupGate {
  readonly #options: WarmupGateOptions;

  constructor(options: WarmupGateOptions) {
    this.#options = options;
  }

  /**
   * Whether a request to an endpoint needs a token. One whose state is unknown may be cold; one that may
   * not be probed can show its state only by its registration.
   */
  needsToken({ warmup, backpressure, registration: { service } }: Endpoint): boolean {
    if (this.#options.findRate(service) === undefined) return false;
    return warmup.isCold || (!warmup.isKnown && backpressure.allowsProbes);
  }

  /** @returns A token; undefined when there is none, so that the endpoint is left alone for a time. */
  async takeToken({ warmup, registration }: Endpoint): Promise<AttemptToken | undefined> {
    const { limiter, metrics, findRate } = this.#options;
    const { id, service } = registration;
    const ratePerSecond = findRate(service);
    if (ratePerSecond === undefined) return freeToken;
    const key = makeEndpointKey(id);
    const limit: LimitSpec = { key, ratePerSecond, burst, version: limitVersion };
    const decision = await limiter.take(limit);
    if (decision.kind === 'denied') {
      warmup.recordDenial(decision.retryAfterMs);
      metrics.recordEvent('warmup-denied', service);
      return undefined;
    }
    warmup.recordGrant();
    return {
      giveBack: () => {
        warmup.recordReturn();
        limiter.giveBack(key);
      },
    };
  }

  /** Logs whether an endpoint has turned cold or warm, with what showed it. */
  reportChange({ warmup, registration }: Endpoint, evidence: WarmupEvidence): void {
    const { log, metrics, findRate } = this.#options;
    const { id, service } = registration;
    const ratePerSecond = findRate(service);
    if (ratePerSecond === undefined) return;
    const change = warmup.takeChange();
    if (change === undefined) return;
    if (change === 'cold') warmup.resetCounts();
    metrics.recordEvent(`endpoint-${change}`, service);
    const status = warmup.readStatus();
    log.info(`endpoint-${change}`, { endpoint: id, service, evidence, ratePerSecond, ...status });
  }
}
