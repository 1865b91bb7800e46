import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { copyEndToEnd, refuse } from '@dotterelpass/proxy';
import type { AttemptFailure, Refusal } from '@dotterelpass/proxy';
import type { Log, Metrics } from '@dotterelpass/telemetry';
import { findRule, findService, outcomeHeader, readVerdict } from '@dotterelpass/values';
import type { EndpointId, RequestId, Rule, Service, TenantId, Verdict } from '@dotterelpass/values';
import type { Balancer, Slot } from './balancer.js';
import type { ConfigFeed } from './config.js';

/** One call on its way through this instance. */
interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly id: RequestId;
  readonly service: Service;
  readonly rule: Rule;
  readonly tenant: TenantId;
  readonly startedAt: number;
  readonly deadlineAt: number;
  readonly gone: AbortSignal;
}

interface Ending {
  readonly verdict: Verdict;
  readonly status: number;
}

const defaultTenant = 'default' as TenantId;

/** Takes calls from callers to endpoints. */
export class CallPath {
  readonly #config: ConfigFeed;

  readonly #balancer: Balancer;

  readonly #log: Log;

  readonly #metrics: Metrics;

  constructor(config: ConfigFeed, balancer: Balancer, log: Log, metrics: Metrics) {
    this.#config = config;
    this.#balancer = balancer;
    this.#log = log;
    this.#metrics = metrics;
  }

  /**
   * Answers one call.
   *
   * @param request - The call as it came.
   * @param response - Where its answer goes.
   */
  async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAt = performance.now();
    const id = randomUUID() as RequestId;
    const path = (request.url ?? '/').split('?', 1)[0] as string;
    const host = (request.headers.host ?? '').toLowerCase().replace(/:\d+$/, '');
    const service = findService(this.#config.inForce.services, host, path);
    if (!service) {
      const message = `no service has a route for ${path}`;
      refuse(response, id, { status: 404, verdict: 'not-run', message });
      return;
    }
    const rule = findRule(service, request.method ?? 'GET', path);
    const gone = new AbortController();
    response.on('close', () => gone.abort());
    const call: Call = {
      request,
      response,
      id,
      service,
      rule,
      tenant: findTenant(service, request.headers['x-tenant-id']),
      startedAt,
      deadlineAt: startedAt + rule.deadlineMs,
      gone: gone.signal,
    };
    const ending = await this.#run(call);
    const seconds = (performance.now() - startedAt) / 1000;
    this.#metrics.recordCall({
      service: service.name,
      tenant: call.tenant,
      class: rule.name,
      seconds,
      ...ending,
    });
    this.#log.debug('call', { requestId: id, service: service.name, seconds, ...ending });
  }

  async #run(call: Call): Promise<Ending> {
    const slot = await this.#balancer.acquire({
      service: call.service,
      rule: call.rule,
      tenant: call.tenant,
      deadlineAt: call.deadlineAt,
      tried: [] as EndpointId[],
      signal: call.gone,
    });
    if (slot.isErr()) return this.#refuse(call, slot.error);
    return this.#attempt(call, slot.value);
  }

  async #attempt(call: Call, slot: Slot): Promise<Ending> {
    const remainingMs = Math.max(1, call.deadlineAt - performance.now());
    const answer = await slot.pool.send({
      method: call.request.method ?? 'GET',
      path: call.request.url ?? '/',
      headers: {
        ...copyEndToEnd(call.request.headers),
        'x-request-id': call.id,
        'x-request-timeout-ms': Math.ceil(remainingMs),
      },
      body: call.request,
      timeoutMs: remainingMs,
      signal: call.gone,
    });
    if (answer.isErr()) {
      slot.release({ result: answer.error.kind === 'cancelled' ? 'cancelled' : 'failed' });
      return this.#refuse(call, toRefusal(answer.error));
    }
    const response = answer.value;
    const status = response.statusCode ?? 502;
    const verdict = readVerdict(String(response.headers[outcomeHeader])) ?? 'ran';
    call.response.writeHead(status, copyEndToEnd(response.headers));
    try {
      await pipeline(response, call.response);
      const report = String(response.headers['endpoint-load-metrics'] ?? '');
      const leaving = status === 503 && response.headers.connection === 'close';
      const result = verdict === 'not-run' ? 'shed' : 'answered';
      slot.release({ result, status, report, leaving });
    } catch {
      // The pipeline has closed the caller's connection, so a cut answer never looks whole.
      slot.release({ result: call.gone.aborted ? 'cancelled' : 'failed' });
      return { verdict: 'may-have-run', status: 0 };
    }
    return { verdict, status };
  }

  #refuse(call: Call, refusal: Refusal): Ending {
    refuse(call.response, call.id, refusal);
    return { verdict: refusal.verdict, status: refusal.status };
  }
}

function findTenant(service: Service, header: string | string[] | undefined): TenantId {
  const known = service.tenants.find(({ id }) => id === header);
  return known?.id ?? defaultTenant;
}

function toRefusal({ kind, verdict, message }: AttemptFailure): Refusal {
  if (kind === 'timeout') return { status: 504, verdict, message };
  return { status: verdict === 'not-run' ? 503 : 502, verdict, message };
}
