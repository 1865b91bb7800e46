import process from 'node:process';
import { pickWork } from './traffic.js';
import { Worker } from './worker.js';

/**
 * Runs workers in a process of their own, since an answer without end keeps a processor busy. The
 * parent, which has the store, sends how to start them, and then whether they are in trouble.
 */
const store = {
  put: (key, value) => process.send({ key, value }),
  remove: (key) => process.send({ key }),
};

const trouble = { endlessShare: 0 };

function answersEndlessly({ attempt }) {
  const isEndless = Math.random() < trouble.endlessShare;
  if (isEndless) process.send({ endless: attempt });
  return isEndless;
}

async function startWorkers({ service, zones, workMs, slots }) {
  for (const [index, zone] of zones.entries()) {
    const worker = new Worker({
      store,
      name: `spoiled-${index + 1}`,
      service,
      zone,
      ip: '127.0.0.1',
      slots,
      pickWorkMs: () => pickWork(workMs),
      onRun: () => undefined,
      answersEndlessly,
    });
    await worker.start();
  }
}

process.on('message', (message) => {
  if (message.start) void startWorkers(message.start);
  else trouble.endlessShare = message.endlessShare;
});

process.on('disconnect', () => process.exit());
