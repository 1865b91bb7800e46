import { Cluster, call, findPort, waitFor } from '../src/cluster.js';
import type { RunningProgram } from '../src/cluster.js';

/** One entry instance of a test. */
export interface Entry {
  readonly name: string;
  readonly callerPort: number;
  readonly operatorPort: number;
  readonly flags: Readonly<Record<string, string | number>>;
  readonly program: RunningProgram;
}

const timeoutMs = 15_000;

/**
 * Five entry instances, an endpoint and a platform. The entry instances reach each other through a
 * fault proxy, and the last of them also reaches the platform through this proxy.
 */
export class EntryFleet {
  readonly cluster = new Cluster();

  entries: readonly Entry[] = [];

  platformPort = 0;

  endpointPort = 0;

  #proxyPort = 0;

  async open(flags: Readonly<Record<string, string | number>> = {}): Promise<void> {
    this.platformPort = await findPort();
    this.endpointPort = await findPort();
    this.#proxyPort = await findPort();
    const proxiedPlatformPort = await findPort();
    await this.cluster.start('platform', { listen: `127.0.0.1:${this.platformPort}` });
    await this.cluster.start('endpoint', {
      listen: `127.0.0.1:${this.endpointPort}`,
      name: 'status-1',
      slots: 64,
    });
    await this.storeRevision(1);
    const planned = await Promise.all(
      [1, 2, 3, 4, 5].map(async (n) => ({
        name: `entry-${n}`,
        callerPort: await findPort(),
        operatorPort: await findPort(),
        peerPort: await findPort(),
        peerAddress: `127.0.0.1:${await findPort()}`,
      })),
    );
    const routes = planned.map((e) => `${e.name}=${e.peerAddress}>127.0.0.1:${e.peerPort}`);
    await this.cluster.start('faultproxy', {
      control: `127.0.0.1:${this.#proxyPort}`,
      routes: [
        ...routes,
        `watch=127.0.0.1:${proxiedPlatformPort}>127.0.0.1:${this.platformPort}`,
      ].join(','),
    });
    const seeds = planned.slice(0, 3).map((e) => `${e.name}=${e.peerAddress}`);
    this.entries = await Promise.all(
      planned.map(async ({ name, ...addresses }, index) => {
        const allFlags = {
          instance: name,
          failureDomain: 'cercado',
          peerKey: 'a shared key of tests',
          peers: seeds.join(','),
          platform: `127.0.0.1:${index === 4 ? proxiedPlatformPort : this.platformPort}`,
          ...addresses,
          ...flags,
        };
        return {
          name,
          ...addresses,
          flags: allFlags,
          program: await this.cluster.start('entry', allFlags),
        };
      }),
    );
    await this.waitUntilReady(this.entries);
  }

  /** Stores a revision of the service on the platform. Revisions differ in the queue limit. */
  async storeRevision(revision: number): Promise<void> {
    const path = '/v1/kv/config/services/status';
    const stored = await call(this.platformPort, path);
    const previous = stored.status === 200 ? JSON.parse(stored.body.toString()) : [];
    const endpoint = {
      id: 'status-1',
      address: `127.0.0.1:${this.endpointPort}`,
      failureDomain: 'cercado',
      slots: 64,
    };
    const service = {
      name: 'status',
      routes: [{ pathPrefix: '/status' }],
      endpoints: [endpoint],
      limits: { queue: 100 + revision },
    };
    const history = Array.from({ length: revision }, (_, n) => ({
      commandId: `c${n + 1}`,
      author: 'test',
      atMs: n,
      text: 'limits',
      revision: n + 1,
    }));
    await call(this.platformPort, `${path}?cas=${previous[0]?.ModifyIndex ?? 0}`, {
      method: 'PUT',
      body: JSON.stringify({ revision, service, history }),
    });
  }

  async setPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await call(this.platformPort, '/standin/faults', {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
  }

  /** Replaces the faults of a proxy route; absent faults are turned off. */
  async setRouteFaults(route: string, faults: Readonly<Record<string, unknown>>): Promise<void> {
    const path = `/standin/faults/${encodeURIComponent(route)}`;
    await call(this.#proxyPort, path, { method: 'PUT', body: JSON.stringify(faults) });
  }

  async restart(entry: Entry, signal: NodeJS.Signals): Promise<number | null> {
    const code = await entry.program.end(signal);
    await this.start(entry);
    return code;
  }

  /** Starts a new process with the settings of an instance that has exited. */
  async start(stopped: Entry): Promise<void> {
    const program = await this.cluster.start('entry', stopped.flags);
    this.entries = this.entries.map((each) =>
      each.name === stopped.name ? { ...each, program } : each,
    );
  }

  async isReady(entry: Entry): Promise<boolean> {
    const reply = await call(entry.operatorPort, '/readyz').catch(() => undefined);
    return reply?.status === 200;
  }

  async waitUntilReady(entries: readonly Entry[]): Promise<void> {
    const check = async () =>
      (await Promise.all(entries.map((entry) => this.isReady(entry)))).every(Boolean);
    await waitFor(check, timeoutMs, 'not all entry instances are ready');
  }

  /** Waits until the metric `members_live` has the given value on each of the instances. */
  async waitForLive(entries: readonly Entry[], count: number): Promise<void> {
    const check = async () => {
      const counts = await Promise.all(
        entries.map(({ operatorPort }) => readGauge(operatorPort, 'members_live')),
      );
      return counts.every((each) => each === count);
    };
    await waitFor(check, timeoutMs, `not all entry instances count ${count} live members`);
  }

  /** Waits until a revision is in force on all of the instances. */
  async waitForRevision(entries: readonly Entry[], revision: number): Promise<void> {
    const check = () => entries.every((entry) => listRevisions(entry).at(-1) === revision);
    await waitFor(check, timeoutMs, `revision ${revision} is not in force on all entry instances`);
  }
}

/** @returns Revisions that have come into force on an instance since its start, in order. */
export function listRevisions({ program }: Entry): number[] {
  return readEvents(program, 'config-in-force').map(({ revision }) => Number(revision));
}

/** @returns Parsed log lines of one event, without a last line that is still incomplete. */
export function readEvents(program: RunningProgram, event: string): Record<string, unknown>[] {
  return program
    .readOutput()
    .split('\n')
    .filter((line) => line.includes(`"event":"${event}"`) && line.endsWith('}'))
    .map((line) => JSON.parse(line) as Record<string, unknown>);
}

async function readGauge(operatorPort: number, name: string): Promise<number | undefined> {
  const reply = await call(operatorPort, '/metrics').catch(() => undefined);
  const line = new RegExp(`^dotterelpass_${name}\\{.*\\} (\\d+)`, 'm').exec(
    reply?.body.toString() ?? '',
  );
  return line ? Number(line[1]) : undefined;
}
