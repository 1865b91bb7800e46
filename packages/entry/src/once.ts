import { createHash } from 'node:crypto';
import { AttemptTable, TicketIssuer, ticketPrefix } from '@dotterelpass/once';
import type { ClaimAnswer, Holder, JournalPosition, Outcome } from '@dotterelpass/once';
import { deriveKey } from '@dotterelpass/peers';
import type { Refusal } from '@dotterelpass/proxy';
import { systemClock, systemRandom } from '@dotterelpass/values';
import type { InstanceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { ClaimServer, findShard } from './claims.js';
import type { OnceDependencies } from './claims.js';
import type { OnceCall, OnceGate, OnceAdmission, OnceOutcome, StoredResponse } from './gates.js';

/** A key and where it is decided about. */
interface Place {
  readonly key: string;
  readonly digest: string;
  /** Shard of an own key; undefined for a ticket. */
  readonly shard: string | undefined;
  findTarget(): InstanceId;
}

interface Reply {
  readonly answer: ClaimAnswer;
  readonly mark?: JournalPosition;
}

/** Longest time that one claim waits for its answer, in milliseconds. */
const maxWaitMs = 1000;

/** The answer's way back, on top of the wait, in milliseconds. */
const travelMs = 100;
const minBackoffMs = 10;
const maxBackoffMs = 200;
const settleTimeoutMs = 1000;
const settleTries = 3;
const maxKeptBytes = 64 * 1024;
const dayMs = 24 * 3_600_000;

const texts = {
  ran: 'the request with this key has run; its answer is no longer kept',
  unknown: 'a request with this key may have run; whoever ran it is gone',
  mismatch: 'the key was used before for another request',
  busy: 'a request with this key is still running',
  silent: 'no instance could decide about the key before the deadline',
  late: 'leave to run came after the deadline',
} as const;

/** Lets each key run at most once in the fleet. */
export class FleetOnceGate implements OnceGate {
  readonly #parts: OnceDependencies;

  readonly #desk: ClaimServer;

  /**
   * @param parts - What the gate works with.
   * @param peerKey - The key that all entry instances share.
   */
  constructor(parts: Omit<OnceDependencies, 'mint' | 'executions' | 'keepMs'>, peerKey: string) {
    const { instance, incarnation } = parts.identity;
    const ticketKey = deriveKey(peerKey, 'tickets');
    this.#parts = {
      ...parts,
      mint: new TicketIssuer(instance, incarnation, ticketKey, systemClock),
      executions: new AttemptTable(instance, incarnation, systemClock),
      keepMs: dayMs,
    };
    this.#desk = new ClaimServer(this.#parts);
  }

  issueTicket(): string {
    return this.#parts.mint.issue();
  }

  /** Accepts the state of a platform that has lost writes; see `docs/operations/once.md`. */
  acceptPlatformState(): void {
    this.#parts.log.warn('once-trust-restored');
    this.#desk.acceptPlatformState();
  }

  async admit(call: OnceCall): Promise<OnceAdmission> {
    const place = this.#findPlace(call);
    const leave = place.isErr()
      ? ({ kind: 'refuse', refusal: place.error } as const)
      : await this.#claim(call, place.value);
    this.#parts.metrics.recordEvent(`once-${leave.kind}`, call.service);
    if (leave.kind === 'refuse') {
      const { requestId } = call;
      const { status, verdict, message } = leave.refusal;
      this.#parts.log.info('once-refuse', { requestId, status, verdict, reason: message });
    }
    return leave;
  }

  #findPlace({
    key,
    service,
    tenant,
    requestDigest: bodyDigest,
  }: OnceCall): Result<Place, Refusal> {
    const digest = hashParts([tenant, service, bodyDigest]);
    if (!key.startsWith(ticketPrefix)) {
      const hash = hashParts([tenant, service, key]);
      const shard = findShard(hash);
      return ok({ key: hash, digest, shard, findTarget: () => this.#desk.findLeader(shard) });
    }
    const ticket = this.#parts.mint.verify(key);
    if (ticket.isErr()) {
      // A well-formed ticket may stem from before a change of the shared key.
      const verdict = ticket.error === 'malformed' ? 'not-run' : 'may-have-run';
      return err({ status: 400, verdict, message: `the ticket is ${ticket.error}` });
    }
    const { instance, incarnation } = ticket.value;
    const present = this.#parts.members.findIncarnation(instance);
    if (present !== undefined && present > incarnation) {
      return err({ status: 409, verdict: 'may-have-run', message: texts.unknown });
    }
    return ok({ key, digest, shard: undefined, findTarget: () => instance });
  }

  /** Claims until there is a final answer or the deadline has come. */
  async #claim(call: OnceCall, place: Place): Promise<OnceAdmission> {
    const givenUp: number[] = [];
    let message: string = texts.silent;
    let backoffMs = minBackoffMs;
    for (;;) {
      const leftMs = call.deadlineAt - performance.now();
      if (leftMs <= 0 || call.signal.aborted) return refuseLater(504, 'may-have-run', message);
      const holder = this.#parts.executions.open();
      const reply = await this.#ask(place, holder, givenUp, Math.min(leftMs, maxWaitMs));
      const answer = reply?.answer;
      if (answer?.kind === 'granted' && this.#parts.executions.start(holder)) {
        if (call.deadlineAt > performance.now() && !call.signal.aborted) {
          return { kind: 'run', settle: (outcome) => this.#settle(place, holder, outcome) };
        }
        this.#settle(place, holder, { verdict: 'not-run' });
        return refuseLater(504, 'not-run', texts.late);
      }
      this.#parts.executions.abandon(holder);
      givenUp.push(holder.attempt);
      const final = answer && toFinal(answer);
      if (final) return final;
      if (!answer && !this.#parts.members.live.includes(place.findTarget())) {
        return refuseLater(503, 'may-have-run', texts.unknown);
      }
      message = answer?.kind === 'busy' ? texts.busy : texts.silent;
      if (answer?.kind === 'busy') continue;
      // Jitter keeps the claims of many callers apart after a change of the arbiter.
      await sleep(backoffMs * (0.5 + systemRandom.next()));
      backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
    }
  }

  /** @returns Undefined when no answer came; the claim may have been granted then. */
  async #ask(
    place: Place,
    holder: Holder,
    givenUp: readonly number[],
    waitMs: number,
  ): Promise<Reply | undefined> {
    const { hub, members } = this.#parts;
    const { key, digest, shard } = place;
    const target = place.findTarget();
    const seen = shard === undefined ? undefined : this.#desk.findPosition(shard);
    if (target === members.self) {
      const request = { key, digest, holder, givenUp, shard, waitMs };
      return { answer: await this.#desk.claim(request, seen) };
    }
    const body = {
      key,
      digest,
      attempt: holder.attempt,
      givenUp,
      waitMs,
      ...(shard === undefined ? {} : { shard }),
      ...(seen ? { seen } : {}),
    };
    const answer = await hub.request(target, 'claim', body, waitMs + travelMs);
    if (answer.isErr()) return undefined;
    const reply = answer.value as unknown as Reply;
    if (shard !== undefined) this.#desk.recordPosition(shard, reply.mark);
    return reply;
  }

  #settle(place: Place, holder: Holder, given: OnceOutcome): void {
    const outcome = limitAnswer(given);
    this.#parts.executions.recordOutcome(holder, outcome);
    void this.#sendEnd(place, holder, outcome);
  }

  /** Tells the end of a run. When that fails, whoever needs it asks this instance. */
  async #sendEnd(place: Place, holder: Holder, outcome: Outcome): Promise<void> {
    const { hub, members } = this.#parts;
    const { key, shard } = place;
    for (let tries = 1; tries <= settleTries; tries++) {
      const target = place.findTarget();
      if (target === members.self) {
        this.#desk.settle(shard, key, holder, outcome);
        return;
      }
      const { attempt } = holder;
      const body = { key, attempt, outcome, ...(shard === undefined ? {} : { shard }) };
      const answer = await hub.request(target, 'settle', body, settleTimeoutMs);
      if (answer.isOk()) return;
      await sleep(minBackoffMs);
    }
    this.#parts.metrics.recordEvent('once-settle-lost');
  }
}

function toFinal(answer: ClaimAnswer): OnceAdmission | undefined {
  return match(answer)
    .returnType<OnceAdmission | undefined>()
    .with({ kind: 'settled' }, ({ answer: kept }) =>
      kept
        ? { kind: 'replay', answer: { ...kept, body: Buffer.from(kept.body) } }
        : refuseNow(409, 'ran', texts.ran),
    )
    .with({ kind: 'mismatch' }, () => refuseNow(422, 'not-run', texts.mismatch))
    .with({ kind: 'unknown' }, () => refuseNow(409, 'may-have-run', texts.unknown))
    .with({ kind: 'refused' }, ({ fresh, reason }) =>
      refuseLater(503, fresh ? 'not-run' : 'may-have-run', `the key cannot be recorded: ${reason}`),
    )
    .with({ kind: 'busy' }, { kind: 'moved' }, { kind: 'granted' }, () => undefined)
    .exhaustive();
}

function refuseNow(status: number, verdict: Refusal['verdict'], message: string): OnceAdmission {
  return { kind: 'refuse', refusal: { status, verdict, message } };
}

function refuseLater(status: number, verdict: Refusal['verdict'], message: string): OnceAdmission {
  return { kind: 'refuse', refusal: { status, verdict, message, retryAfterSeconds: 1 } };
}

/** Leaves out an answer that is too large to keep. */
function limitAnswer(outcome: OnceOutcome): OnceOutcome {
  if (outcome.verdict !== 'ran' || !outcome.answer) return outcome;
  const answer: StoredResponse | undefined =
    outcome.answer.body.length <= maxKeptBytes ? outcome.answer : undefined;
  return { verdict: 'ran', ...(answer ? { answer } : {}) };
}

function hashParts(parts: readonly string[]): string {
  // 144 bits; callers cannot find two keys with one hash.
  return createHash('sha256').update(JSON.stringify(parts)).digest().toString('base64url', 0, 18);
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
