import type { Metrics } from '@dotterelpass/telemetry';
import type { EndpointId, ServiceId } from '@dotterelpass/values';
import type { BackpressureRecorder } from './backpressure.js';
import type { HeaderCodec, ResponseHead } from './codec.js';
import type { Endpoint } from './endpoint.js';
import { sendProbe } from './probe.js';
import type { ProbeReply } from './probe.js';
import type { WarmupGate } from './gate.js';

/** Burst size of the probe budget, as the number of seconds whose probes may be sent at once. */
const burstSeconds = 1;

export interface ProberOptions {
  readonly headerCodec: HeaderCodec;
  readonly backpressure: BackpressureRecorder;
  readonly warmup: WarmupGate;
  readonly metrics: Metrics;
  /** Returns the probes a second that this instance may send to all endpoints together. */
  readonly getMaxProbesPerSecond: () => number;
  findHealthPath(service: ServiceId): string | undefined;
  /** Called when an endpoint has reported its load later than the probe waits. */
  onLateReport(service: ServiceId): void;
}

/** Probes endpoints for health and load, on the connections that calls use afterwards. */
export class Prober {
  readonly #options: ProberOptions;

  /** Probes in progress, also those whose result is known although the response is not there. */
  readonly #running = new Map<EndpointId, Promise<boolean>>();

  /** Tokens of the probe budget; each allows one probe. */
  #tokens = 0;

  #refilledAt = performance.now();

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  /**
   * Probes an endpoint. Concurrent calls for the same endpoint share one probe.
   *
   * @param endpoint - The endpoint, which receives the load report.
   * @returns Whether the endpoint responded as expected; when it may not be probed or the probe budget
   * is spent, whether it is reachable as far as is known.
   */
  async probe(endpoint: Endpoint): Promise<boolean> {
    const { id, service } = endpoint.registration;
    if (endpoint.isEvacuated) return false;
    if (!endpoint.backpressure.allowsProbes) return endpoint.isReachable;
    const running = this.#running.get(id);
    if (running) return running;
    const path = this.#options.findHealthPath(service);
    if (path === undefined || !this.#consumeToken()) return endpoint.isReachable;
    const probe = this.#probeEndpoint(endpoint, path);
    this.#running.set(id, probe);
    return probe;
  }

  /**
   * Consumes a token of the budget, which all endpoints share. In a large fleet, a budget for each
   * endpoint would allow this instance one probe every other second, while it probes only few
   * endpoints at a time.
   */
  #consumeToken(): boolean {
    const maxPerSecond = this.#options.getMaxProbesPerSecond();
    const now = performance.now();
    const refilled = this.#tokens + ((now - this.#refilledAt) / 1000) * maxPerSecond;
    this.#tokens = Math.min(burstSeconds * maxPerSecond, refilled);
    this.#refilledAt = now;
    if (this.#tokens < 1) {
      this.#options.metrics.recordEvent('probe-budget-spent');
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  async #probeEndpoint(endpoint: Endpoint, path: string): Promise<boolean> {
    const { metrics, headerCodec } = this.#options;
    const { id, service, address } = endpoint.registration;
    let reply = await sendProbe(endpoint.pool, address, path, headerCodec);
    if (reply.kind === 'stale-connection') {
      metrics.recordEvent('probe-stale-connection', service);
      // Whatever made this connection unusable may have affected the other idle ones, too.
      endpoint.pool.closeIdle();
      reply = await sendProbe(endpoint.pool, address, path, headerCodec);
    }
    if (reply.kind === 'waiting') {
      void this.#handleLateReply(endpoint, reply);
      return false;
    }
    this.#running.delete(id);
    if (reply.kind === 'answered') return this.#recordAnswer(endpoint, reply.head);
    if (reply.kind === 'full') {
      metrics.recordEvent('probe-connection-refused', service);
      endpoint.recordFull();
    } else {
      metrics.recordEvent('probe-unanswered', service);
      endpoint.recordUnreachable();
    }
    return false;
  }

  /** Waits for the answer of an endpoint that has accepted a connection without answering yet. */
  async #handleLateReply(
    endpoint: Endpoint,
    { answer }: Extract<ProbeReply, { kind: 'waiting' }>,
  ): Promise<void> {
    const { metrics, onLateReport } = this.#options;
    const { id, service } = endpoint.registration;
    metrics.recordEvent('probe-waiting', service);
    endpoint.recordFull();
    const head = await answer;
    this.#running.delete(id);
    if (head === undefined) {
      metrics.recordEvent('probe-unanswered', service);
      endpoint.recordUnreachable();
    } else if (this.#recordAnswer(endpoint, head)) onLateReport(service);
  }

  #recordAnswer(endpoint: Endpoint, head: ResponseHead): boolean {
    const { headerCodec, metrics } = this.#options;
    const { id, service } = endpoint.registration;
    const result = headerCodec.parseProbeResponse(head);
    if (result.id !== undefined && result.id !== id) {
      metrics.recordEvent('probe-other-endpoint', service);
      endpoint.recordUnreachable();
      return false;
    }
    metrics.recordEvent('probe', service);
    this.#options.backpressure.recordAnswer(endpoint, head, 'probe');
    if (result.report) endpoint.recordReport(result.report);
    endpoint.setHealthy(result.isHealthy);
    endpoint.warmup.recordHealthCheck(result.warmupMs);
    this.#options.warmup.reportChange(endpoint, 'health-check');
    return true;
  }
}
