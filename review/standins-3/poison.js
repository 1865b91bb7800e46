import { Buffer } from 'node:buffer';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { Bed, buildConfiguration, buildRoute, service } from './bed.js';

/** Bound of BUDGET: retries later than `contact_s` after the third crash. */
const maxLateRetries = 3;
const contactMs = 3000;

const poisonPath = '/look/report';
const scanPath = '/scan/page';

/** A scan that is uploaded over a slow link: 300 KB in half a second. */
const scan = { bytes: 300_000, pieceBytes: 15_000, pieceMs: 25 };

const configuration = buildConfiguration([
  buildRoute({ name: 'r-look', prefix: '/look/', type: 'safe', priority: 2 }),
  buildRoute({ name: 'r-pay', prefix: '/pay/', type: 'unsafe', priority: 1 }),
  buildRoute({ name: 'r-scan', prefix: '/scan/', type: 'upload', priority: 3, timeoutS: 3.2 }),
]);

/**
 * Five gateways and sixteen workers, one request that may crash workers, and payments that run on the
 * same workers.
 */
export class PoisonBed extends Bed {
  #findEffect = () => undefined;

  /** Runs of the request that have crashed a worker, with the ids of the requester's attempts. */
  crashes = [];

  #payments = { answered: 0, refused: 0, lost: 0 };

  #timer;

  async start5() {
    await this.open();
    this.store.put('op/config', configuration);
    await this.addWorkers(16, this.workerOptions);
    await this.startAll();
    // Traffic starts some seconds after the machines do.
    await sleep(8000);
  }

  /** @param findEffect - How the request crashes a worker: see `Worker`; undefined if it does not. */
  setEffect(findEffect) {
    this.#findEffect = findEffect;
  }

  get workerOptions() {
    const onRun = ({ worker, id, request }) => {
      if (request.url !== poisonPath && request.url !== scanPath) return undefined;
      const effect = this.#findEffect(worker);
      if (effect) this.crashes.push({ id, at: this.now });
      this.record(`${worker.id} (${worker.version}) begins ${id}${effect ? ' and crashes' : ''}`);
      return effect;
    };
    const onPart = ({ worker, id, request }) =>
      request.url === scanPath ? onRun({ worker, id, request }) : undefined;
    return { service, zone: 'cercado', workMs: 51, onRun, onPart };
  }

  /** Sends payments to all gateways until `stopPayments`. */
  startPayments() {
    this.#timer = setInterval(() => {
      this.gateways.forEach((gateway) => {
        void this.#pay(gateway);
      });
    }, 100);
  }

  stopPayments() {
    clearInterval(this.#timer);
  }

  async #pay(gateway) {
    const body = `pay ${this.now}`;
    const { id, status } = await this.send(gateway, {
      path: '/pay/fee',
      method: 'POST',
      body,
    });
    if (status === 200) this.#payments.answered += 1;
    else if (status === 503) this.#payments.refused += 1;
    else {
      this.#payments.lost += 1;
      this.record(`payment ${id} at ${gateway.name}: ${status}`);
    }
  }

  /** Sends the request that may crash workers. */
  async sendPoison(gateway) {
    const { id, status, sentAt } = await this.send(gateway, { path: poisonPath });
    this.record(
      `request ${id} sent to ${gateway.name} at ${(sentAt / 1000).toFixed(3)}: ${status}`,
    );
    return status;
  }

  /** Uploads the scan that may crash workers, and leaves as soon as there is an answer. */
  async sendScan(gateway) {
    const { id, status } = await this.send(gateway, {
      path: scanPath,
      method: 'POST',
      body: Buffer.alloc(scan.bytes, 's'),
      deadlineMs: 3142,
      pieceBytes: scan.pieceBytes,
      pieceMs: scan.pieceMs,
      leavesAtAnswer: true,
    });
    this.record(`upload ${id} sent to ${gateway.name}: ${status}`);
  }

  /** Checks the rule, and records the figures. @returns The exit code. */
  judge() {
    const third = this.crashes[2]?.at ?? Infinity;
    const late = this.crashes.filter(({ at }) => at > third + contactMs);
    const comings = new Set(late.map(({ id }) => id)).size;
    const { answered, refused, lost } = this.#payments;
    this.record(`crashes: ${this.crashes.length}; the third at ${(third / 1000).toFixed(3)}`);
    this.record(`later than ${contactMs} ms after it: ${late.length} runs of ${comings} attempts`);
    this.record(`payments: ${answered} answered, ${refused} refused, ${lost} lost or failed`);
    const isBroken = comings > maxLateRetries;
    this.record(isBroken ? 'BUDGET is broken' : 'BUDGET holds');
    return isBroken ? 1 : 0;
  }
}

/** Runs a case, and ends the process with its exit code. */
export async function runCase(folder, play) {
  const bed = new PoisonBed(`${folder}/record.txt`);
  let code = 2;
  try {
    await bed.start5();
    bed.startPayments();
    await play(bed, process.env.TROUBLE !== '0');
    bed.stopPayments();
    await sleep(1500);
    code = bed.judge();
  } catch (error) {
    bed.record(`could not run: ${error.stack}`);
  }
  bed.close();
  process.exit(code);
}
