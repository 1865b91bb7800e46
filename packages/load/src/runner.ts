import { Agent, request } from 'node:http';
import { makeRandom, parseVerdict } from '@dotterelpass/values';
import type { Verdict } from '@dotterelpass/values';
import { drawArrivals } from './arrivals.js';
import type { Arrival } from './arrivals.js';
import type { Plan } from './plan.js';

/** Outcome of one attempt of a call. */
export interface Outcome {
  readonly kind: string;
  readonly tenant: string;
  readonly long: boolean;
  /**
   * Time since the start of the run, in milliseconds: the planned time of a first attempt, or the
   * send time of a resend.
   */
  readonly atMs: number;
  /** Time from `atMs` to the last byte of the response, in milliseconds. */
  readonly latencyMs: number;
  /** HTTP status; 0 without a complete response. */
  readonly status: number;
  readonly verdict: Verdict | undefined;
  readonly key: string | undefined;
  /** 0 for the first attempt, 1 for the first resend, and so on. */
  readonly attempt: number;
}

/** Time during which a target that refused a connection is skipped. */
const targetDownMs = 500;

/** Node timers fire late by up to this time, so the last part of a wait is polled. */
const timerLagMs = 2;

/** Sends the calls of a plan at their planned times. */
export class Runner {
  readonly #plan: Plan;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity });

  readonly #outcomes: Outcome[] = [];

  #startedAt = 0;

  #nextTarget = 0;

  #openCalls = 0;

  /** Times at which targets that refused a connection are used again. */
  readonly #downUntil = new Map<string, number>();

  /** @param plan - The plan to run. */
  constructor(plan: Plan) {
    this.#plan = plan;
  }

  /**
   * Runs the plan to its end.
   *
   * @returns Outcomes of all attempts, in the order in which the attempts ended.
   */
  async run(): Promise<readonly Outcome[]> {
    const arrivals = drawArrivals(this.#plan, makeRandom(this.#plan.seed));
    this.#startedAt = performance.now();
    for (const [index, arrival] of arrivals.entries()) {
      await this.#waitUntil(arrival.atMs);
      this.#openCalls += 1;
      void this.#sendWithResends(arrival, index).finally(() => {
        this.#openCalls -= 1;
      });
    }
    while (this.#openCalls > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
    this.#agent.destroy();
    return this.#outcomes;
  }

  async #waitUntil(atMs: number): Promise<void> {
    let remainingMs = this.#startedAt + atMs - performance.now();
    while (remainingMs > 0) {
      const waitMs = remainingMs - timerLagMs;
      await new Promise((resolve) => {
        if (waitMs > 0) setTimeout(resolve, waitMs);
        else setImmediate(resolve);
      });
      remainingMs = this.#startedAt + atMs - performance.now();
    }
  }

  async #sendWithResends(arrival: Arrival, index: number): Promise<void> {
    const { kind } = arrival;
    const key = kind.keyed ? `load-${this.#plan.seed}-${process.pid}-${index}` : undefined;
    for (let attemptIndex = 0; attemptIndex <= kind.resends; attemptIndex++) {
      const atMs = attemptIndex === 0 ? arrival.atMs : performance.now() - this.#startedAt;
      const outcome = await this.#sendAttempt(arrival, key, attemptIndex, atMs);
      this.#outcomes.push(outcome);
      if (outcome.status > 0 && outcome.status < 500) return;
      await new Promise((resolve) => {
        setTimeout(resolve, kind.resendAfterMs);
      });
    }
  }

  async #sendAttempt(
    arrival: Arrival,
    key: string | undefined,
    attemptIndex: number,
    atMs: number,
  ): Promise<Outcome> {
    const { kind, workMs, long } = arrival;
    const target = this.#pickTarget();
    const [host = '', port = ''] = target.split(':');
    const query = `ms=${workMs.toFixed(2)}${kind.answerBytes ? `&bytes=${kind.answerBytes}` : ''}`;
    const body = kind.bodyBytes > 0 ? Buffer.alloc(kind.bodyBytes, 'x') : undefined;
    const makeOutcome = (status: number, verdict?: Verdict): Outcome => ({
      kind: kind.name,
      tenant: kind.tenant,
      long,
      atMs,
      latencyMs: performance.now() - this.#startedAt - atMs,
      status,
      verdict,
      key,
      attempt: attemptIndex,
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
      const complete = (outcome: Outcome) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      outgoing.on('response', (response) => {
        const verdict = parseVerdict(String(response.headers['x-request-outcome']));
        response.resume();
        response.on('error', () => undefined);
        response.on('close', () => {
          complete(makeOutcome(response.complete ? (response.statusCode ?? 0) : 0, verdict));
        });
      });
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code !== 'ECONNREFUSED') {
          complete(makeOutcome(0, 'may-have-run'));
          return;
        }
        // Nothing was sent, so the call is safe to send to another target. The platform's load
        // balancer does the same.
        const wasDown = this.#isDown(target);
        this.#downUntil.set(target, performance.now() + targetDownMs);
        if (wasDown) complete(makeOutcome(0, 'not-run'));
        else void this.#sendAttempt(arrival, key, attemptIndex, atMs).then(complete);
      });
      outgoing.end(body);
    });
  }

  #isDown(target: string): boolean {
    return (this.#downUntil.get(target) ?? 0) > performance.now();
  }

  /**
   * Picks the next target in round-robin order and skips targets that are down. When all are down,
   * the next target is picked nevertheless.
   */
  #pickTarget(): string {
    const { targets } = this.#plan;
    for (let skipped = 0; skipped < targets.length; skipped++) {
      const target = targets[this.#nextTarget % targets.length] as string;
      this.#nextTarget += 1;
      if (!this.#isDown(target)) return target;
    }
    return targets[this.#nextTarget % targets.length] as string;
  }
}
