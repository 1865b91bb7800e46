import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { LedgerLine } from '@dotterelpass/standins';
import type { Service } from '@dotterelpass/values';
import { Cluster, call, findPort, runProgram, waitFor } from './cluster.js';
import type { ProgramResult, RunningProgram } from './cluster.js';
import { makeService } from './deployment.js';
import type { Deployment, ServiceSize } from './deployment.js';

export interface FleetOptions {
  readonly deployment: Deployment;
  /** Number of entry instances. */
  readonly entries?: number;
  /** Services to start; all services of the deployment when absent. */
  readonly services?: readonly string[];
  /** Routes calls to endpoints through a fault proxy that adds the delay between failure domains. */
  readonly delays?: boolean;
  readonly entryFlags?: Readonly<Record<string, string | number>>;
  readonly endpointFlags?: Readonly<Record<string, string | number>>;
  readonly platformFlags?: Readonly<Record<string, string | number>>;
  /** Overrides fields of each service's rule. */
  readonly rule?: Readonly<Record<string, unknown>>;
  /** Changes the configuration of a service before it is stored. */
  readonly adaptService?: (service: Service) => Service;
}

/** One entry instance of a fleet. */
export interface EntryProcess {
  readonly name: string;
  readonly failureDomain: string;
  readonly callerPort: number;
  readonly operatorPort: number;
  readonly peerPort: number;
  readonly flags: Readonly<Record<string, string | number>>;
  readonly program: RunningProgram;
}

/**
 * One endpoint of a fleet. The endpoint listens on `port`; `address` is that of its fault proxy
 * route when the fleet has one.
 */
export interface EndpointProcess {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly port: number;
  readonly address: string;
  readonly program: RunningProgram;
}

/** Operator token of all benchmark fleets. */
export const operatorToken = 'operator token of the bench';

const peerKey = 'shared key of the bench';
const startTimeoutMs = 20_000;

/** A platform, endpoints and entry instances, each in a process of its own. */
export class Fleet {
  readonly cluster = new Cluster();

  readonly platformPort: number;

  readonly #options: FleetOptions;

  #entries: readonly EntryProcess[] = [];

  #endpoints: readonly EndpointProcess[] = [];

  #proxyPort = 0;

  /** Temporary directory of the ledger file to which all endpoints append. */
  #directory = '';

  private constructor(options: FleetOptions, platformPort: number) {
    this.#options = options;
    this.platformPort = platformPort;
  }

  /**
   * Starts a fleet and waits until every entry instance is ready.
   *
   * @param options - Sizes and settings.
   * @returns The running fleet. The caller must call `close`.
   */
  static async open(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options, await findPort());
    try {
      await fleet.#start();
    } catch (error) {
      await fleet.close();
      throw error;
    }
    return fleet;
  }

  get entries(): readonly EntryProcess[] {
    return this.#entries;
  }

  get endpoints(): readonly EndpointProcess[] {
    return this.#endpoints;
  }

  /** Addresses on which the entry instances accept calls. */
  get targets(): string[] {
    return this.#entries.map(({ callerPort }) => `127.0.0.1:${callerPort}`);
  }

  /** @returns Endpoints of one service. */
  findEndpoints(service: string): readonly EndpointProcess[] {
    return this.#endpoints.filter((endpoint) => endpoint.service === service);
  }

  /** Stores the first configuration of a service, as revision 1. */
  async storeService(service: Service): Promise<void> {
    const body = JSON.stringify({ revision: 1, service, history: [] });
    const path = `/v1/kv/config/services/${service.name}?cas=0`;
    const reply = await call(this.platformPort, path, { method: 'PUT', body });
    if (reply.status !== 200) throw new Error(`the platform refused service ${service.name}`);
  }

  /** Replaces the faults of an endpoint; absent faults are turned off. */
  async setEndpointFaults(
    endpoint: EndpointProcess,
    faults: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    await putFaults(endpoint.port, '/standin/faults', faults);
  }

  /** Replaces the faults of the platform; absent faults are turned off. */
  async setPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await putFaults(this.platformPort, '/standin/faults', faults);
  }

  /**
   * Replaces the faults of the fault proxy route to an endpoint. Needs the option `delays`.
   *
   * @param name - Name of the endpoint, or `*` for all routes.
   * @param faults - Faults to set; absent faults are turned off.
   */
  async setPathFaults(name: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
    await putFaults(this.#proxyPort, `/standin/faults/${encodeURIComponent(name)}`, faults);
  }

  /** Stops an entry instance and starts a new process with the same settings. */
  async restartEntry(index: number, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    const old = this.#entries[index];
    if (!old) throw new RangeError(`the fleet has no entry instance ${index}`);
    await old.program.end(signal);
    const program = await this.cluster.start('entry', old.flags);
    const entry = { ...old, program };
    this.#entries = this.#entries.map((each) => (each === old ? entry : each));
  }

  /** Waits until the readiness check of an entry instance succeeds. */
  async waitUntilReady(entry: EntryProcess): Promise<void> {
    await waitFor(
      async () =>
        (await call(entry.operatorPort, '/readyz').catch(() => undefined))?.status === 200,
      startTimeoutMs,
      `${entry.name} is not ready`,
    );
  }

  /** @returns Every run of a request on every endpoint, including endpoints that have exited. */
  async readLedger(): Promise<readonly LedgerLine[]> {
    const texts = (await readFile(this.#ledgerPath, 'utf8')).split('\n').filter(Boolean);
    return texts.map((text) => JSON.parse(text) as LedgerLine);
  }

  /**
   * Runs a statement of the command language with `dotterelpassctl`.
   *
   * @param statement - Query or command.
   * @param flags - Further flags, such as `--wait`.
   * @returns Exit code and output of the program.
   */
  async runStatement(statement: string, ...flags: readonly string[]): Promise<ProgramResult> {
    const operators = this.#entries.map(({ operatorPort }) => `127.0.0.1:${operatorPort}`);
    return runProgram('ctl', [
      ...['--operators', operators.join(',')],
      ...['--operator-token', operatorToken],
      ...['--author', 'bench'],
      ...flags,
      statement,
    ]);
  }

  /** @returns Number of started runs per key over all endpoints, including those that have exited. */
  async countRuns(): Promise<ReadonlyMap<string, number>> {
    const counts = new Map<string, number>();
    for (const { key } of await this.readLedger()) {
      if (key !== '') counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
  }

  /** Kills all processes and deletes the ledger. */
  async close(): Promise<void> {
    await this.cluster.close();
    await rm(this.#directory, { recursive: true, force: true });
  }

  get #ledgerPath(): string {
    return join(this.#directory, 'ledger.jsonl');
  }

  async #start(): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), 'dotterelpass-'));
    await writeFile(this.#ledgerPath, '');
    const { deployment, services } = this.#options;
    const sizes = deployment.services.filter(({ name }) => services?.includes(name) ?? true);
    await this.cluster.start('platform', {
      listen: `127.0.0.1:${this.platformPort}`,
      ...this.#options.platformFlags,
    });
    await Promise.all(sizes.map((size) => this.#startEndpoints(size)));
    if (this.#options.delays) await this.#startProxy();
    for (const size of sizes) {
      const addresses = this.findEndpoints(size.name).map(({ address }) => address);
      const { rule, adaptService } = this.#options;
      const service = makeService(size, deployment.failureDomains, addresses, rule);
      await this.storeService(adaptService ? adaptService(service) : service);
    }
    await this.#startEntries();
  }

  async #startEndpoints({ name, endpointCount }: ServiceSize): Promise<void> {
    const { failureDomains } = this.#options.deployment;
    const started = await Promise.all(
      Array.from({ length: endpointCount }, async (_, index) => {
        const port = await findPort();
        const id = `${name}-${index + 1}`;
        const program = await this.cluster.start('endpoint', {
          listen: `127.0.0.1:${port}`,
          name: id,
          ledger: this.#ledgerPath,
          ...this.#options.endpointFlags,
        });
        const failureDomain = failureDomains[index % failureDomains.length] as string;
        const address = `127.0.0.1:${port}`;
        return { name: id, service: name, failureDomain, port, address, program };
      }),
    );
    this.#endpoints = [...this.#endpoints, ...started];
  }

  /** Starts a fault proxy with one route per endpoint. */
  async #startProxy(): Promise<void> {
    this.#proxyPort = await findPort();
    this.#endpoints = await Promise.all(
      this.#endpoints.map(async (endpoint) => ({
        ...endpoint,
        address: `127.0.0.1:${await findPort()}`,
      })),
    );
    const routes = this.#endpoints.map(
      ({ name, address, port }) => `${name}=${address}>127.0.0.1:${port}`,
    );
    await this.cluster.start('faultproxy', {
      control: `127.0.0.1:${this.#proxyPort}`,
      routes: routes.join(','),
    });
    await this.setPathFaults('*', { delayMs: this.#options.deployment.betweenDomainsMs });
  }

  async #startEntries(): Promise<void> {
    const { deployment, entries = 5, entryFlags } = this.#options;
    const planned = await Promise.all(
      Array.from({ length: entries }, async (_, index) => ({
        name: `entry-${index + 1}`,
        failureDomain: deployment.failureDomains[
          index % deployment.failureDomains.length
        ] as string,
        callerPort: await findPort(),
        operatorPort: await findPort(),
        peerPort: await findPort(),
      })),
    );
    const peers = planned.map(({ name, peerPort }) => `${name}=127.0.0.1:${peerPort}`);
    this.#entries = await Promise.all(
      planned.map(async (entry, index) => {
        const otherPeers = peers.filter((_, peer) => peer !== index).join(',');
        const { name, ...ports } = entry;
        const flags = {
          instance: name,
          ...ports,
          platform: `127.0.0.1:${this.platformPort}`,
          peerKey,
          operatorToken,
          ...(otherPeers ? { peers: otherPeers } : {}),
          ...entryFlags,
        };
        return { ...entry, flags, program: await this.cluster.start('entry', flags) };
      }),
    );
    await Promise.all(this.#entries.map((entry) => this.waitUntilReady(entry)));
  }
}

async function putFaults(
  port: number,
  path: string,
  faults: Readonly<Record<string, unknown>>,
): Promise<void> {
  const reply = await call(port, path, { method: 'PUT', body: JSON.stringify(faults) });
  if (reply.status !== 200)
    throw new Error(`the stand-in refused the faults: ${reply.body.toString()}`);
}
