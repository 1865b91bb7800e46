import { Buffer } from 'node:buffer';
import { fork } from 'node:child_process';
import { clearInterval, setInterval } from 'node:timers';
import { URL } from 'node:url';
import { sleep } from '../standins/deployment.js';
import { hasTrouble, runCase } from '../standins/main.js';
import { addWorkers, hosts, machineZones, routes } from '../standins/quispe.js';
import { Channel } from '../standins/requester.js';
import { Traffic, pickWork } from '../standins/traffic.js';

/** Work and times of the grown site, in milliseconds. */
const grown = {
  status: { workMs: 230, targetMs: 603, deadlineMs: 5015 },
  lodge: { workMs: 298, targetMs: 804, deadlineMs: 6031 },
  pay: { workMs: 158, targetMs: 503, deadlineMs: 3019 },
};

const kindsByService = { consulta: 'status', expediente: 'lodge', tesoreria: 'pay' };

/** Workers of the filing service that get into trouble: half of eight. */
const spoiledZones = ['cercado', 'yanahuara', 'cayma', 'paucarpata'];

/** Share of their answers that have no end, and how long: the largest dose of `garble`. */
const endlessShare = 0.05;
const garbleMs = 5000;
const pauseMs = 3000;
const garbleCount = 6;

const filingsPerS = 60;
const officeCount = 50;

/** One call in so many of a requester pays a fee, the others look up a claim. */
const callsPerPayment = 4;

const restartMs = 300;

/** LOST allows three requests, at any time, that are passed on from a kept channel and cut. */
const allowed = 3;

async function play(deployment, record) {
  deployment.configure(
    3,
    routes.map((route) => {
      const { targetMs, deadlineMs } = grown[kindsByService[route.service]];
      return { ...route, timeout_s: deadlineMs / 1000, target_latency_s: targetMs / 1000 };
    }),
  );
  await addWorkers(deployment, (service) => ({
    pickWorkMs: () => pickWork(grown[kindsByService[service]].workMs),
  }));
  // Half of the filing workers run in a process of their own.
  const filers = deployment.workers.filter(({ id }) => id.includes('expediente'));
  filers.slice(0, spoiledZones.length).forEach((worker) => {
    worker.close();
    deployment.store.remove(`servers/${worker.id}`);
  });
  const endless = [];
  const child = startSpoiledWorkers(deployment.store, (id) => endless.push(id));
  await sleep(1000);
  await deployment.startMachines(machineZones);
  // The platform starts a process that has ended again after a short delay.
  const restarts = setInterval(() => {
    deployment.machines.filter(({ isRunning }) => !isRunning).forEach((machine) => machine.start());
  }, restartMs);
  const filings = new Traffic(deployment, {
    kind: 'lodge',
    perS: filingsPerS,
    habit: 'fresh',
    make: (count) => ({
      method: 'POST',
      host: hosts.lodge,
      path: `/lodge/${count.toString(16)}`,
      body: Buffer.alloc(1200, 'l'),
      deadlineMs: grown.lodge.deadlineMs,
    }),
  });
  filings.start();
  const state = { isOver: false };
  const offices = Array.from({ length: officeCount }, (_, index) =>
    playOffice(deployment, index, state),
  );
  await sleep(pauseMs);
  for (let index = 0; index < garbleCount; index++) {
    if (hasTrouble) child.send({ endlessShare });
    await sleep(garbleMs);
    child.send({ endlessShare: 0 });
    await sleep(pauseMs);
  }
  state.isOver = true;
  await Promise.all([...offices, filings.stop()]);
  clearInterval(restarts);
  child.disconnect();
  endless.forEach((id) => record.addNow(`answered without end: ${id}`));
  return judge(deployment, endless);
}

function startSpoiledWorkers(store, onEndless) {
  const child = fork(new URL('../standins/spoiled.js', import.meta.url));
  child.on('message', ({ key, value, endless }) => {
    if (endless !== undefined) onEndless(endless);
    else if (value === undefined) store.remove(key);
    else store.put(key, value);
  });
  const { workMs } = grown.lodge;
  child.send({ start: { service: 'expediente', zones: spoiledZones, workMs, slots: 3 } });
  return child;
}

/** Looks up claims and pays some fees, always on the same channel while it is open. */
async function playOffice(deployment, index, state) {
  let channel;
  for (let call = 0; !state.isOver; call++) {
    if (!channel?.isOpen) channel = new Channel(deployment.pickMachine(index));
    const attempt = await channel.send(makeCall(call, `${index}-${call}`));
    attempt.isOnKeptChannel = channel.sentCount > 1;
    deployment.attempts.push(attempt);
    if (!attempt.isConnected) await sleep(100);
  }
  channel?.close();
}

function makeCall(call, name) {
  if (call % callsPerPayment > 0) {
    const { deadlineMs } = grown.status;
    return { kind: 'status', host: hosts.status, path: `/status/${name}`, deadlineMs };
  }
  const body = Buffer.alloc(300, 'p');
  const { deadlineMs } = grown.pay;
  return { kind: 'pay', method: 'PUT', host: hosts.pay, path: `/pay/${name}`, body, deadlineMs };
}

/** LOST at any time: passed on from a kept channel to a sound worker, and closed without an answer. */
function judge({ attempts, runs, machines }, endless) {
  const ran = new Set(runs.map(({ attempt }) => attempt));
  const lost = attempts.filter(
    ({ id, end, isOnKeptChannel }) => end === 'closed' && isOnKeptChannel && ran.has(id),
  );
  const unanswered = attempts.filter(({ end, kind }) => end === 'deadline' && kind !== 'lodge');
  const verdict = [
    `${attempts.length} requests sent, ${runs.length} runs by sound workers, ${endless.length} filings answered without end`,
    `processes that ended by themselves: ${machines.flatMap((machine) => machine.unexpectedExits).length}`,
    `from a kept channel and run by a sound worker, and cut: ${lost.length} (${lost.filter(({ kind }) => kind === 'pay').length} that may run once), allowed ${allowed}`,
    `lookups and payments without an answer at their deadline: ${unanswered.length}`,
    ...lost.slice(0, 20).map(({ id, kind, machine }) => `lost: ${id} ${kind} at ${machine}`),
  ];
  return { verdict, isBroken: lost.length > allowed };
}

await runCase(import.meta.url, play);
