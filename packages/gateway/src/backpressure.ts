import type { EndpointBackpressure } from '@dotterelpass/backpressure';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import type { RequestId } from '@dotterelpass/values';
import type { HeaderCodec, ResponseHead } from './codec.js';
import type { Endpoint } from './endpoint.js';

export interface BackpressureRecorderOptions {
  readonly headerCodec: HeaderCodec;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Records what endpoints ask for in their answers, and logs each change with its evidence. */
export class BackpressureRecorder {
  readonly #options: BackpressureRecorderOptions;

  /** Endpoints with a malformed header that has been logged. */
  readonly #logged = new WeakSet<EndpointBackpressure>();

  constructor(options: BackpressureRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records an answer. The end of a limit is taken from answers to calls only, since an endpoint may
   * leave the limit out of its answers to probes.
   *
   * @param endpoint - The endpoint that has answered.
   * @param head - Status and headers of the answer.
   * @param source - Kind of the request.
   * @param requestId - Id of a call, for the log.
   */
  recordAnswer(
    endpoint: Endpoint,
    head: ResponseHead,
    source: 'call' | 'probe',
    requestId?: RequestId,
  ): void {
    const { headerCodec, log, metrics } = this.#options;
    const { backpressure } = endpoint;
    const { id, service } = endpoint.registration;
    const { signal, malformed } = headerCodec.parseBackpressure(head);
    if (malformed !== undefined && !this.#logged.has(backpressure)) {
      this.#logged.add(backpressure);
      metrics.recordEvent('backpressure-malformed', service);
      log.warn('backpressure-malformed', { endpoint: id, service, source, header: malformed });
    }
    const mayEndLimit = source === 'call' && malformed === undefined;
    backpressure.recordSignal(signal, mayEndLimit).forEach((change) => {
      metrics.recordEvent(`backpressure-${change.kind}`, service);
      log.info('backpressure', { endpoint: id, service, source, requestId, ...change });
      if (change.kind === 'leaving') endpoint.pool.closeIdle();
    });
  }
}
