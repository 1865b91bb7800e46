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
   * @param {object} spec - `kind`, `perS`, `habit`, and `make`, which returns a request.
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

  async #send() {
    const { habit, kind, make } = this.#spec;
    this.#count += 1;
    const channel = this.#takeIdle() ?? this.#open();
    const attempt = await channel.send({ kind, ...make(this.#count) });
    this.#deployment.attempts.push(attempt);
    if (habit === 'pool' && channel.isOpen) this.#idle.push(channel);
    else channel.close();
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
