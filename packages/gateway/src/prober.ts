import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { Metrics } from '@dotterelpass/telemetry';
import type { EndpointId, ServiceId } from '@dotterelpass/values';
import type { HeaderCodec, ProbeResult } from './codec.js';
import type { Endpoint } from './endpoint.js';

/** Time for the answer to a probe; endpoints answer it at once, whatever their load. */
const probeTimeoutMs = 100;

/** Probes that may be sent at once, as the time in which their number is allowed, in seconds. */
const burstSeconds = 1;

export interface ProberOptions {
  readonly headerCodec: HeaderCodec;
  readonly metrics: Metrics;
  /** Probes a second that this instance may send to all endpoints together. */
  readonly getMaxProbesPerSecond: () => number;
  findHealthPath(service: ServiceId): string | undefined;
}

/** Asks endpoints for their load, on the connections that calls use afterwards. */
export class Prober {
  readonly #options: ProberOptions;

  readonly #running = new Map<EndpointId, Promise<boolean>>();

  /** Probes that may be sent now. */
  #tokens = 0;

  #refilledAt = performance.now();

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  /**
   * Asks an endpoint for its load. Calls that ask at the same time share one probe.
   *
   * @param endpoint - The endpoint, which takes the report.
   * @returns Whether the endpoint can take calls, as far as the probe tells; true when the budget
   * allows no probe now.
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
   * One budget serves all endpoints: a large fleet's share for a single one would allow a probe
   * every other second, and an instance asks few of the endpoints at a time.
   */
  #consumeToken(): boolean {
    const perSecond = this.#options.getMaxProbesPerSecond();
    const now = performance.now();
    const filled = this.#tokens + ((now - this.#refilledAt) / 1000) * perSecond;
    this.#tokens = Math.min(burstSeconds * perSecond, filled);
    this.#refilledAt = now;
    if (this.#tokens < 1) {
      this.#options.metrics.recordEvent('probe-budget-spent');
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  async #probeEndpoint(endpoint: Endpoint): Promise<boolean> {
    const { headerCodec: dialect, metrics } = this.#options;
    const { id, service, address } = endpoint.registration;
    const path = this.#options.findHealthPath(service);
    if (path === undefined) return true;
    const answer = await sendProbe(endpoint, address, path);
    if (answer === undefined) {
      metrics.recordEvent('probe-unanswered', service);
      endpoint.recordUnreachable();
      return false;
    }
    const reading: ProbeResult = dialect.parseProbeResponse({
      status: answer.statusCode ?? 0,
      headers: answer.headers,
    });
    if (reading.id !== undefined && reading.id !== id) {
      metrics.recordEvent('probe-other-endpoint', service);
      endpoint.recordUnreachable();
      return false;
    }
    metrics.recordEvent('probe', service);
    if (reading.report) endpoint.recordReport(reading.report);
    endpoint.setHealthy(reading.isHealthy);
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
    const finish = (answer?: IncomingMessage) => {
      clearTimeout(timer);
      resolve(answer);
    };
    outgoing.on('response', (answer) => {
      answer.resume();
      answer.on('error', () => undefined);
      answer.on('end', () => finish(answer));
      answer.on('close', () => finish(answer.complete ? answer : undefined));
    });
    outgoing.on('error', () => finish());
    outgoing.on('close', () => finish());
    outgoing.end();
  });
}
