import { Agent, request } from 'node:http';
import type { IncomingHttpHeaders, IncomingMessage, RequestListener } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { InstanceId } from '@dotterelpass/values';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';
import { buildTable } from './workspaces.js';

const peerKey = 'peer-key';

interface Received {
  /** Values of all headers and trailers of these names. */
  readonly tenants: readonly string[];
  readonly authorizations: readonly string[];
  readonly mark: unknown;
  readonly trailers: NodeJS.Dict<string>;
}

interface Sent {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

interface SendOptions {
  readonly headers?: NodeJS.Dict<string>;
  readonly agent?: Agent;
  readonly method?: string;
  readonly path?: string;
  readonly body?: Buffer;
  readonly trailers?: Record<string, string>;
}

let beds: GatewayBed[];

let bed: GatewayBed;

/** What endpoints got, in order. */
let received: Received[];

beforeEach(() => {
  received = [];
  bed = new GatewayBed();
  beds = [bed];
});

afterEach(async () => {
  await Promise.all(beds.map((open) => open.close()));
});

function findValues(list: readonly string[], wanted: string): string[] {
  return list.filter((_, index) => list[index - 1]?.toLowerCase() === wanted && index % 2 === 1);
}

function recordRequest(incoming: IncomingMessage): void {
  const all = [...incoming.rawHeaders, ...incoming.rawTrailers];
  received.push({
    tenants: findValues(all, 'tenant-id'),
    authorizations: findValues(all, 'authorization'),
    mark: incoming.headers['dotterelpass-handed-over'],
    trailers: incoming.trailers,
  });
}

const serve: RequestListener = (incoming, response) => {
  incoming.resume().on('end', () => {
    recordRequest(incoming);
    response.end('ok');
  });
};

async function send(
  { port }: GatewayBed,
  { headers = {}, agent, method = 'GET', path = '/p', body, trailers }: SendOptions = {},
): Promise<Sent> {
  return new Promise((resolve, reject) => {
    const options = {
      port,
      path,
      method,
      agent: agent ?? false,
    };
    const outgoing = request({ ...options, headers: { Host: 'h', ...headers } }, (response) => {
      response.resume().on('end', () => {
        resolve({ status: response.statusCode ?? 0, headers: response.headers });
      });
    });
    outgoing.on('error', reject);
    if (trailers) outgoing.addTrailers(trailers);
    outgoing.end(body);
  });
}

const token = (key: string) => ({ Authorization: `Token ${key}` });

const findRefusalCause = () =>
  bed.lines.find(({ fields: { status } }) => status === 401)?.fields.cause;

describe('a call of a configuration with workspaces', () => {
  beforeEach(async () => {
    bed.workspaces = buildTable({ a: ['secret-a', 'secret-a2'], b: ['secret-b'] });
    bed.gateway.setPeers(peerKey, new Map());
    await bed.start(serve);
  });

  /**
   * Guards against callers who are served without a key or as another workspace, and against
   * endpoints that get a key.
   */
  it.each([
    { name: 'a key', headers: token('secret-a'), tenants: ['a'] },
    { name: 'a further key', headers: token('secret-a2'), tenants: ['a'] },
    { name: 'the key of another workspace', headers: token('secret-b'), tenants: ['b'] },
    {
      name: 'a key and a forged workspace',
      headers: { ...token('secret-a'), 'Tenant-Id': 'b' },
      tenants: ['a'],
    },
    {
      name: 'a key and a forged mark',
      headers: { ...token('secret-a'), 'Dotterelpass-Handed-Over': 'two 1 00 b' },
      tenants: ['a'],
    },
    {
      name: 'a key and a forged mark of a later configuration',
      headers: { ...token('secret-a'), 'Dotterelpass-Handed-Over': 'two 99' },
      tenants: ['a'],
    },
    {
      name: 'a key, on a public route',
      headers: token('secret-a'),
      isPublic: true,
      tenants: ['a'],
    },
    { name: 'no key, on a public route', headers: {}, isPublic: true, tenants: [] },
    {
      name: 'an unknown key, on a public route',
      headers: token('secret-x'),
      isPublic: true,
      tenants: [],
    },
    {
      name: 'malformed credentials, on a public route',
      headers: { Authorization: 'Basic secret-a' },
      isPublic: true,
      tenants: [],
    },
    {
      name: 'a forged workspace, on a public route',
      headers: { 'Tenant-Id': 'b' },
      isPublic: true,
      tenants: [],
    },
  ])('is served with $name as $tenants', async ({ headers, isPublic = false, tenants }) => {
    bed.setRoute({ isPublic });
    expect((await send(bed, { headers })).status).toBe(200);
    expect(received).toMatchObject([{ tenants, authorizations: [], mark: undefined }]);
    const line = bed.lines.find(({ event }) => event === 'request');
    expect(line?.fields.workspace).toBe(tenants[0]);
  });

  /** Guards against callers without a key who are served, or cannot tell that nothing has run. */
  it.each([
    { name: 'no key', headers: {}, cause: 'missing' },
    { name: 'only a name', headers: { 'Tenant-Id': 'a' }, cause: 'missing' },
    { name: 'an unknown key', headers: token('secret-x'), cause: 'unknown' },
    { name: 'part of a key', headers: token('secret-'), cause: 'unknown' },
    { name: 'the name as key', headers: token('a'), cause: 'unknown' },
    { name: 'another scheme', headers: { Authorization: 'Bearer secret-a' }, cause: 'malformed' },
    { name: 'no scheme', headers: { Authorization: 'secret-a' }, cause: 'malformed' },
    { name: 'a scheme only', headers: { Authorization: 'Token' }, cause: 'malformed' },
    { name: 'empty credentials', headers: { Authorization: '' }, cause: 'malformed' },
    {
      name: 'a forged mark',
      headers: { 'Dotterelpass-Handed-Over': 'two 1' },
      cause: 'missing',
    },
    {
      name: 'a forged mark with a workspace',
      headers: { 'Dotterelpass-Handed-Over': `two 1 ${'0'.repeat(64)} a` },
      cause: 'missing',
    },
    {
      name: 'a mark that cannot be decoded',
      headers: { 'Dotterelpass-Handed-Over': `two 1 ${'0'.repeat(64)} %` },
      cause: 'missing',
    },
    {
      name: 'a forged mark and an unknown key',
      headers: { ...token('secret-x'), 'Dotterelpass-Handed-Over': 'two 99 ab a' },
      cause: 'unknown',
    },
  ])('is refused with $name: $cause', async ({ headers, cause }) => {
    const sent = await send(bed, { headers });
    expect(sent.status).toBe(401);
    expect(sent.headers).toMatchObject({
      'x-request-outcome': 'not-run',
      'www-authenticate': 'Token',
    });
    expect(received).toEqual([]);
    expect(findRefusalCause()).toBe(cause);
    expect(await bed.metrics.readText()).toContain(`event="unidentified-${cause}"`);
  });

  /** Guards against a route that does not exist being told from one that asks for a key. */
  it('is refused with 404 without a route, with or without a key', async () => {
    bed.setRoute({ pathPrefix: '/other/' });
    expect((await send(bed)).status).toBe(404);
    expect((await send(bed, { headers: token('secret-a') })).status).toBe(404);
  });

  /** Guards against keys that are looked up once for a connection. */
  it.each([
    { name: 'withdrawn', tables: [{ a: ['k'] }, { a: [] }], statuses: [200, 401], tenants: ['a'] },
    { name: 'added', tables: [{ a: [] }, { a: ['k'] }], statuses: [401, 200], tenants: ['a'] },
    {
      name: 'moved to another workspace',
      tables: [
        { a: ['k'], b: [] },
        { a: [], b: ['k'] },
      ],
      statuses: [200, 200],
      tenants: ['a', 'b'],
    },
    {
      name: 'withdrawn and added again',
      tables: [{ a: ['k'] }, { a: ['l'] }, { a: ['l', 'k'] }],
      statuses: [200, 401, 200],
      tenants: ['a', 'a'],
    },
  ])('on a kept connection, when its key is $name', async ({ tables, statuses, tenants }) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const seen: number[] = [];
    for (const table of tables) {
      bed.workspaces = buildTable(table);
      bed.setRoute({});
      seen.push((await send(bed, { headers: token('k'), agent })).status);
    }
    expect(Object.values(agent.freeSockets).flat()).toHaveLength(1);
    agent.destroy();
    expect(seen).toEqual(statuses);
    expect(received.flatMap((each) => each.tenants)).toEqual(tenants);
  });

  /** Guards against an endpoint that takes a trailer of the caller for the workspace. */
  it.each([
    { name: 'buffered', length: 10 },
    { name: 'streamed', length: 300_000 },
  ])('forwards no credentials as trailers of a $name body', async ({ length }) => {
    const { status } = await send(bed, {
      method: 'POST',
      headers: { ...token('secret-a'), 'Transfer-Encoding': 'chunked', Trailer: 'x-check' },
      body: Buffer.alloc(length, 'x'),
      trailers: { 'Tenant-Id': 'b', 'X-Check': '1', Authorization: 'Token secret-b' },
    });
    expect(status).toBe(200);
    expect(received).toMatchObject([
      { tenants: ['a'], authorizations: [], trailers: { 'x-check': '1' } },
    ]);
  });

  /** Guards against calls of an urgent workspace that count as those of their route. */
  it('counts in the metrics by its workspace, with the priority of the workspace', async () => {
    bed.workspaces = buildTable({ a: ['secret-a'] }, 3);
    bed.setRoute({ priority: 1 });
    await send(bed, { headers: token('secret-a') });
    const text = await bed.metrics.readText();
    expect(text).toContain('dotterelpass_calls_total{service="a",tenant="a",class="once-3"');
    expect(text).not.toContain('class="once-1"');
  });

  /** Guards against keys in the places that operators and their programs read. */
  it('leaves its key in no log line, metric or status', async () => {
    for (const headers of [token('secret-a'), token('secret-x'), { Authorization: 'secret-b' }]) {
      await send(bed, { headers: { ...headers, id: 'c1' } });
    }
    const texts = [bed.lines, bed.gateway.readStatus(), bed.gateway.config, bed.gateway];
    const text =
      texts.map((value) => JSON.stringify(value)).join() + (await bed.metrics.readText());
    expect(bed.lines.length).toBeGreaterThan(2);
    expect(text).not.toContain('secret-');
  });
});

describe('the attempts of a call', () => {
  const shed: RequestListener = (incoming, response) => {
    recordRequest(incoming);
    incoming.resume();
    response.writeHead(503, { outcome: 'not-run' }).end();
  };
  const fail: RequestListener = (incoming, response) => {
    recordRequest(incoming);
    response.writeHead(500).end();
  };
  const serveLate: RequestListener = (incoming, response) => {
    recordRequest(incoming);
    setTimeout(() => response.end('ok'), 700);
  };

  /** Guards against a further attempt that carries the key, or no workspace. */
  it.each([
    { name: 'shed calls', handle: shed, route: {}, status: 503 },
    { name: 'failures', handle: fail, route: { repeat: 'idempotent' as const }, status: 500 },
    {
      name: 'late answers',
      handle: serveLate,
      route: { repeat: 'idempotent' as const, targetLatencyMs: 200 },
      status: 200,
    },
  ])('all carry the workspace and no key: $name', async ({ handle, route, status }) => {
    bed.workspaces = buildTable({ a: ['secret-a'] });
    await bed.start(handle, handle);
    bed.setRoute(route);
    const sent = await send(bed, { headers: { ...token('secret-a'), 'Tenant-Id': 'b' } });
    expect(sent.status).toBe(status);
    const attempt = { tenants: ['a'], authorizations: [] };
    expect(received).toMatchObject([attempt, attempt]);
  });
});

describe('without workspaces', () => {
  /** Guards against a change for those who use no keys. */
  it('a call is forwarded with its credentials, and a mark needs no signature', async () => {
    await bed.start(serve);
    const mark = { 'Dotterelpass-Handed-Over': 'two 1' };
    const headers = { ...token('secret-a'), 'Tenant-Id': 'b', ...mark };
    const trailers = { 'Tenant-Id': 'c' };
    const body = Buffer.from('x');
    const chunked = { 'Transfer-Encoding': 'chunked', Trailer: 'tenant-id' };
    const options = { method: 'POST', headers: { ...headers, ...chunked }, body, trailers };
    expect((await send(bed, options)).status).toBe(200);
    expect(received).toMatchObject([
      { tenants: ['b', 'c'], authorizations: ['Token secret-a'], mark: undefined },
    ]);
    const line = bed.lines.find(({ event }) => event === 'request');
    expect(line?.fields).toMatchObject({ handedOverBy: 'two' });
    expect(line?.fields).not.toHaveProperty('workspace');
  });

  it('a mark of a later configuration is refused', async () => {
    await bed.start(serve);
    const sent = await send(bed, { headers: { 'Dotterelpass-Handed-Over': 'two 99' } });
    expect(sent.status).toBe(503);
  });
});

describe('without a configuration', () => {
  /** Guards against callers who take their key for invalid while an instance starts. */
  it.each([{ headers: {} }, { headers: token('secret-a') }, { headers: { Authorization: 'x' } }])(
    'a call is refused with 503: $headers',
    async ({ headers }) => {
      bed.hasConfiguration = false;
      await bed.start(serve);
      const sent = await send(bed, { headers });
      expect(sent.status).toBe(503);
      expect(sent.headers['x-request-outcome']).toBe('not-run');
    },
  );
});

describe('a call that is handed over', () => {
  let second: GatewayBed;

  /** Starts two instances, of which only the second reaches its endpoint. */
  async function startBeds(): Promise<void> {
    second = new GatewayBed('two');
    beds.push(second);
    bed.workspaces = buildTable({ a: ['secret-a'], 'b c/ü': ['secret-b'] });
    second.workspaces = bed.workspaces;
    const unused = createServer();
    await new Promise<void>((resolve) => {
      unused.listen(0, '127.0.0.1', resolve);
    });
    await bed.startRaw((socket) => socket.destroy());
    const [registration] = bed.registrations;
    const { port } = unused.address() as AddressInfo;
    unused.close();
    bed.gateway.setRegistrations([{ ...registration, address: `127.0.0.1:${port}` } as never]);
    await second.start(serve);
    connectBeds(second.port);
  }

  function connectBeds(port: number): void {
    bed.gateway.setPeers(peerKey, new Map([['two' as InstanceId, `127.0.0.1:${port}`]]));
    second.gateway.setPeers(peerKey, new Map());
  }

  const keyA = { headers: { ...token('secret-a'), 'Tenant-Id': 'b' } };

  /** Guards against a call that loses or changes its workspace on another instance. */
  it.each([
    { name: 'the same keys', keys: { a: ['secret-a'] }, tenants: ['a'] },
    { name: 'its key withdrawn', keys: { a: [] }, tenants: ['a'] },
    { name: 'its key moved', keys: { a: [], b: ['secret-a'] }, tenants: ['a'] },
    { name: 'its workspace removed', keys: { b: ['secret-a'] }, tenants: ['a'] },
  ])('keeps its workspace on an instance with $name', async ({ keys, tenants }) => {
    await startBeds();
    second.workspaces = buildTable(keys as never);
    second.setRoute({});
    expect((await send(bed, keyA)).status).toBe(200);
    expect(received).toMatchObject([{ tenants, authorizations: [], mark: undefined }]);
    const line = second.lines.find(({ event }) => event === 'request');
    expect(line?.fields).toMatchObject({ handedOverBy: 'one', workspace: 'a' });
  });

  it('keeps a workspace whose name no header value could hold unencoded', async () => {
    await startBeds();
    expect((await send(bed, { headers: token('secret-b') })).status).toBe(200);
    const line = second.lines.find(({ fields }) => fields.handedOverBy === 'one');
    expect(line?.fields.workspace).toBe('b c/ü');
  });

  it('stays anonymous on a public route', async () => {
    await startBeds();
    [bed, second].forEach((each) => each.setRoute({ isPublic: true }));
    expect((await send(bed, { headers: { 'Tenant-Id': 'b' } })).status).toBe(200);
    expect(received).toMatchObject([{ tenants: [], authorizations: [] }]);
  });

  /** Guards against a signature over parts that change on the way to the other instance. */
  it.each([
    { name: 'a request id', options: { headers: { id: 'r1' } } },
    { name: 'a query and an encoded path', options: { path: '/p%20q/%C3%BC?a=%2F&b' } },
    { name: 'a port in the host', options: { headers: { Host: 'H:80' } } },
    { name: 'a short body', options: { method: 'POST', body: Buffer.from('x') } },
    { name: 'a streamed body', options: { method: 'POST', body: Buffer.alloc(300_000, 'x') } },
  ])('is accepted with $name', async ({ options }) => {
    await startBeds();
    // A streamed body is handed over only once the endpoints are known to be out of reach.
    await send(bed, keyA);
    const headers = { ...token('secret-a'), ...options.headers };
    expect((await send(bed, { ...options, headers })).status).toBe(200);
    const attempt = { tenants: ['a'], authorizations: [] };
    expect(received).toMatchObject([attempt, attempt]);
  });

  /** Guards against calls of instances that are not of this fleet. */
  it('is refused by an instance with another peer key, and follows a change of the key', async () => {
    await startBeds();
    second.gateway.setPeers('other', new Map());
    const refused = await send(bed, keyA);
    expect(refused.status).toBe(503);
    expect(refused.headers['x-request-outcome']).toBe('not-run');
    expect(received).toEqual([]);
    expect(await second.metrics.readText()).toContain('event="handover-unverified"');
    bed.gateway.setPeers('other', new Map([['two' as InstanceId, `127.0.0.1:${second.port}`]]));
    await new Promise((resolve) => {
      setTimeout(resolve, 600);
    });
    expect((await send(bed, keyA)).status).toBe(200);
  });

  /** Guards against keys between instances. */
  it('carries no key', async () => {
    await startBeds();
    let text = '';
    const peer = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
      });
    });
    await new Promise<void>((resolve) => {
      peer.listen(0, '127.0.0.1', resolve);
    });
    connectBeds((peer.address() as AddressInfo).port);
    expect((await send(bed, keyA)).status).toBe(200);
    peer.close();
    expect(text).toMatch(/dotterelpass-handed-over: one 1 [0-9a-f]{64} a\r\n/);
    expect(text.toLowerCase()).not.toMatch(/secret-|authorization|tenant-id|peer-key/);
  });

  /** Guards against a change for those who use no keys. */
  it('carries the credentials of its caller, and no signature, without workspaces', async () => {
    await startBeds();
    [bed, second].forEach((each) => {
      Object.assign(each, { workspaces: undefined });
      each.setRoute({});
    });
    second.gateway.setPeers('other', new Map());
    expect((await send(bed, keyA)).status).toBe(200);
    expect(received).toMatchObject([{ tenants: ['b'], authorizations: ['Token secret-a'] }]);
  });
});
