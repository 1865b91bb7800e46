import { Agent, request } from 'node:http';
import { makeRandom, parseVerdict } from '@dotterelpass/values';
import type { Verdict } from '@dotterelpass/values';
import { makeArrivals } from './arrivals.js';
import type { Arrival } from './arrivals.js';
import type { Plan } from './plan.js';

/** How one sending of a call ended. */
export interface Outcome {
  readonly kind: string;
  readonly tenant: string;
  readonly long: boolean;
  /** Planned time from the start of the run, in milliseconds. */
  readonly atMs: number;
  /** From the planned time to the last byte of the answer, in milliseconds. */
  readonly latencyMs: number;
  /** HTTP status, 0 when there was no whole answer. */
  readonly status: number;
  readonly verdict: Verdict | undefined;
  readonly key: string | undefined;
  /** 0 for the first sending, 1 for the first re-send, and so on. */
  readonly sending: number;
}

/** A target that refused a connection is left alone for this long. */
const downMs = 500;

/** A timer of Node is late by up to this long; nearer arrivals are waited for by polling. */
const timerLagMs = 2;

/** Sends the calls of a plan at their planned times. */
export class Runner {
  readonly #plan: Plan;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity });

  readonly #outcomes: Outcome[] = [];

  #startedAt = 0;

  #next = 0;

  #open = 0;

  /** When a target that refused a connection is tried again. */
  readonly #downUntil = new Map<string, number>();

  /** @param plan - What to send. */
  constructor(plan: Plan) {
    this.#plan = plan;
  }

  /**
   * Runs the plan to its end.
   *
   * @returns How each sending ended, in the order in which they ended.
   */
  async run(): Promise<readonly Outcome[]> {
    const arrivals = makeArrivals(this.#plan, makeRandom(this.#plan.seed));
    this.#startedAt = performance.now();
    for (const [index, arrival] of arrivals.entries()) {
      await this.#waitUntil(arrival.atMs);
      this.#open += 1;
      void this.#sendUntilDone(arrival, index).finally(() => {
        this.#open -= 1;
      });
    }
    while (this.#open > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
    this.#agent.destroy();
    return this.#outcomes;
  }

  async #waitUntil(atMs: number): Promise<void> {
    let restMs = this.#startedAt + atMs - performance.now();
    while (restMs > 0) {
      const waitMs = restMs - timerLagMs;
      await new Promise((resolve) => {
        if (waitMs > 0) setTimeout(resolve, waitMs);
        else setImmediate(resolve);
      });
      restMs = this.#startedAt + atMs - performance.now();
    }
  }

  async #sendUntilDone(arrival: Arrival, index: number): Promise<void> {
    const { kind } = arrival;
    const key = kind.keyed ? `load-${this.#plan.seed}-${process.pid}-${index}` : undefined;
    for (let sending = 0; sending <= kind.resends; sending++) {
      const plannedMs = sending === 0 ? arrival.atMs : performance.now() - this.#startedAt;
      const outcome = await this.#send(arrival, key, sending, plannedMs);
      this.#outcomes.push(outcome);
      if (outcome.status > 0 && outcome.status < 500) return;
      await new Promise((resolve) => {
        setTimeout(resolve, kind.resendAfterMs);
      });
    }
  }

  async #send(
    arrival: Arrival,
    key: string | undefined,
    sending: number,
    atMs: number,
  ): Promise<Outcome> {
    const { kind, workMs, long } = arrival;
    const target = this.#pickTarget();
    const [host = '', port = ''] = target.split(':');
    const query = `ms=${workMs.toFixed(2)}${kind.answerBytes ? `&bytes=${kind.answerBytes}` : ''}`;
    const body = kind.bodyBytes > 0 ? Buffer.alloc(kind.bodyBytes, 'x') : undefined;
    const finish = (status: number, verdict?: Verdict): Outcome => ({
      kind: kind.name,
      tenant: kind.tenant,
      long,
      atMs,
      latencyMs: performance.now() - this.#startedAt - atMs,
      status,
      verdict,
      key,
      sending,
    });
    return new Promise((resolve) => {
      const outgoing = request({
        agent: this.#agent,
        host,
        port: Number(port),
        method: kind.method,
        path: `${kind.path}${kind.path.includes('?') ? '&' : '?'}${query}`,
        headers: {
          'x-tenant-id': kind.tenant,
          ...(key ? { 'idempotency-key': key } : {}),
          ...(body ? { 'content-length': body.length } : {}),
        },
      });
      const timer = setTimeout(() => outgoing.destroy(), this.#plan.timeoutMs);
      const settle = (outcome: Outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      outgoing.on('response', (response) => {
        const verdict = parseVerdict(String(response.headers['x-request-outcome']));
        response.resume();
        response.on('error', () => undefined);
        response.on('close', () => {
          settle(finish(response.complete ? (response.statusCode ?? 0) : 0, verdict));
        });
      });
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code !== 'ECONNREFUSED') {
          settle(finish(0, 'may-have-run'));
          return;
        }
        // As the platform's balancer does: nothing was sent, so another target may answer.
        const known = this.#isDown(target);
        this.#downUntil.set(target, performance.now() + downMs);
        if (known) settle(finish(0, 'not-run'));
        else void this.#send(arrival, key, sending, atMs).then(settle);
      });
      outgoing.end(body);
    });
  }

  #isDown(target: string): boolean {
    return (this.#downUntil.get(target) ?? 0) > performance.now();
  }

  /** Takes the targets in turn, and passes over those that refused a connection lately. */
  #pickTarget(): string {
    const { targets } = this.#plan;
    for (let tried = 0; tried < targets.length; tried++) {
      const target = targets[this.#next % targets.length] as string;
      this.#next += 1;
      if (!this.#isDown(target)) return target;
    }
    return targets[this.#next % targets.length] as string;
  }
}
