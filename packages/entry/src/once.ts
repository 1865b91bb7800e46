import { createHash } from 'node:crypto';
import { AttemptTable, TicketIssuer, ticketPrefix } from '@dotterelpass/once';
import type { ClaimAnswer, Holder, JournalPosition, Outcome } from '@dotterelpass/once';
import { deriveKey } from '@dotterelpass/peers';
import type { Refusal } from '@dotterelpass/proxy';
import { isFinalStatus, systemClock, systemRandom } from '@dotterelpass/values';
import type { InstanceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { ClaimServer, findShard } from './claims.js';
import type { OnceDependencies } from './claims.js';
import type { OnceCall, OnceGate, OnceAdmission, OnceOutcome, StoredResponse } from './gates.js';

/** A key, and the instance that decides about claims on it. */
interface ClaimTarget {
  readonly key: string;
  readonly digest: string;
  /** Shard of a key that the caller chose; undefined for a ticket. */
  readonly shard: string | undefined;
  /** @returns The instance that decides now; it changes with the membership. */
  findArbiter(): InstanceId;
}

/** The body of an answer to a `claim` message. */
interface ClaimReply {
  readonly answer: ClaimAnswer;
  /** Newest journal position of the shard that the answering instance has seen. */
  readonly mark?: JournalPosition;
}

/** Longest time that an arbiter holds one claim before it answers, in milliseconds. */
const maxWaitMs = 1000;

/** Time for the network round trip, in addition to the arbiter's wait, in milliseconds. */
const answerMarginMs = 100;
const minBackoffMs = 10;
const maxBackoffMs = 200;
const settleTimeoutMs = 1000;
const maxSettleTries = 3;
const maxStoredBodyBytes = 64 * 1024;
const dayMs = 24 * 3_600_000;

const refusalMessages = {
  ran: 'the request with this key has run, but its response is not stored',
  unknown: 'a request with this key may have run, and the instance that ran it is gone',
  mismatch: 'the key was already used for a different request',
  busy: 'a request with this key is still running',
  silent: 'no instance decided about the key before the deadline',
  late: 'permission to run the request arrived after the deadline',
} as const;

/** Runs the request of each idempotency key at most once in the fleet. */
export class FleetOnceGate implements OnceGate {
  readonly #dependencies: OnceDependencies;

  readonly #claimServer: ClaimServer;

  /**
   * @param dependencies - Services that the gate uses.
   * @param peerKey - Secret that all entry instances share; tickets are signed with a key derived
   * from it.
   */
  constructor(
    dependencies: Omit<OnceDependencies, 'ticketIssuer' | 'attemptTable' | 'keyRetentionMs'>,
    peerKey: string,
  ) {
    const { instance, incarnation } = dependencies.identity;
    const ticketKey = deriveKey(peerKey, 'tickets');
    this.#dependencies = {
      ...dependencies,
      ticketIssuer: new TicketIssuer(instance, incarnation, ticketKey, systemClock),
      attemptTable: new AttemptTable(instance, incarnation, systemClock),
      keyRetentionMs: dayMs,
    };
    this.#claimServer = new ClaimServer(this.#dependencies);
  }

  issueTicket(): string {
    return this.#dependencies.ticketIssuer.issue();
  }

  /** Accepts the present state of a platform that lost writes; see `docs/operations/once.md`. */
  acceptPlatformState(): void {
    this.#dependencies.log.warn('once-trust-restored');
    this.#claimServer.acceptPlatformState();
  }

  async admit(call: OnceCall): Promise<OnceAdmission> {
    const target = this.#findTarget(call);
    const admission = target.isErr()
      ? ({ kind: 'refuse', refusal: target.error } as const)
      : await this.#claim(call, target.value);
    this.#dependencies.metrics.recordEvent(`once-${admission.kind}`, call.service);
    if (admission.kind === 'refuse') {
      const { requestId } = call;
      const { status, verdict, message } = admission.refusal;
      this.#dependencies.log.info('once-refuse', { requestId, status, verdict, reason: message });
    }
    return admission;
  }

  #findTarget({
    key,
    service,
    tenant,
    requestDigest: bodyDigest,
  }: OnceCall): Result<ClaimTarget, Refusal> {
    const digest = hashFields([tenant, service, bodyDigest]);
    if (!key.startsWith(ticketPrefix)) {
      const hash = hashFields([tenant, service, key]);
      const shard = findShard(hash);
      return ok({
        key: hash,
        digest,
        shard,
        findArbiter: () => this.#claimServer.findLeader(shard),
      });
    }
    const ticket = this.#dependencies.ticketIssuer.verify(key);
    if (ticket.isErr()) {
      // A well-formed ticket may have been issued before the shared key changed, so the request
      // may have run.
      const verdict = ticket.error === 'malformed' ? 'not-run' : 'may-have-run';
      return err({ status: 400, verdict, message: `the ticket is ${ticket.error}` });
    }
    const { instance, incarnation } = ticket.value;
    const current = this.#dependencies.members.findIncarnation(instance);
    if (current !== undefined && current > incarnation) {
      return err({ status: 409, verdict: 'may-have-run', message: refusalMessages.unknown });
    }
    return ok({ key, digest, shard: undefined, findArbiter: () => instance });
  }

  /** Claims the key repeatedly until a claim is granted or refused, or the deadline expires. */
  async #claim(call: OnceCall, target: ClaimTarget): Promise<OnceAdmission> {
    const givenUp: number[] = [];
    let message: string = refusalMessages.silent;
    let backoffMs = minBackoffMs;
    for (;;) {
      const remainingMs = call.deadlineAt - performance.now();
      if (remainingMs <= 0 || call.signal.aborted)
        return refuseWithRetryAfter(504, 'may-have-run', message);
      const holder = this.#dependencies.attemptTable.open();
      const reply = await this.#requestClaim(
        target,
        holder,
        givenUp,
        Math.min(remainingMs, maxWaitMs),
      );
      const answer = reply?.answer;
      if (answer?.kind === 'granted' && this.#dependencies.attemptTable.start(holder)) {
        if (call.deadlineAt > performance.now() && !call.signal.aborted) {
          return { kind: 'run', settle: (outcome) => this.#settle(target, holder, outcome) };
        }
        this.#settle(target, holder, { verdict: 'not-run' });
        return refuseWithRetryAfter(504, 'not-run', refusalMessages.late);
      }
      this.#dependencies.attemptTable.abandon(holder);
      givenUp.push(holder.attempt);
      const admission = answer && toAdmission(answer);
      if (admission) return admission;
      if (!answer && !this.#dependencies.members.live.includes(target.findArbiter())) {
        return refuseWithRetryAfter(503, 'may-have-run', refusalMessages.unknown);
      }
      message = answer?.kind === 'busy' ? refusalMessages.busy : refusalMessages.silent;
      if (answer?.kind === 'busy') continue;
      // Without jitter, many callers would repeat their claims together after the arbiter changed.
      await sleep(backoffMs * (0.5 + systemRandom.next()));
      backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
    }
  }

  /**
   * Sends one claim to the arbiter of the key.
   *
   * @returns Undefined when no answer arrived; the claim may have been granted nevertheless.
   */
  async #requestClaim(
    target: ClaimTarget,
    holder: Holder,
    givenUp: readonly number[],
    waitMs: number,
  ): Promise<ClaimReply | undefined> {
    const { hub, members } = this.#dependencies;
    const { key, digest, shard } = target;
    const arbiter = target.findArbiter();
    const seen = shard === undefined ? undefined : this.#claimServer.findPosition(shard);
    if (arbiter === members.self) {
      const request = { key, digest, holder, givenUp, shard, waitMs };
      return { answer: await this.#claimServer.claim(request, seen) };
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
    const answer = await hub.request(arbiter, 'claim', body, waitMs + answerMarginMs);
    if (answer.isErr()) return undefined;
    const reply = answer.value as unknown as ClaimReply;
    if (shard !== undefined) this.#claimServer.recordPosition(shard, reply.mark);
    return reply;
  }

  #settle(target: ClaimTarget, holder: Holder, fullOutcome: OnceOutcome): void {
    const outcome = omitLargeResponse(fullOutcome);
    this.#dependencies.attemptTable.recordOutcome(holder, outcome);
    void this.#sendOutcome(target, holder, outcome);
  }

  /**
   * Sends the outcome of an attempt to the arbiter of the key. When every try fails, an arbiter
   * that needs the outcome inquires here.
   */
  async #sendOutcome(target: ClaimTarget, holder: Holder, outcome: Outcome): Promise<void> {
    const { hub, members } = this.#dependencies;
    const { key, shard } = target;
    for (let tries = 1; tries <= maxSettleTries; tries++) {
      const arbiter = target.findArbiter();
      if (arbiter === members.self) {
        this.#claimServer.settle(shard, key, holder, outcome);
        return;
      }
      const { attempt } = holder;
      const body = { key, attempt, outcome, ...(shard === undefined ? {} : { shard }) };
      const answer = await hub.request(arbiter, 'settle', body, settleTimeoutMs);
      if (answer.isOk()) return;
      await sleep(minBackoffMs);
    }
    this.#dependencies.metrics.recordEvent('once-settle-lost');
  }
}

/** @returns Undefined when the key has to be claimed again. */
function toAdmission(answer: ClaimAnswer): OnceAdmission | undefined {
  return match(answer)
    .returnType<OnceAdmission | undefined>()
    .with({ kind: 'settled' }, ({ answer: stored }) =>
      // Another instance may have stored the response.
      stored && isFinalStatus(stored.status)
        ? { kind: 'replay', answer: { ...stored, body: Buffer.from(stored.body) } }
        : refuseFinally(409, 'ran', refusalMessages.ran),
    )
    .with({ kind: 'mismatch' }, () => refuseFinally(422, 'not-run', refusalMessages.mismatch))
    .with({ kind: 'unknown' }, () => refuseFinally(409, 'may-have-run', refusalMessages.unknown))
    .with({ kind: 'refused' }, ({ fresh, reason }) =>
      refuseWithRetryAfter(
        503,
        fresh ? 'not-run' : 'may-have-run',
        `the key cannot be recorded: ${reason}`,
      ),
    )
    .with({ kind: 'busy' }, { kind: 'moved' }, { kind: 'granted' }, () => undefined)
    .exhaustive();
}

function refuseFinally(
  status: number,
  verdict: Refusal['verdict'],
  message: string,
): OnceAdmission {
  return { kind: 'refuse', refusal: { status, verdict, message } };
}

function refuseWithRetryAfter(
  status: number,
  verdict: Refusal['verdict'],
  message: string,
): OnceAdmission {
  return { kind: 'refuse', refusal: { status, verdict, message, retryAfterSeconds: 1 } };
}

/** Removes a response whose body is too large to store. */
function omitLargeResponse(outcome: OnceOutcome): OnceOutcome {
  if (outcome.verdict !== 'ran' || !outcome.answer) return outcome;
  const answer: StoredResponse | undefined =
    outcome.answer.body.length <= maxStoredBodyBytes ? outcome.answer : undefined;
  return { verdict: 'ran', ...(answer ? { answer } : {}) };
}

function hashFields(fields: readonly string[]): string {
  // With 144 bits, callers cannot find two keys that have the same hash.
  return createHash('sha256').update(JSON.stringify(fields)).digest().toString('base64url', 0, 18);
}

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
