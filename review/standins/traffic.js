import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { Channel } from './requester.js';

/** Work of a request, in milliseconds: mostly near the mean, a few take seven times as long. */
export function pickWork(meanMs) {
  const isLong = Math.random() < 0.03;
  return meanMs * (0.7 + 0.6 * Math.random()) * (isLong ? 7 : 1);
}

/**
 * Requesters that send requests of one kind at a mean rate. Those with the habit `pool` keep their
 * channels, the others open a channel for each request.
 */
export class Traffic {
  #deployment;

  #spec;

  #idle = [];

  #timer;

  #pending = new Set();

  #count = 0;

  /**
   * @param {object} deployment
   * @param {object} spec - `kind`, `perS`, `habit`, `make`, which returns a request, and `retries`.
   */
  constructor(deployment, spec) {
    this.#deployment = deployment;
    this.#spec = spec;
  }

  start() {
    this.#scheduleNext();
  }

  /** Stops to send, and waits until all requests have ended. */
  async stop() {
    clearTimeout(this.#timer);
    await Promise.all(this.#pending);
    this.#idle.forEach((channel) => channel.close());
  }

  #scheduleNext() {
    const delayMs = (-Math.log(1 - Math.random()) * 1000) / this.#spec.perS;
    this.#timer = setTimeout(() => {
      this.#scheduleNext();
      const sent = this.#send();
      this.#pending.add(sent);
      void sent.then(() => this.#pending.delete(sent));
    }, delayMs);
  }

  /** Sends a request, and again after a failure, within its deadline and on a new channel. */
  async #send() {
    const { habit, kind, make, retries = 0 } = this.#spec;
    this.#count += 1;
    const request = make(this.#count);
    const endAt = performance.now() + request.deadlineMs;
    let channel = this.#takeIdle() ?? this.#open();
    for (let retry = 0; ; retry++) {
      const leftMs = Math.floor(endAt - performance.now());
      if (leftMs <= 0) return;
      const attempt = await channel.send({ kind, ...request, deadlineMs: leftMs });
      this.#deployment.attempts.push(attempt);
      if (habit === 'pool' && channel.isOpen) this.#idle.push(channel);
      else channel.close();
      if (retry === retries || !mayRepeat(request, attempt)) return;
      await sleepMs(pickReturnMs(attempt, endAt));
      channel = this.#open();
    }
  }

  #open() {
    return new Channel(this.#deployment.pickMachine(Math.floor(Math.random() * 1000)));
  }

  /** Takes any idle channel, so that the load stays spread over the machines. */
  #takeIdle() {
    this.#idle = this.#idle.filter((channel) => channel.isOpen);
    const index = Math.floor(Math.random() * this.#idle.length);
    return this.#idle.splice(index, 1)[0];
  }
}

/** Statuses that promise that a request has not run. */
const promises = new Set([408, 421, 429, 503]);

/** Statuses after which no request is sent again. */
const finalStatuses = new Set([400, 401, 404, 413, 431]);

/** Safe requests are sent again after any failure, others only after a promise. */
function mayRepeat({ method }, { status, end }) {
  if (end === 'answered' && (status < 300 || finalStatuses.has(status))) return false;
  return method === 'GET' || (end === 'answered' && promises.has(status));
}

/** `Retry-After` is honoured up to a third of the time that is left. */
function pickReturnMs({ retryAfterS }, endAt) {
  const thirdMs = (endAt - performance.now()) / 3;
  return Math.max(0, Math.min(thirdMs, retryAfterS > 0 ? retryAfterS * 1000 : 0));
}

async function sleepMs(ms) {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
