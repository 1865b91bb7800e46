#!/usr/bin/env node
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readSettingsOrExit, settingSchemas } from '@dotterelpass/settings';
import { createLogger } from '@dotterelpass/telemetry';
import { z } from 'zod';
import { readBody, sendJson, version } from './http.js';
import { Store } from './store.js';
import type { ListedService, StoredValue } from './store.js';

/** Faults that tests set while the stand-in runs. */
const faultSchema = z.object({
  /** Closes the connection of every call without a response, as in an outage. */
  down: z.boolean().default(false),
  /** Accepts calls and never responds. */
  silent: z.boolean().default(false),
  /** Delay of every response, in milliseconds. */
  delayMs: z.number().min(0).max(60_000).default(0),
  /** Number of writes to keys with the prefix that are applied but get no response. */
  loseAnswers: z.number().int().min(0).default(0),
  loseAnswersPrefix: z.string().default(''),
});

type Faults = z.infer<typeof faultSchema>;

const settings = await readSettingsOrExit(
  {
    name: 'dotterelpass-platform',
    version,
    describe: 'Stand-in for the platform: key-value store and service catalog (Consul HTTP API).',
  },
  {
    listen: { describe: 'IP address and port to listen on', schema: settingSchemas.address },
    listLagMs: {
      describe: 'Delay until the service catalog shows a change, in milliseconds',
      schema: settingSchemas.milliseconds.default(2000),
    },
    writesPerSecond: {
      describe: 'Writes per second; further writes are refused with status 429',
      schema: z.coerce.number().min(1).max(1e6).default(400),
    },
    readsPerSecond: {
      describe: 'Reads per second; further reads are refused with status 429',
      schema: z.coerce.number().min(1).max(1e6).default(2000),
    },
  },
);

const maxValueBytes = 2 ** 20;
const maxWaitMs = 600_000;
const log = createLogger('platform');
const store = new Store(settings.listLagMs);
const counts = { reads: 0, writes: 0, refused: 0, waiting: 0 };
let faults: Faults = faultSchema.parse({});
let savedValues: readonly StoredValue[] = [];
let rateWindow = { startedAt: Date.now(), reads: 0, writes: 0 };

const server = createServer((request, response) => {
  serve(request, response).catch((error: unknown) => {
    log.error('call-failed', { error });
    response.destroy();
  });
});
const [host, port] = settings.listen.split(':');
server.listen(Number(port), host, () => {
  log.info('listening', { address: host, port: (server.address() as { port: number }).port });
});
process.on('SIGTERM', () => process.exit(0));

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://platform');
  const body = await readBody(request);
  if (url.pathname.startsWith('/standin/')) {
    serveControl(url.pathname, request.method ?? '', body, response);
    return;
  }
  if (faults.silent) return;
  if (faults.down) {
    response.destroy();
    return;
  }
  const isWrite = request.method === 'PUT' || request.method === 'DELETE';
  if (!admitCall(isWrite)) {
    response.writeHead(429).end('rate limit reached');
    return;
  }
  if (faults.delayMs > 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, faults.delayMs);
    });
  }
  if (url.pathname.startsWith('/v1/kv/')) await serveKey(request, url, body, response);
  else if (url.pathname.startsWith('/v1/session/')) serveSession(url.pathname, body, response);
  else serveCatalog(url.pathname, body, response);
}

/** Counts a call, and returns false when it exceeds the rate limit of the current second. */
function admitCall(isWrite: boolean): boolean {
  const now = Date.now();
  if (now - rateWindow.startedAt >= 1000) rateWindow = { startedAt: now, reads: 0, writes: 0 };
  if (isWrite) rateWindow.writes += 1;
  else rateWindow.reads += 1;
  if (rateWindow.writes > settings.writesPerSecond || rateWindow.reads > settings.readsPerSecond) {
    counts.refused += 1;
    return false;
  }
  if (isWrite) counts.writes += 1;
  else counts.reads += 1;
  return true;
}

async function serveKey(
  request: IncomingMessage,
  url: URL,
  body: Buffer,
  response: ServerResponse,
): Promise<void> {
  const key = decodeURIComponent(url.pathname.slice('/v1/kv/'.length));
  const query = url.searchParams;
  if (request.method === 'GET') {
    await readKey(key, query, response);
    return;
  }
  const cas = query.has('cas') ? Number(query.get('cas')) : undefined;
  if (request.method === 'DELETE') {
    sendJson(response, 200, store.remove(key, cas));
    return;
  }
  if (body.length > maxValueBytes) {
    response.writeHead(413).end('the value is larger than 1 MB');
    return;
  }
  const acquire = query.get('acquire');
  const release = query.get('release');
  let succeeded: boolean;
  if (acquire !== null) succeeded = store.acquire(key, body, acquire);
  else if (release !== null) succeeded = store.release(key, release);
  else succeeded = store.write(key, body, cas);
  if (succeeded && faults.loseAnswers > 0 && key.startsWith(faults.loseAnswersPrefix)) {
    faults = { ...faults, loseAnswers: faults.loseAnswers - 1 };
    response.destroy();
    return;
  }
  sendJson(response, 200, succeeded);
}

async function readKey(
  key: string,
  query: URLSearchParams,
  response: ServerResponse,
): Promise<void> {
  const recurse = query.has('recurse');
  if (query.has('index')) {
    const waitMs = Math.min(Number.parseFloat(query.get('wait') ?? '300000') || 0, maxWaitMs);
    const disconnected = new AbortController();
    response.on('close', () => disconnected.abort());
    counts.waiting += 1;
    await store.waitForChange(
      key,
      recurse,
      Number(query.get('index')),
      AbortSignal.any([disconnected.signal, AbortSignal.timeout(waitMs)]),
    );
    counts.waiting -= 1;
    if (faults.silent) return;
    if (faults.down) {
      response.destroy();
      return;
    }
  }
  const values = store.read(key, recurse);
  response.setHeader('x-consul-index', store.readIndex(values));
  if (values.length === 0) response.writeHead(404).end();
  else sendJson(response, 200, values);
}

function serveSession(path: string, body: Buffer, response: ServerResponse): void {
  if (path === '/v1/session/create') {
    const { TTL } = JSON.parse(body.toString() || '{}') as { TTL?: string };
    sendJson(response, 200, { ID: store.openSession(parseDuration(TTL ?? '10s')) });
    return;
  }
  const id = path.slice('/v1/session/renew/'.length);
  if (store.renewSession(id)) sendJson(response, 200, [{ ID: id }]);
  else response.writeHead(404).end();
}

function parseDuration(text: string): number {
  const amount = Number.parseFloat(text);
  return text.endsWith('ms') ? amount : amount * 1000;
}

function serveCatalog(path: string, body: Buffer, response: ServerResponse): void {
  if (path === '/v1/agent/service/register') {
    const registration = JSON.parse(body.toString()) as Partial<ListedService> & { Name: string };
    const id = registration.ID ?? registration.Name;
    store.setListing(id, {
      Name: registration.Name,
      ID: id,
      Address: registration.Address ?? '',
      Port: registration.Port ?? 0,
      Meta: registration.Meta ?? {},
      leaving: registration.Meta?.leaving === 'true',
    });
    response.writeHead(200).end();
    return;
  }
  if (path.startsWith('/v1/agent/service/deregister/')) {
    store.setListing(path.slice('/v1/agent/service/deregister/'.length), undefined);
    response.writeHead(200).end();
    return;
  }
  if (!path.startsWith('/v1/health/service/')) {
    response.writeHead(404).end();
    return;
  }
  const listed = store.readListing(path.slice('/v1/health/service/'.length));
  response.setHeader('x-consul-index', store.index);
  sendJson(
    response,
    200,
    listed.map(({ leaving, ...service }) => ({
      Service: { ...service, Service: service.Name },
      Checks: [{ Status: leaving ? 'critical' : 'passing' }],
    })),
  );
}

function serveControl(path: string, method: string, body: Buffer, response: ServerResponse): void {
  if (path === '/standin/faults' && method === 'PUT') {
    const parsed = faultSchema.safeParse(JSON.parse(body.toString()));
    if (!parsed.success) {
      sendJson(response, 400, { error: z.prettifyError(parsed.error) });
      return;
    }
    faults = parsed.data;
    sendJson(response, 200, faults);
  } else if (path === '/standin/snapshot' && method === 'PUT') {
    savedValues = store.snapshot();
    sendJson(response, 200, { keys: savedValues.length });
  } else if (path === '/standin/restore' && method === 'PUT') {
    store.restore(savedValues);
    sendJson(response, 200, { keys: savedValues.length });
  } else if (path === '/standin/counts') {
    sendJson(response, 200, counts);
  } else {
    response.writeHead(404).end();
  }
}
