import { performance } from 'node:perf_hooks';
import { clearTimeout, setImmediate, setTimeout } from 'node:timers';
import { randomBytes } from 'node:crypto';
import { Agent, request as sendRequest } from 'node:http';

/** Pieces in which a body is sent over a while, such as the pages of a filing. */
const uploadPieces = 3;

/** A channel of a requester to one machine, which is kept for many requests. */
export class Channel {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  #isOpen = true;

  /** Number of requests that were sent on the channel. */
  sentCount = 0;

  /** @param {object} machine - The machine to which the platform has forwarded the channel. */
  constructor(machine) {
    this.machine = machine;
  }

  /** Whether the channel may be used for another request. */
  get isOpen() {
    return this.#isOpen;
  }

  /**
   * Sends a request and waits for the whole answer.
   *
   * @param {object} spec - Method, host, path, body and the time that the requester waits. A body is
   * sent at once, or over `uploadMs`; an answer that comes before its end does not stop it.
   * @returns {Promise<object>} What the requester has sent and seen. `end` is `answered`, `closed`
   * when the channel ended without a complete answer, or `deadline`.
   */
  async send({ method = 'GET', host, path, body, uploadMs = 0, deadlineMs, kind }) {
    const attempt = {
      id: randomBytes(8).toString('hex'),
      kind,
      method,
      path,
      machine: this.machine.name,
      lifetime: this.machine.lifetime,
      deadlineMs,
      sentAt: performance.now(),
      isConnected: false,
      receivedBytes: 0,
    };
    this.sentCount += 1;
    await new Promise((resolve) => {
      let outgoing;
      const finish = (end) => {
        if (attempt.end !== undefined) return;
        attempt.end = attempt.answeredAt === undefined ? end : 'answered';
        attempt.endedAt = attempt.answeredAt ?? performance.now();
        if (end !== 'answered') this.close();
        resolve();
      };
      const timer = setTimeout(() => {
        finish('deadline');
        outgoing.destroy();
      }, deadlineMs);
      outgoing = sendRequest(
        {
          host: this.machine.ip,
          port: this.machine.ports.frontend,
          agent: this.#agent,
          method,
          path,
          headers: {
            Host: host,
            'Attempt-Id': attempt.id,
            'Deadline-Ms': String(deadlineMs),
            ...(body === undefined ? {} : { 'Content-Length': String(body.length) }),
          },
        },
        (response) => {
          attempt.status = response.statusCode;
          attempt.signature = response.headers['upstream-signature'];
          attempt.retryAfterS = Number(response.headers['retry-after']);
          response.on('data', (chunk) => {
            attempt.receivedBytes += chunk.length;
          });
          response.on('error', () => finish('closed'));
          response.on('close', () => {
            if (attempt.answeredAt === undefined) finish('closed');
          });
          response.on('end', () => {
            if (!response.complete) return;
            attempt.answeredAt = performance.now();
            if (response.headers.connection === 'close') this.close();
            if (outgoing.writableFinished) finish('answered');
            else outgoing.once('finish', () => finish('answered'));
          });
        },
      );
      outgoing.on('socket', (socket) => {
        if (!socket.connecting) attempt.isConnected = true;
        else {
          socket.once('connect', () => {
            attempt.isConnected = true;
          });
        }
      });
      outgoing.on('error', () => finish('closed'));
      outgoing.on('close', () => {
        clearTimeout(timer);
        finish('closed');
      });
      if (uploadMs > 0) void upload(outgoing, body, uploadMs);
      else outgoing.end(body);
    });
    return attempt;
  }

  close() {
    this.#isOpen = false;
    // Lets the agent return the socket first.
    setImmediate(() => this.#agent.destroy());
  }
}

/** Sends a body in pieces, with pauses between them. */
async function upload(outgoing, body, ms) {
  const pieceBytes = Math.ceil(body.length / uploadPieces);
  for (let start = 0; start < body.length && !outgoing.destroyed; start += pieceBytes) {
    outgoing.write(body.subarray(start, start + pieceBytes));
    await new Promise((resolve) => {
      setTimeout(resolve, ms / uploadPieces);
    });
  }
  if (!outgoing.destroyed) outgoing.end();
}

/** Sends one request on a channel of its own. */
export async function sendOnce(machine, spec) {
  const channel = new Channel(machine);
  const attempt = await channel.send(spec);
  channel.close();
  return attempt;
}
