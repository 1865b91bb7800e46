/* global process, performance, setTimeout */
/** What the scripts have in common: a small deployment, the record, the exit code, the end. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Deployment, buildConfig } from './deployment.js';
import { Store } from './store.js';
import { Worker } from './worker.js';

/** Limit of the whole script, below the 120 s that it may run. */
const limitMs = 110_000;

const exitCodes = { held: 0, broken: 1, notRun: 2 };

/** Whether the disruption happens; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

export const host = 'app.example';

/** Builds a route of service `a`; its prefix is its name. */
export const buildRoute = (name, spec) => ({
  name,
  hostname: host,
  prefix: `/${name}/`,
  type: 'safe',
  service: 'a',
  timeout_s: 2,
  target_latency_s: 0.3,
  priority: 0,
  max_attempts: 2,
  ...spec,
});

/** A store, a configuration, workers of service `a` and machines. */
export class Bed {
  store = new Store();

  workers = [];

  /** @param options - `routes`, `workers` (their number), `worker` (their options), `deployment`. */
  constructor(options) {
    this.options = options;
  }

  async start() {
    const { routes, workers, worker, deployment, tenants } = this.options;
    await this.store.listen();
    const services = [{ name: 'a', health_check_path: '/healthz', max_connections: 220 }];
    this.store.put('op/config', buildConfig(10, { routes, services, tenants }));
    for (let index = 0; index < workers; index++) {
      const started = new Worker(this.store, { id: `i-${index + 1}`, service: 'a', ...worker });
      this.workers.push(started);
      await started.start();
    }
    this.deployment = new Deployment(this.store, deployment);
    await this.deployment.start();
  }

  get nodes() {
    return this.deployment.nodes;
  }

  /** The runs of a request by its id, and its arrivals. */
  findRuns(id) {
    return this.workers.flatMap(({ runs }) => runs.filter((run) => run.id === id));
  }

  findArrivals(id) {
    return this.workers.flatMap(({ arrivals }) => arrivals.filter((each) => each.id === id));
  }

  async stop() {
    await this.deployment?.stop();
    this.workers.forEach((worker) => worker.stop());
    this.store.close();
  }
}

/**
 * Runs a case and ends the process with its exit code.
 *
 * @param directory - Folder of the case.
 * @param options - Options of the bed.
 * @param play - Plays the case on the bed; gets a function that writes a line of the record, and
 * returns whether the rule was broken.
 */
export async function runCase(directory, options, play) {
  const bed = new Bed(options);
  const lines = [];
  const startedAt = performance.now();
  const record = (text) =>
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`);
  const finish = async (outcome) => {
    record(`trouble: ${hasTrouble ? 'yes' : 'no'}; ${outcome}`);
    writeFileSync(join(directory, 'record.txt'), `${lines.join('\n')}\n`);
    process.stdout.write(`${lines.at(-1)}\n`);
    await bed.stop();
    process.exit(exitCodes[outcome]);
  };
  setTimeout(() => {
    record('the time limit of the script has passed');
    finish('notRun');
  }, limitMs).unref();
  process.on('uncaughtException', (error) => {
    record(`the case could not run: ${error.message}`);
    finish('notRun');
  });
  process.on('SIGTERM', () => finish('notRun'));
  process.on('SIGINT', () => finish('notRun'));
  try {
    await bed.start();
    await finish((await play(bed, record)) ? 'broken' : 'held');
  } catch (error) {
    record(`the case could not run: ${error.message}`);
    await finish('notRun');
  }
}
