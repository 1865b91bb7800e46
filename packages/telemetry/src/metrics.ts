import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import type { Verdict } from '@dotterelpass/values';

/** Most values of one label; later ones share the value `other`. */
const maxLabelValues = 200;

const latencyBuckets = [
  0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2, 4, 8, 16, 32,
];

/** The event loop's lag is sampled this often, in milliseconds; each sample wakes the process. */
const loopLagStepMs = 1000;

/** What happened to one call, for its metrics. */
export interface CallRecord {
  readonly service: string;
  readonly tenant: string;
  readonly class: string;
  readonly verdict: Verdict;
  /** HTTP status sent to the caller; 0 when the caller left. */
  readonly status: number;
  /** From the first byte of the request to the last byte of the answer. */
  readonly seconds: number;
}

/** Metrics of one program, read at `/metrics`. */
export class Metrics {
  readonly #registry = new Registry();

  readonly #labels = new Map<string, Set<string>>();

  readonly #latency: Histogram;

  readonly #calls: Counter;

  readonly #events: Counter;

  readonly #gauges = new Map<string, Gauge>();

  /** @param common - Labels on every metric, such as the instance. */
  constructor(common: Readonly<Record<string, string>> = {}) {
    this.#registry.setDefaultLabels(common);
    collectDefaultMetrics({
      register: this.#registry,
      eventLoopMonitoringPrecision: loopLagStepMs,
    });
    this.#latency = new Histogram({
      name: 'dotterelpass_call_seconds',
      help: 'Time from the first byte of a request to the last byte of its answer.',
      labelNames: ['service', 'tenant', 'class'],
      buckets: latencyBuckets,
      registers: [this.#registry],
    });
    this.#calls = new Counter({
      name: 'dotterelpass_calls_total',
      help: 'Calls by verdict and status class.',
      labelNames: ['service', 'tenant', 'class', 'verdict', 'status'],
      registers: [this.#registry],
    });
    this.#events = new Counter({
      name: 'dotterelpass_events_total',
      help: 'Decisions and faults by kind.',
      labelNames: ['event', 'service'],
      registers: [this.#registry],
    });
  }

  /** @param call - A call that has ended. */
  recordCall(call: CallRecord): void {
    const service = this.#bound('service', call.service);
    const tenant = this.#bound('tenant', call.tenant);
    const name = this.#bound('class', call.class);
    this.#latency.observe({ service, tenant, class: name }, call.seconds);
    const status = call.status === 0 ? 'none' : `${Math.floor(call.status / 100)}xx`;
    this.#calls.inc({ service, tenant, class: name, verdict: call.verdict, status });
  }

  /**
   * Counts a decision or a fault.
   *
   * @param event - Its kind, a constant of the code.
   * @param service - The service, when it belongs to one.
   */
  recordEvent(event: string, service = ''): void {
    this.#events.inc({ event, service: this.#bound('service', service) });
  }

  /**
   * Registers a value that is read when metrics are.
   *
   * @param name - Metric name without the prefix `dotterelpass_`.
   * @param help - What it counts, with its unit.
   * @param read - Gives the present value.
   */
  addGauge(name: string, help: string, read: () => number): void {
    if (this.#gauges.has(name)) throw new RangeError(`gauge ${name} exists already`);
    const gauge = new Gauge({
      name: `dotterelpass_${name}`,
      help,
      registers: [this.#registry],
      collect() {
        this.set(read());
      },
    });
    this.#gauges.set(name, gauge);
  }

  /** @returns All metrics in the Prometheus text format. */
  async readText(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Keeps the number of label values bounded, since some come from callers. */
  #bound(label: string, value: string): string {
    const known = this.#labels.get(label) ?? new Set<string>();
    this.#labels.set(label, known);
    if (known.has(value)) return value;
    if (known.size >= maxLabelValues) return 'other';
    known.add(value);
    return value;
  }
}
