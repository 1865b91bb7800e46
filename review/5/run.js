import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { bounds, sleep } from '../standins/deployment.js';
import { hasTrouble, runCase } from '../standins/main.js';
import { addWorkers, createTraffic, hosts, machineZones, routes } from '../standins/quispe.js';
import { sendOnce } from '../standins/requester.js';

/** The site's five machines, and those that may be added during a day. */
const zones = [...machineZones, 'cercado', 'yanahuara', 'cayma', 'paucarpata'];

const poisonPath = '/lodge/poison';

/** Time between two arrivals of the request that crashes workers. */
const intervalMs = 2000;

const arrivalCount = 20;

/** Crashes after which a further run counts, and such runs that BUDGET allows. */
const freeCrashes = 3;
const allowed = 3;

async function play(deployment, record) {
  deployment.configure(3, routes);
  await addWorkers(deployment, () => ({
    crashes: ({ path }) => hasTrouble && path === poisonPath,
  }));
  await deployment.startMachines(zones);
  const traffic = createTraffic(deployment, 0.2);
  traffic.forEach((requesters) => requesters.start());
  await sleep(bounds.contact_s * 1000);
  for (let index = 0; index < arrivalCount; index++) {
    const machine = deployment.machines[index % deployment.machines.length];
    const attempt = await sendOnce(machine, {
      kind: 'poison',
      method: 'POST',
      host: hosts.lodge,
      path: poisonPath,
      body: Buffer.alloc(1200, 'x'),
      deadlineMs: 1500,
    });
    deployment.attempts.push(attempt);
    await sleep(intervalMs - (performance.now() - attempt.sentAt));
  }
  await Promise.all(traffic.map((requesters) => requesters.stop()));
  record.addNow('the last request was sent');
  return judge(deployment);
}

/** BUDGET: runs of the request later than `contact_s` after its third crash. */
function judge({ runs, attempts }) {
  const crashes = runs.filter(({ crashed }) => crashed);
  const third = crashes[freeCrashes - 1];
  const late = crashes.filter(({ at }) => third && at > third.at + bounds.contact_s * 1000);
  const poison = attempts.filter(({ kind }) => kind === 'poison');
  const verdict = [
    `${poison.length} arrivals of the request, answers: ${poison.map(({ status, end }) => status ?? end).join(' ')}`,
    `workers crashed by it: ${crashes.length}`,
    `retries that reached workers later than contact_s after the third crash: ${late.length}, allowed ${allowed}`,
  ];
  return { verdict, isBroken: late.length > allowed };
}

await runCase(import.meta.url, play);
