import { createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { ActiveConfiguration } from '@dotterelpass/configuration';
import { CallerServer, ConnectionPool } from '@dotterelpass/proxy';
import { RetryBudget } from '@dotterelpass/retries';
import { Metrics, createLogger } from '@dotterelpass/telemetry';
import { serviceSchema, systemClock } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import { CallHandler } from '../src/index.js';
import type { CallHandlerOptions, SlotOutcome, SlotRequest } from '../src/index.js';

// The raw HTTP client is shared with the tests of packages/proxy.
// eslint-disable-next-line import-x/no-relative-packages
export { exchange, invalidStatusLines } from '../../proxy/test/raw.js';

/** A test endpoint: an HTTP handler, a handler of raw connections, or a port that refuses them. */
export type FakeEndpoint = RequestListener | { raw: (socket: Socket) => void } | 'refusing';

/**
 * A call handler in this process between real sockets. Its balancer picks the first endpoint that
 * the call has not tried, and records all slot requests and outcomes.
 */
export interface TestProxy {
  readonly port: number;
  readonly calls: CallHandler;
  readonly requests: SlotRequest[];
  readonly outcomes: SlotOutcome[];
  close(): Promise<void>;
}

/**
 * Opens a proxy in front of test endpoints.
 *
 * @param endpoints - The endpoints, in the order in which they are tried.
 * @param rule - Fields of the only rule that differ from an idempotent one with defaults.
 * @param options - Options of the call handler.
 * @param earlierCalls - Calls recorded in the retry budget beforehand; ten calls allow one retry.
 */
export async function openProxy(
  endpoints: readonly FakeEndpoint[],
  rule: Record<string, unknown> = {},
  options: CallHandlerOptions = {},
  earlierCalls = 0,
): Promise<TestProxy> {
  const servers = await Promise.all(endpoints.map(openEndpoint));
  const service = serviceSchema.parse({
    name: 's',
    routes: [{ pathPrefix: '/' }],
    endpoints: servers.map(({ port }, index) => ({
      id: `e${index}`,
      address: `127.0.0.1:${port}`,
      failureDomain: `d${index}`,
    })),
    rules: [{ name: 'r', repeat: 'idempotent', ...rule }],
  });
  const inForce = new ActiveConfiguration();
  inForce.activate({ revision: 1, service, history: [] } as never);
  const requests: SlotRequest[] = [];
  const outcomes: SlotOutcome[] = [];
  const pools = new Map(
    service.endpoints.map(({ address }) => [address, new ConnectionPool(address, 20)]),
  );
  const balancer = {
    async acquire(request: SlotRequest) {
      requests.push(request);
      const endpoint = service.endpoints.find(({ id }) => !request.tried.includes(id));
      if (!endpoint) {
        return err({
          status: 503,
          verdict: 'not-run' as const,
          message: 'no untried endpoint',
          retryAfterSeconds: 1,
        });
      }
      const release = (outcome: SlotOutcome) => outcomes.push(outcome);
      return ok({ endpoint, pool: pools.get(endpoint.address) as ConnectionPool, release });
    },
  };
  const budget = new RetryBudget(systemClock);
  for (let count = 0; count < earlierCalls; count++) budget.recordCall(['s', 's/default']);
  const log = createLogger('test');
  const calls = new CallHandler({ activeConfiguration: inForce }, balancer, log, new Metrics(), {
    ...options,
    budget,
  });
  const callers = new CallerServer((call) => calls.serve(call));
  const port = await callers.listen('127.0.0.1', 0);
  return {
    port,
    calls,
    requests,
    outcomes,
    async close() {
      await callers.close(0);
      pools.forEach((pool) => pool.close());
      servers.forEach(({ server }) => server?.close());
    },
  };
}

async function openEndpoint(endpoint: FakeEndpoint): Promise<{ port: number; server?: Server }> {
  const server =
    typeof endpoint === 'function'
      ? createServer(endpoint)
      : createTcpServer((socket) => {
          socket.on('error', () => undefined);
          if (endpoint !== 'refusing') endpoint.raw(socket);
        });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  if (endpoint !== 'refusing') return { port, server };
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return { port };
}

/** Polls a condition, and fails if it does not become true in time. */
export async function waitFor(check: () => boolean, ms = 3000): Promise<void> {
  const endAt = performance.now() + ms;
  while (!check()) {
    if (performance.now() > endAt) throw new Error(`condition not met within ${ms} ms`);
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}
