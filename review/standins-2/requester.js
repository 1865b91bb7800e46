/* global performance, setTimeout, clearTimeout, Buffer */
/** Stand-in of requesters: one request on a connection of its own, or on one that is kept. */
import { randomBytes } from 'node:crypto';
import { request as sendRequest } from 'node:http';

export const newId = () => randomBytes(8).toString('hex');

/**
 * Sends one requester attempt.
 *
 * @param front - Address of a machine.
 * @param options - `host`, `path`, `method`, `body`, `deadlineMs`, `agent`, `headers`, `id`.
 * @returns The attempt with its `status` (0 without a whole answer), `headers` and `text`.
 */
export async function send(front, options) {
  const { host, path, method = 'GET', body, deadlineMs = 1200, agent = false } = options;
  const { headers = {}, id = newId() } = options;
  const attempt = { id, path, method, to: front.host, sentAt: performance.now(), status: 0 };
  return new Promise((resolve) => {
    let timer;
    const finish = () => {
      clearTimeout(timer);
      attempt.ms = Math.round(performance.now() - attempt.sentAt);
      resolve(attempt);
    };
    const outgoing = sendRequest(
      {
        host: front.host,
        port: front.port,
        path,
        method,
        agent,
        headers: {
          Host: host,
          'Attempt-Id': id,
          'Deadline-Ms': String(deadlineMs),
          ...(body ? { 'Content-Length': body.length } : {}),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => finish());
        response.on('end', () => {
          if (response.complete) attempt.status = response.statusCode;
          attempt.headers = response.headers;
          attempt.text = Buffer.concat(chunks).toString();
          finish();
        });
      },
    );
    timer = setTimeout(() => outgoing.destroy(new Error('gave up')), deadlineMs + 1000);
    outgoing.on('error', (error) => {
      attempt.error = error.code ?? error.message;
      finish();
    });
    outgoing.end(body);
  });
}
