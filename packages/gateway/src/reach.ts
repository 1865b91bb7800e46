import type { Logger, Metrics } from '@dotterelpass/telemetry';
import type { Clock, ServiceId } from '@dotterelpass/values';
import type { Endpoint } from './endpoint.js';

/** Unreachable endpoints from which on a service may be out of reach, unless it has fewer. */
const minUnreachable = 3;

/** Share of the endpoints tried lately that must be unreachable before few count as in reach. */
const partialShare = 0.5;

/** Time for which the last result of an endpoint counts as recent, in milliseconds. */
const recentMs = 2000;

/** Time between two probes or trial calls of a service that is out of reach. */
const trialIntervalMs = 100;

/** How far the endpoints of a service can be reached from this instance. */
export type Reach = 'all' | 'few' | 'none';

export interface ReachMonitorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Returns the endpoints of a service that are ready for calls. */
  listEndpoints(service: ServiceId): readonly Endpoint[];
  probeEndpoint(endpoint: Endpoint): Promise<boolean>;
}

/** Tells whether this instance seems to be cut off from the endpoints of a service. */
export class ReachMonitor {
  readonly #options: ReachMonitorOptions;

  /** Monotonic times of the last trials of the services that are not fully in reach. */
  readonly #triedAt = new Map<ServiceId, number>();

  constructor(options: ReachMonitorOptions) {
    this.#options = options;
  }

  /**
   * Checks a service before a call is sent. While the service is not fully in reach, the check probes
   * its endpoints in turn, so that answers show when it is back. The call itself is the trial of an
   * endpoint that may not be probed.
   *
   * @returns `none` when several endpoints were found to be unreachable since any of them has
   * answered, `few` when this holds for most of those tried lately; `all` also for a trial.
   */
  checkReach(service: ServiceId): Reach {
    const endpoints = this.#options.listEndpoints(service);
    const now = this.#options.clock.now();
    const reach = assessReach(endpoints, now);
    const triedAt = this.#triedAt.get(service);
    if (reach === 'all') {
      if (triedAt !== undefined) this.#recordReturn(service);
      return reach;
    }
    if (triedAt === undefined) this.#recordLoss(service, reach, endpoints);
    else if (now - triedAt < trialIntervalMs) return reach;
    this.#triedAt.set(service, now);
    return this.#probeNext(endpoints) ? reach : 'all';
  }

  /** @returns The services that were not fully in reach at their last call. */
  listOutOfReach(): readonly ServiceId[] {
    return [...this.#triedAt.keys()];
  }

  /**
   * Probes the unreachable endpoint whose last failure is the oldest.
   *
   * @returns Whether the endpoint may be probed.
   */
  #probeNext(endpoints: readonly Endpoint[]): boolean {
    const [next] = endpoints
      .filter(isUnreachable)
      .sort((a, b) => a.unreachableAt - b.unreachableAt);
    if (!next?.backpressure.allowsProbes) return false;
    void this.#options.probeEndpoint(next);
    return true;
  }

  #recordLoss(service: ServiceId, reach: Reach, endpoints: readonly Endpoint[]): void {
    const unreachable = endpoints.filter(isUnreachable).map(({ registration: { id } }) => id);
    this.#options.metrics.recordEvent('service-out-of-reach', service);
    this.#options.log.warn('service-out-of-reach', { service, reach, unreachable });
  }

  #recordReturn(service: ServiceId): void {
    this.#triedAt.delete(service);
    this.#options.log.info('service-back-in-reach', { service });
  }
}

function assessReach(endpoints: readonly Endpoint[], now: number): Reach {
  const needed = Math.max(1, Math.min(minUnreachable, endpoints.length));
  const lastAnswerAt = Math.max(-Infinity, ...endpoints.map(({ answeredAt }) => answeredAt));
  const unreachable = endpoints.filter(isUnreachable);
  const sinceAnswer = unreachable.filter(({ unreachableAt }) => unreachableAt >= lastAnswerAt);
  if (sinceAnswer.length >= needed) return 'none';
  const isRecent = ({ unreachableAt, answeredAt }: Endpoint) =>
    Math.max(unreachableAt, answeredAt) > now - recentMs;
  const recentCount = endpoints.filter(isRecent).length;
  const lost = unreachable.filter(isRecent).length;
  return lost >= needed && lost >= partialShare * recentCount ? 'few' : 'all';
}

/** Whether an endpoint was found to be unreachable and has not answered since. */
function isUnreachable({ unreachableAt, answeredAt }: Endpoint): boolean {
  return unreachableAt > -Infinity && unreachableAt >= answeredAt;
}
