import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { spawn } from 'node:child_process';
import {
  createWriteStream,
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { URL, fileURLToPath } from 'node:url';
import { Store } from './store.js';
import { Worker } from './worker.js';

/** Bounds of the site quispe-arbitrios, with which the machines are started. */
export const bounds = {
  contact_s: 3,
  drain_s: 2,
  grace_s: 6,
  loss_slack_s: 0.2,
  config_apply_s: 2,
  recovery_s: 15,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_budget_slack: 58,
  probes_per_s: 60,
};

export const graceMs = bounds.grace_s * 1000;

/** Time between the end of a process and its next start. */
const restartDelayMs = 300;

const startTimeoutMs = 15_000;

const readinessIntervalMs = 1000;

/** Readiness checks in a row without a 200 after which a machine gets no new channel. */
const missesToLeave = 2;

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Exit code of a script that could not run its case. */
export const couldNotRun = 2;

export async function sleep(ms) {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Reads the run command and the environment of the gateway from the deploy file. */
function readDeployFile() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const run = /^run = "([^"]*)"/m.exec(text)?.[1].split(' ');
  const env = Object.fromEntries(
    [...(/^env = \{(.*)\}/m.exec(text)?.[1] ?? '').matchAll(/(\w+) = "([^"]*)"/g)].map((found) =>
      found.slice(1),
    ),
  );
  return { run, env };
}

/** A machine that runs the gateway, at a loopback address of its own. */
export class Machine {
  #directory;

  #deploy;

  #child;

  #misses = missesToLeave;

  #exits = [];

  /** Number of the present lifetime of its process. */
  lifetime = 0;

  /** Monotonic times of the SIGTERMs and of the ends of its processes, in milliseconds. */
  terms = [];

  ends = [];

  constructor({ name, zone, ip, ports, directory, deploy, storeAddress }) {
    this.name = name;
    this.zone = zone;
    this.ip = ip;
    this.ports = ports;
    this.#directory = directory;
    this.#deploy = deploy;
    const settings = {
      node_name: name,
      role: 'gateway',
      machine_class: 'edge',
      serves: 'edge',
      ip,
      zone,
      region: 'arequipa',
      'listen.frontend': `${ip}:${ports.frontend}`,
      'listen.readiness': `${ip}:${ports.readiness}`,
      internal_ports: `${ports.internal},${ports.internal}`,
      bootstrap: 'true',
      heartbeat_s: '1.5',
      bounds: Object.entries(bounds)
        .map((entry) => entry.join('='))
        .join(','),
      'platform.address': storeAddress,
      'platform.form': 'kv',
      'platform.writes_per_s': '400',
      'platform.reads_per_s': '2000',
      'platform.history_s': '20',
      'platform.value_bytes': '1048576',
      'platform.ttl_min_s': '1',
    };
    const lines = Object.entries(settings).map((entry) => entry.join('='));
    writeFileSync(this.#settingsPath, `${lines.join('\n')}\n`);
  }

  get #settingsPath() {
    return join(this.#directory, `${this.name}.conf`);
  }

  /** Whether the platform forwards new channels to the machine. */
  get isInRotation() {
    return this.#misses < missesToLeave;
  }

  get isRunning() {
    return this.#child !== undefined;
  }

  /** Ends of processes that the script has not caused. */
  get unexpectedExits() {
    return this.#exits;
  }

  start() {
    this.lifetime += 1;
    const [program, ...words] = this.#deploy.run;
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        ...this.#deploy.env,
        DOTTERELPASS_OPERATOR_PORT: String(this.ports.operator),
        DOTTERELPASS_CONFIG: this.#settingsPath,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.#directory, `${this.name}-${this.lifetime}.log`));
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => {
      log.end();
      this.ends.push(performance.now());
      if (this.#child !== child) return;
      this.#child = undefined;
      this.#exits.push(`${this.name}: ${code ?? signal}`);
    });
    this.#child = child;
  }

  /** Sends a signal, if the process runs. */
  signal(name) {
    if (!this.#child) return;
    if (name === 'SIGTERM') this.terms.push(performance.now());
    this.#child.kill(name);
  }

  /** Waits for the end of the process, which the script has asked for. */
  async waitForEnd() {
    const child = this.#child;
    if (!child) return;
    this.#child = undefined;
    if (child.exitCode !== null || child.signalCode !== null) return;
    await new Promise((resolve) => {
      child.once('exit', resolve);
    });
  }

  /** Stops the process as the platform does: SIGTERM, and SIGKILL after `grace_s`. */
  async stop({ extraTermsAfterMs = [] } = {}) {
    const child = this.#child;
    if (!child) return;
    const timers = extraTermsAfterMs.map((ms) =>
      setTimeout(() => {
        this.terms.push(performance.now());
        child.kill('SIGTERM');
      }, ms),
    );
    timers.push(setTimeout(() => child.kill('SIGKILL'), graceMs));
    this.signal('SIGTERM');
    await this.waitForEnd();
    timers.forEach((timer) => clearTimeout(timer));
  }

  async kill() {
    this.#child?.kill('SIGKILL');
    await this.waitForEnd();
  }

  async restart(options) {
    await this.stop(options);
    await sleep(restartDelayMs);
    this.start();
  }

  async checkReadiness() {
    const isReady = await new Promise((resolve) => {
      const check = get(
        {
          host: this.ip,
          port: this.ports.readiness,
          path: '/-/readyz',
          agent: false,
          timeout: 500,
        },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      check.on('timeout', () => check.destroy());
      check.on('error', () => resolve(false));
    });
    this.#misses = isReady ? 0 : this.#misses + 1;
    return isReady;
  }
}

/** The store, workers and machines of a small deployment, as one script starts them. */
export class Deployment {
  store = new Store();

  workers = [];

  machines = [];

  /** All requests that began to run, in order. */
  runs = [];

  /** All requests that requesters have sent, in the order of their ends. */
  attempts = [];

  #directory = mkdtempSync(join(tmpdir(), 'dotterelpass-review-'));

  #deploy = readDeployFile();

  #readinessTimer;

  #ports;

  #lastHost = 10;

  /** A loopback network of its own, so that scripts may run side by side. */
  #network = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;

  static async open() {
    const deployment = new Deployment();
    if (!existsSync(join(root, 'target/gateway.cjs'))) {
      throw new Error('target/gateway.cjs is missing: run the build of the deploy file first');
    }
    await deployment.store.listen('127.0.0.1');
    deployment.#ports = await findPorts(['frontend', 'readiness', 'internal', 'operator']);
    return deployment;
  }

  /** Writes a configuration; each route has its own service unless it names one. */
  configure(version, routes, limits = {}) {
    const services = [...new Set(routes.map(({ service }) => service))];
    const resources = [
      ...routes.map(({ name, ...spec }) => ({
        resource_type: 'routes',
        metadata: { name },
        spec: { max_attempts: 2, priority: 0, ...spec },
      })),
      ...services.map((name) => ({
        resource_type: 'services',
        metadata: { name },
        spec: { health_check_path: '/healthz', max_connections: 220, protocol: 'h1', tls: false },
      })),
      {
        resource_type: 'limits',
        metadata: {},
        spec: {
          max_header_bytes: 16_384,
          max_body_bytes: 67_108_864,
          header_timeout_s: 3,
          idle_timeout_s: 15,
          ...limits,
        },
      },
    ];
    this.store.put('op/config', { version, resources });
  }

  async addWorker(options) {
    const worker = new Worker({
      store: this.store,
      ip: '127.0.0.1',
      slots: 3,
      onRun: (run) => this.runs.push(run),
      ...options,
      name: `${options.service}-${this.workers.length + 1}`,
    });
    this.workers.push(worker);
    await worker.start();
    return worker;
  }

  /** Starts one machine in each of the zones named, and waits until all are ready. */
  async startMachines(zones) {
    zones.forEach((zone) => {
      const count = this.machines.filter((machine) => machine.zone === zone).length;
      this.#lastHost += 1;
      const machine = new Machine({
        name: `edge-${zone}-${count + 1}`,
        zone,
        ip: `${this.#network}.${this.#lastHost}`,
        ports: this.#ports,
        directory: this.#directory,
        deploy: this.#deploy,
        storeAddress: this.store.address,
      });
      this.machines.push(machine);
      machine.start();
    });
    await this.waitUntilReady();
    this.#readinessTimer = setInterval(() => {
      this.machines.forEach((machine) => {
        void machine.checkReadiness();
      });
    }, readinessIntervalMs);
  }

  async waitUntilReady() {
    const endAt = performance.now() + startTimeoutMs;
    for (;;) {
      const ready = await Promise.all(this.machines.map((machine) => machine.checkReadiness()));
      if (ready.every(Boolean)) return;
      if (performance.now() > endAt) {
        const states = this.machines.map(({ name, unexpectedExits: exits }, index) =>
          [name, ready[index] ? 'ready' : 'not ready', ...exits].join(' '),
        );
        throw new Error(`the machines are not ready in time: ${states.join(', ')}`);
      }
      await sleep(100);
    }
  }

  /** The machine to which the platform forwards a new channel; a hash would do as well. */
  pickMachine(index) {
    const inRotation = this.machines.filter((machine) => machine.isInRotation);
    const usable = inRotation.length > 0 ? inRotation : this.machines;
    return usable[index % usable.length];
  }

  /** Ends everything that the script has started. */
  async close() {
    clearInterval(this.#readinessTimer);
    await Promise.all(this.machines.map((machine) => machine.kill()));
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    if (process.env.KEEP_LOGS !== '1') rmSync(this.#directory, { recursive: true, force: true });
    else process.stdout.write(`logs: ${this.#directory}\n`);
  }
}

/** Finds free ports, the same on all machines, below the range of ephemeral ports. */
async function findPorts(names) {
  const first = 12_000 + Math.floor(Math.random() * 15_000);
  const ports = {};
  let port = first;
  for (const name of names) {
    while (!(await isFree(port))) port += 1;
    ports[name] = port;
    port += 1;
  }
  return ports;
}

async function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '0.0.0.0', () => server.close(() => resolve(true)));
  });
}
