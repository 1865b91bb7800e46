import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import type { Verdict } from '@dotterelpass/values';

/** Maximum number of values of one label; further values are replaced by `other`. */
const maxLabelValues = 200;

const latencyBucketsSeconds = [
  0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2, 4, 8, 16, 32,
];

/** Sampling interval of the event loop lag, in milliseconds; each sample wakes the process. */
const eventLoopLagIntervalMs = 1000;

/** Outcome of one call, for the metrics. */
export interface CallRecord {
  readonly service: string;
  readonly tenant: string;
  readonly class: string;
  readonly verdict: Verdict;
  /** HTTP status sent to the caller; 0 when the caller disconnected. */
  readonly status: number;
  /** Time from the first byte of the request to the last byte of the response. */
  readonly seconds: number;
}

/** Metrics of one program, served at `/metrics`. */
export class Metrics {
  readonly #registry = new Registry();

  readonly #labelValues = new Map<string, Set<string>>();

  readonly #latency: Histogram;

  readonly #calls: Counter;

  readonly #events: Counter;

  readonly #gauges = new Map<string, Gauge>();

  /** @param commonLabels - Labels of every metric, such as the instance. */
  constructor(commonLabels: Readonly<Record<string, string>> = {}) {
    this.#registry.setDefaultLabels(commonLabels);
    collectDefaultMetrics({
      register: this.#registry,
      eventLoopMonitoringPrecision: eventLoopLagIntervalMs,
    });
    this.#latency = new Histogram({
      name: 'dotterelpass_call_seconds',
      help: 'Time from the first byte of a request to the last byte of its answer.',
      labelNames: ['service', 'tenant', 'class'],
      buckets: latencyBucketsSeconds,
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
    const service = this.#limitLabelValue('service', call.service);
    const tenant = this.#limitLabelValue('tenant', call.tenant);
    const className = this.#limitLabelValue('class', call.class);
    this.#latency.observe({ service, tenant, class: className }, call.seconds);
    const status = call.status === 0 ? 'none' : `${Math.floor(call.status / 100)}xx`;
    this.#calls.inc({ service, tenant, class: className, verdict: call.verdict, status });
  }

  /**
   * Counts a decision or a fault.
   *
   * @param event - Kind of the decision or fault; a fixed string, since it is a label value.
   * @param service - The service that the event concerns, if any.
   */
  recordEvent(event: string, service = ''): void {
    this.#events.inc({ event, service: this.#limitLabelValue('service', service) });
  }

  /**
   * Registers a gauge whose value is read on each scrape.
   *
   * @param name - Metric name without the prefix `dotterelpass_`.
   * @param help - Description of the value, with its unit.
   * @param read - Returns the present value.
   */
  addGauge(name: string, help: string, read: () => number): void {
    if (this.#gauges.has(name)) throw new RangeError(`gauge ${name} is already registered`);
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

  /**
   * Registers a gauge with the value 1 that shows a text as a label.
   *
   * @param name - Metric name without the prefix `dotterelpass_`.
   * @param help - Description of the text.
   * @param label - Name of the label.
   * @param read - Returns the present text.
   */
  addInfo(name: string, help: string, label: string, read: () => string): void {
    if (this.#gauges.has(name)) throw new RangeError(`gauge ${name} is already registered`);
    const gauge = new Gauge({
      name: `dotterelpass_${name}`,
      help,
      labelNames: [label],
      registers: [this.#registry],
      collect() {
        this.reset();
        this.set({ [label]: read() }, 1);
      },
    });
    this.#gauges.set(name, gauge);
  }

  /** @returns All metrics in the Prometheus text format. */
  async readText(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Limits the number of label values, since some of them come from callers. */
  #limitLabelValue(label: string, value: string): string {
    const values = this.#labelValues.get(label) ?? new Set<string>();
    this.#labelValues.set(label, values);
    if (values.has(value)) return value;
    if (values.size >= maxLabelValues) return 'other';
    values.add(value);
    return value;
  }
}
