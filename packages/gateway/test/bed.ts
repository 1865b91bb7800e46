import { createServer, Server as HttpServer } from 'node:http';
import type { IncomingHttpHeaders, IncomingMessage, RequestListener } from 'node:http';
import { createServer as createTcpServer, Server as NetServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { FleetLimiter } from '@dotterelpass/quota';
import { Metrics } from '@dotterelpass/telemetry';
import type { LogFields } from '@dotterelpass/telemetry';
import { makeRandom, systemClock } from '@dotterelpass/values';
import type {
  EndpointId,
  FailureDomain,
  InstanceId,
  RequestId,
  ServiceId,
  WorkspaceId,
} from '@dotterelpass/values';
import type { Credential, WorkspaceTable } from '@dotterelpass/workspaces';
import type { Registration, Route, RouteName } from '../src/catalog.js';
import { HeaderCodec } from '../src/codec.js';
import type {
  ParsedBackpressure,
  ProbeResult,
  ResponseClassification,
  ResponseHead,
} from '../src/codec.js';
import { Gateway } from '../src/gateway.js';
import { UnlimitedLimiter } from './unlimited.js';

/** Slots of each endpoint, so that no call waits for one. */
const slots = 200;

const service = 'a' as ServiceId;

/** Takes the id and the timeout of a call from `id` and `timeout-ms`. */
class BedCodec extends HeaderCodec {
  override readonly replacedRequestHeaders: ReadonlySet<string> = new Set();

  override readonly credentialHeaders: ReadonlySet<string> = new Set([
    'authorization',
    'tenant-id',
  ]);

  override readonly challenge = 'Token';

  override readonly internalResponseHeaders: ReadonlySet<string> = new Set();

  override parseRequestHeaders({ id, fails, 'timeout-ms': timeout }: IncomingHttpHeaders) {
    if (fails !== undefined) throw new Error('the header fails');
    const timeoutMs = timeout === undefined ? undefined : Number(timeout);
    return { id: id as RequestId | undefined, timeoutMs };
  }

  override buildTimeoutHeaders(): string[] {
    return [];
  }

  override buildAttemptHeaders(): string[] {
    return [];
  }

  override classifyResponse(
    { status, headers }: ResponseHead,
    id: RequestId | undefined,
  ): ResponseClassification {
    if (id !== undefined && headers.id !== undefined && headers.id !== id) {
      return {
        kind: 'invalid',
        message: `the response belongs to request ${headers.id as string}`,
      };
    }
    if (status === 421) return { kind: 'not-run', reason: 'other-endpoint' };
    if (headers.outcome === 'not-run') return { kind: 'not-run', reason: 'shed' };
    return { kind: 'answer', isSuccess: status < 500 };
  }

  override parseCredential({ authorization }: IncomingHttpHeaders): Credential {
    if (authorization === undefined) return { kind: 'missing' };
    const key = /^Token (\S+)$/.exec(authorization)?.[1];
    return key === undefined ? { kind: 'malformed' } : { kind: 'key', key };
  }

  override buildWorkspaceHeaders(workspace: WorkspaceId): string[] {
    return ['Tenant-Id', workspace];
  }

  override parseLoadReport() {
    return undefined;
  }

  override parseBackpressure({ headers }: ResponseHead): ParsedBackpressure {
    const limit = headers.limit === undefined ? undefined : Number(headers.limit);
    return {
      signal: { maxRequestsPerSecond: limit, isLeaving: false, quietMs: 0 },
      malformed: undefined,
    };
  }

  override hasRequestId({ id }: IncomingHttpHeaders): boolean {
    return id !== undefined;
  }

  override parseProbeResponse({ status, headers }: ResponseHead): ProbeResult {
    const report = { running: 0, waiting: 0, slots, slowdown: 1 };
    const { 'warmup-ms': text } = headers;
    const warmupMs = text === undefined ? undefined : Number(text);
    return { isHealthy: status === 200, id: undefined, report, warmupMs };
  }
}

/** A gateway on a real port, in front of endpoints that run in the test process. */
export class GatewayBed {
  readonly gateway: Gateway;

  /** Connections that an endpoint takes from all instances, from the next `setRoute` on. */
  maxConnections = 1000;

  /** Size limit of bodies, from the next `setRoute` on. */
  maxBodyBytes = 1024 * 1024;

  /** Workspaces from the next `setRoute` on; without any, no keys are asked for. */
  workspaces: WorkspaceTable | undefined;

  /** Whether a route is in force from the start on. */
  hasConfiguration = true;

  readonly metrics = new Metrics();

  /** Requests a second that a cold endpoint takes, from the next `setRoute` on. */
  warmupRatePerSecond: number | undefined;

  /** Warm-up times that the endpoints state in their answers to probes, by their indexes. */
  readonly warmupMs: (number | undefined)[] = [];

  /** Log lines of the levels `info` and `error`. */
  readonly lines: { readonly event: string; readonly fields: LogFields }[] = [];

  readonly #endpoints: Server[] = [];

  #endpointPorts: readonly number[] = [];

  #port = 0;

  #version = 0;

  /** @param limiter - Hands out the tokens of limits; by default there are none. */
  constructor(instance = 'one', limiter: FleetLimiter = new UnlimitedLimiter()) {
    this.gateway = new Gateway(
      {
        headerCodec: new BedCodec(),
        instance: instance as InstanceId,
        failureDomain: 'z1' as FailureDomain,
        limits: {
          retryShare: 0,
          retryAllowance: 1000,
          retryWindowMs: 10_000,
          probesPerSecond: 10_000,
        },
        limiter,
        onConfig: () => undefined,
        clock: systemClock,
        random: makeRandom(7),
        log: {
          debug: () => undefined,
          info: (event, fields = {}) => this.lines.push({ event, fields }),
          warn: () => undefined,
          error: (event, fields = {}) => this.lines.push({ event, fields }),
        },
        metrics: this.metrics,
        onSuspect: () => undefined,
        onBan: () => undefined,
      },
      1,
    );
  }

  /** Port for callers. */
  get port(): number {
    return this.#port;
  }

  /** Ports of the endpoints, also of those that are closed. */
  get endpointPorts(): readonly number[] {
    return this.#endpointPorts;
  }

  /** Registrations of the endpoints. */
  get registrations(): Registration[] {
    return this.endpointPorts.map((port, index) => ({
      id: `i-${index + 1}` as EndpointId,
      service,
      address: `127.0.0.1:${port}`,
      failureDomain: 'z1' as FailureDomain,
      slots,
      state: 'ready',
      startedAtMs: 1,
      warmupMs: 0,
    }));
  }

  /**
   * Starts the gateway and its endpoints.
   *
   * @param handlers - What each endpoint does with a request that is no health probe.
   */
  async start(...handlers: RequestListener[]): Promise<void> {
    for (const [index, handle] of handlers.entries()) {
      const endpoint = makeEndpoint(handle, () => this.warmupMs[index]);
      this.#endpoints.push(await listen(endpoint));
    }
    await this.#startGateway();
  }

  /** Starts the gateway in front of endpoints with servers of their own, which answer probes, too. */
  async startServers(...servers: HttpServer[]): Promise<void> {
    for (const server of servers) this.#endpoints.push(await listen(server));
    await this.#startGateway();
  }

  /**
   * Starts the gateway in front of endpoints that speak on sockets.
   *
   * @param handlers - What each endpoint does with a connection, also for health probes.
   */
  async startRaw(...handlers: ((socket: Socket) => void)[]): Promise<void> {
    for (const handle of handlers) this.#endpoints.push(await listen(createTcpServer(handle)));
    await this.#startGateway();
  }

  /** Closes the port of an endpoint; its open connections live on. */
  closeEndpoint(index: number): void {
    // The method of the HTTP server would also close the idle ones.
    NetServer.prototype.close.call(this.#endpoints[index]);
  }

  /** Opens the port of an endpoint again. */
  async reopenEndpoint(index: number): Promise<void> {
    const [server, port] = [this.#endpoints[index] as Server, this.#endpointPorts[index]];
    await new Promise<void>((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
  }

  async #startGateway(): Promise<void> {
    this.#endpointPorts = this.#endpoints.map((server) => (server.address() as AddressInfo).port);
    if (this.hasConfiguration) this.setRoute({});
    this.gateway.setRegistrations(this.registrations);
    this.#port = await this.gateway.callers.listen('127.0.0.1', 0);
  }

  /** Puts a route for all paths into force. */
  setRoute(change: Partial<Route>): void {
    this.#version += 1;
    const route: Route = {
      name: 'r' as RouteName,
      host: 'h',
      pathPrefix: '/',
      targets: [{ service, weight: 1 }],
      repeat: 'once',
      timeoutMs: 30_000,
      targetLatencyMs: 20_000,
      maxAttempts: 2,
      priority: 0,
      ...change,
    };
    this.gateway.setConfig(
      {
        version: this.#version,
        routes: [route],
        services: new Map([
          [
            service,
            {
              name: service,
              healthPath: '/healthz',
              maxConnections: this.maxConnections,
              warmupRatePerSecond: this.warmupRatePerSecond,
            },
          ],
        ]),
        bounds: {
          maxHeaderBytes: 16 * 1024,
          maxBodyBytes: this.maxBodyBytes,
          headersTimeoutMs: 10_000,
          idleMs: 60_000,
        },
        workspaces: this.workspaces,
      },
      'test',
    );
  }

  async close(): Promise<void> {
    await this.gateway.callers.close(100);
    this.gateway.close();
    this.#endpoints.forEach((server) => {
      if (server instanceof HttpServer) server.closeAllConnections();
      server.close();
    });
  }
}

function makeEndpoint(handle: RequestListener, readWarmupMs: () => number | undefined): HttpServer {
  return createServer((request: IncomingMessage, response) => {
    if (request.url === '/healthz') {
      const warmupMs = readWarmupMs();
      if (warmupMs !== undefined) response.setHeader('warmup-ms', warmupMs);
      response.end('ok');
    } else handle(request, response);
  });
}

async function listen<S extends Server>(server: S): Promise<S> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}
