import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Metrics } from '@dotterelpass/telemetry';
import type { EndpointId, ServiceId } from '@dotterelpass/values';
import type { HeaderCodec, ProbeResult } from './codec.js';
import type { Endpoint } from './endpoint.js';

/** Timeout of a probe; endpoints respond to probes at once, whatever their load. */
const probeTimeoutMs = 100;

/** Burst size of the probe budget, as the number of seconds whose probes may be sent at once. */
const burstSeconds = 1;

export interface ProberOptions {
  readonly headerCodec: HeaderCodec;
  readonly metrics: Metrics;
  /** Returns the probes a second that this instance may send to all endpoints together. */
  readonly getMaxProbesPerSecond: () => number;
  findHealthPath(service: ServiceId): string | undefined;
}

/** Probes endpoints for health and load, on the connections that calls use afterwards. */
export class Prober {
  readonly #options: ProberOptions;

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
   * @returns Whether the endpoint responded as expected; when the probe budget is spent, whether it
   * is reachable as far as is known.
   */
  async probe(endpoint: Endpoint): Promise<boolean> {
    const { id } = endpoint.registration;
    const running = this.#running.get(id);
    if (running) return running;
    if (!this.#consumeToken()) return endpoint.isReachable;
    const probe = this.#probeEndpoint(endpoint).finally(() => this.#running.delete(id));
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

  async #probeEndpoint(endpoint: Endpoint): Promise<boolean> {
    const { headerCodec, metrics } = this.#options;
    const { id, service, address } = endpoint.registration;
    const path = this.#options.findHealthPath(service);
    if (path === undefined) return true;
    const response = await sendProbe(endpoint, address, path);
    if (response === undefined) {
      metrics.recordEvent('probe-unanswered', service);
      endpoint.recordUnreachable();
      return false;
    }
    const result: ProbeResult = headerCodec.parseProbeResponse({
      status: response.statusCode ?? 0,
      headers: response.headers,
    });
    if (result.id !== undefined && result.id !== id) {
      metrics.recordEvent('probe-other-endpoint', service);
      endpoint.recordUnreachable();
      return false;
    }
    metrics.recordEvent('probe', service);
    if (result.report) endpoint.recordReport(result.report);
    endpoint.setHealthy(result.isHealthy);
    return true;
  }
}

async function sendProbe(
  endpoint: Endpoint,
  address: string,
  path: string,
): Promise<IncomingMessage | undefined> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = request({ agent: endpoint.pool.agent, host, port: Number(port), path });
    const timer = setTimeout(() => {
      outgoing.destroy();
      endpoint.pool.removeQueued(outgoing);
    }, probeTimeoutMs);
    const finish = (response?: IncomingMessage) => {
      clearTimeout(timer);
      resolve(response);
    };
    outgoing.on('response', (response) => {
      response.resume();
      response.on('error', () => undefined);
      response.on('end', () => finish(response));
      response.on('close', () => finish(response.complete ? response : undefined));
    });
    outgoing.on('error', () => finish());
    outgoing.on('close', () => finish());
    outgoing.end();
  });
}
