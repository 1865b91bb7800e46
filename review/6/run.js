/* global performance */
/** A machine is stopped while requesters have further requests under way on their channels. */
import { connect } from 'node:net';
import { buildRoute, hasTrouble, host, runCase } from '../standins-2/case.js';
import { sleep } from '../standins-2/deployment.js';
import { newId, send } from '../standins-2/requester.js';

const channelCount = 4;
const slowMs = 900;
const quickMs = 40;

/** Parts of a day, in milliseconds; the third request is sent while the first is at work. */
const afterStopMs = 100;
const betweenMs = 20;
const thirdAfterMs = 400;
const answersMs = 3000;

const options = {
  routes: [buildRoute('look', { timeout_s: 4, target_latency_s: 1 })],
  workers: 8,
  worker: { workMs: ({ url }) => (url.includes('slow') ? slowMs : quickMs) },
  deployment: { count: 5 },
};

/** A requester that sends further safe requests on a channel before the first is answered. */
class Channel {
  ids = [];

  #text = '';

  #socket;

  constructor({ host: ip, port }, record) {
    this.closedAt = undefined;
    this.#socket = connect({ host: ip, port });
    this.#socket.on('data', (chunk) => {
      this.#text += chunk;
    });
    this.#socket.on('error', () => undefined);
    this.#socket.on('close', () => {
      this.closedAt = performance.now();
      record(`channel of ${this.ids[0]} closed by the machine`);
    });
  }

  send(path) {
    const id = newId();
    this.ids.push(id);
    const lines = [`Host: ${host}`, `Attempt-Id: ${id}`, 'Deadline-Ms: 3500'];
    this.#socket.write(`GET ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`);
  }

  isAnswered(id) {
    return this.#text.includes(`Attempt-Id: ${id}\r\n`) && this.#text.includes(`has run ${id}`);
  }

  close() {
    this.#socket.destroy();
  }
}

await runCase(import.meta.dirname, options, async (bed, record) => {
  const [node] = bed.nodes;
  for (let count = 0; count < 8; count++) await send(node.front, { host, path: '/look/first' });
  const channels = Array.from({ length: channelCount }, () => new Channel(node.front, record));
  await sleep(afterStopMs);
  if (hasTrouble) {
    record(`SIGTERM to ${node.name}`);
    node.child.kill('SIGTERM');
  }
  await sleep(afterStopMs);
  channels.forEach((channel) => channel.send('/look/slow'));
  await sleep(betweenMs);
  channels.forEach((channel) => channel.send('/look/second'));
  await sleep(thirdAfterMs);
  channels.forEach((channel) => channel.send('/look/third'));
  const sentAt = performance.now();
  await sleep(answersMs);
  let lost = 0;
  channels.forEach((channel, number) => {
    channel.ids.forEach((id, index) => {
      const runs = bed.findRuns(id).length;
      const isAnswered = channel.isAnswered(id);
      record(
        `channel ${number + 1} request ${index + 1} ${id}: run ${runs}, answered ${isAnswered}`,
      );
      if (runs > 0 && !isAnswered && channel.closedAt > sentAt) lost += 1;
    });
    channel.close();
  });
  record(`passed on to a worker and lost with their channel: ${lost}`);
  return lost > 0;
});
