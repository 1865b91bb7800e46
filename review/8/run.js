/* global performance, setTimeout, Buffer */
/** A large request crashes each worker that begins to run it, and comes again at any machine. */
import { connect } from 'node:net';
import { buildRoute, hasTrouble, host, runCase } from '../standins-2/case.js';
import { sleep } from '../standins-2/deployment.js';
import { newId, send } from '../standins-2/requester.js';

/** Size of the body; uploads of the site have up to 360,000 bytes. */
const bodyBytes = 200_000;

/** A requester sends its body in pieces of one size, with a pause after each. */
const minPieceBytes = 3000;
const maxPieceBytes = 9000;
const pieceMs = 1;

const attempts = 26;
const betweenMs = 1500;
const workMs = 30;

/** Time after a crash from which the worker is back at its address. */
const backMs = 2000;

/** The bounds of the rule: retries later than this after the third crash, and their number. */
const contactMs = 3000;
const crashesBefore = 3;
const allowedRetries = 3;

const path = '/scan/plan-7';
const body = Buffer.alloc(bodyBytes, 'scan ');

/** Sends one attempt with a body that comes in over some time. */
async function upload({ host: ip, port }, id) {
  return new Promise((resolve) => {
    let answer = '';
    const socket = connect({ host: ip, port, noDelay: true });
    const pieceBytes = minPieceBytes + Math.floor(Math.random() * (maxPieceBytes - minPieceBytes));
    const lines = [
      `POST ${path} HTTP/1.1`,
      `Host: ${host}`,
      `Attempt-Id: ${id}`,
      'Deadline-Ms: 4000',
      `Content-Length: ${body.length}`,
    ];
    socket.on('connect', async () => {
      socket.write(`${lines.join('\r\n')}\r\n\r\n`);
      for (let at = 0; at < body.length && !socket.destroyed; at += pieceBytes) {
        socket.write(body.subarray(at, at + pieceBytes));
        await sleep(pieceMs);
      }
    });
    socket.on('data', (chunk) => {
      answer += chunk;
      if (answer.includes('\r\n\r\n')) socket.destroy();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(answer.slice(9, 12) || 'none'));
  });
}

const crashes = [];

const options = {
  routes: [
    buildRoute('scan', { type: 'upload', timeout_s: 6, target_latency_s: 1.5, max_attempts: 2 }),
    buildRoute('pay', { type: 'unsafe' }),
  ],
  workers: 8,
  worker: {
    workMs,
    onRun({ request }, worker) {
      if (request.url !== path || !hasTrouble) return false;
      crashes.push(performance.now());
      const port = Number(worker.address.split(':')[1]);
      worker.crash();
      setTimeout(() => worker.start(port), backMs);
      return true;
    },
  },
  deployment: { count: 5 },
};

await runCase(import.meta.dirname, options, async (bed, record) => {
  let hasEnded = false;
  const others = [];
  /** Other requests that may run once, some of which the crashed workers are running. */
  const sendOthers = async () => {
    for (let count = 0; !hasEnded; count++) {
      const { front } = bed.nodes[count % bed.nodes.length];
      others.push(send(front, { host, path: '/pay/fee', method: 'PUT', body: Buffer.alloc(300) }));
      await sleep(20);
    }
  };
  const sending = sendOthers();
  for (let count = 0; count < attempts; count++) {
    const { name, front } = bed.nodes[count % bed.nodes.length];
    const id = newId();
    const status = await upload(front, id);
    record(`attempt ${count + 1} ${id} at ${name}: runs ${bed.findRuns(id).length}, ${status}`);
    await sleep(betweenMs);
  }
  hasEnded = true;
  await sending;
  const lost = (await Promise.all(others)).filter(
    ({ id, status }) => status !== 200 && bed.findRuns(id).length > 0,
  );
  const late = crashes.filter((at) => at > crashes[crashesBefore - 1] + contactMs).length;
  record(`crashes: ${crashes.length}, of these later than the rule allows retries: ${late}`);
  record(
    `of ${others.length} other requests, run and not answered by their worker: ${lost.length}`,
  );
  return late > allowedRetries;
});
