import type { Clock } from '@dotterelpass/values';
import { match } from 'ts-pattern';
import type { AttemptInquiry, Claim, ClaimAnswer, Holder, Outcome } from './claim.js';
import { isBehind } from './journal.js';
import type { Journal, JournalFailure, JournalPosition, JournalRecord } from './journal.js';
import { sleepFor } from './sleep.js';
import { ClaimTable } from './table.js';
import type { TableLimits } from './table.js';

export interface ArbiterOptions {
  /** How long a recorded key is kept, in milliseconds. */
  readonly retentionMs: number;
  /** Interval between inquiries about a running attempt while a claim waits, in milliseconds. */
  readonly inquiryIntervalMs: number;
  readonly limits: Partial<TableLimits>;
  /** Called with each failure of the journal. */
  readonly onFailure: (failure: JournalFailure) => void;
  /**
   * Asks the other instances whether another arbiter may have taken over the shard. Only a definite
   * `false` lets a refusal during an outage state that the request was not executed.
   */
  readonly mayBeReplaced: (position: JournalPosition) => Promise<boolean>;
  readonly sleep: (ms: number) => Promise<void>;
}

const defaultOptions: ArbiterOptions = {
  retentionMs: 25 * 3_600_000,
  inquiryIntervalMs: 300,
  limits: {},
  onFailure: () => undefined,
  mayBeReplaced: async () => Promise.resolve(false),
  sleep: sleepFor,
};

/** Grants the keys of one shard, as long as the journal of the shard accepts its writes. */
export class Arbiter {
  readonly #journal: Journal;

  readonly #inquire: AttemptInquiry;

  readonly #clock: Clock;

  readonly #options: ArbiterOptions;

  #table: ClaimTable | undefined;

  #takeOverInProgress: Promise<JournalFailure | undefined> | undefined;

  /**
   * @param journal - The journal of the shard, used by this arbiter only.
   * @param inquire - Asks executors about their attempts.
   * @param clock - Source of time.
   */
  constructor(
    journal: Journal,
    inquire: AttemptInquiry,
    clock: Clock,
    options: Partial<ArbiterOptions> = {},
  ) {
    this.#journal = journal;
    this.#inquire = inquire;
    this.#clock = clock;
    this.#options = { ...defaultOptions, ...options };
  }

  /** Position of the last write that is confirmed; undefined while the shard is not held. */
  get position(): JournalPosition | undefined {
    return this.#table ? this.#journal.position : undefined;
  }

  /** Number of recorded keys. */
  get size(): number {
    return this.#table?.size ?? 0;
  }

  /**
   * Takes over the shard unless this arbiter holds it already.
   *
   * @param seen - Newest journal position that any instance has reported.
   * @returns The failure, if the shard is not held now.
   */
  async acquire(seen?: JournalPosition): Promise<JournalFailure | undefined> {
    const { position } = this;
    if (position && !(seen && isBehind(position, seen))) return undefined;
    this.#takeOverInProgress ??= this.#takeOver(seen).finally(() => {
      this.#takeOverInProgress = undefined;
    });
    return this.#takeOverInProgress;
  }

  /** Stops deciding about the shard; waiting claims are answered with `moved`. */
  release(): void {
    const table = this.#table;
    this.#table = undefined;
    table?.wakeAll();
  }

  /**
   * Decides about a claim.
   *
   * @param claim - The claim, with an attempt number that no other claim has.
   * @param signal - Ends the wait for another attempt or for the journal.
   * @param seen - Newest journal position that the claiming instance has seen.
   * @returns The answer; the attempt is over unless it is `granted`.
   */
  async claim(claim: Claim, signal: AbortSignal, seen?: JournalPosition): Promise<ClaimAnswer> {
    const failure = await this.acquire(seen);
    if (failure) return this.#refuse(failure);
    const table = this.#table;
    while (table && table === this.#table) {
      const decision = table.claim(claim, this.#clock.now() + this.#options.retentionMs);
      const answer = await match(decision)
        .returnType<Promise<ClaimAnswer | undefined>>()
        .with({ kind: 'fresh' }, async () => this.#recordGrant(table, claim, signal))
        .with({ kind: 'full' }, async () =>
          this.#refuseUnexecuted('the shard has reached its limit of recorded keys'),
        )
        .with({ kind: 'wait' }, async ({ entry }) => {
          if (signal.aborted) return { kind: 'busy' };
          await this.#waitForAttempt(table, claim.key, entry, signal);
          return undefined;
        })
        .otherwise(async (final) => Promise.resolve(final));
      if (answer) return answer;
    }
    return { kind: 'moved' };
  }

  /** @returns Whether a key is recorded. */
  has(key: string): boolean {
    return this.#table?.find(key) !== undefined;
  }

  /** Records how an attempt ended. */
  recordOutcome(key: string, holder: Holder, outcome: Outcome): void {
    this.#table?.recordOutcome(key, holder, outcome);
  }

  /** Removes expired keys and cached responses. */
  removeExpired(): void {
    this.#table?.removeExpired();
  }

  async #takeOver(seen: JournalPosition | undefined): Promise<JournalFailure | undefined> {
    this.release();
    const records = await this.#journal.takeOver(seen);
    if (records.isErr()) {
      this.#options.onFailure(records.error);
      return records.error;
    }
    const table = new ClaimTable(this.#clock, this.#options.limits);
    records.value.forEach((record) => this.#restore(table, record));
    this.#table = table;
    return undefined;
  }

  #restore(table: ClaimTable, { key, digest, holder, atMs }: JournalRecord): void {
    const remainingMs = atMs + this.#options.retentionMs - this.#clock.readWallTime();
    if (remainingMs > 0) table.restore(key, digest, holder, this.#clock.now() + remainingMs);
  }

  /**
   * Writes a grant to the journal. Every grant needs its own successful write, since the table in
   * memory is out of date once another arbiter has taken over.
   */
  async #recordGrant(table: ClaimTable, claim: Claim, signal: AbortSignal): Promise<ClaimAnswer> {
    const { key, digest, holder } = claim;
    const committed = this.#journal
      .commit({ key, digest, holder, atMs: this.#clock.readWallTime() })
      .then((result) => {
        // The grant is not sent for this attempt, whether or not its record is stored.
        if (result.isErr() || signal.aborted)
          table.recordOutcome(key, holder, { verdict: 'not-run' });
        if (result.isErr()) this.#handleFailure(result.error);
        return result.map(() => table.grant(key, holder));
      });
    const result = await Promise.race([committed, waitForAbort(signal)]);
    if (result?.isOk() && result.value) return { kind: 'granted' };
    if (result?.isErr() && result.error.kind === 'fenced') return { kind: 'moved' };
    return this.#refuseUnexecuted(
      result?.isErr() ? result.error.message : 'the journal write did not finish in time',
    );
  }

  /**
   * Refuses a claim of a key that has not been executed according to this arbiter. The refusal says
   * so only when no other arbiter can have taken over.
   */
  async #refuseUnexecuted(reason: string): Promise<ClaimAnswer> {
    const { position } = this.#journal;
    const fresh = position !== undefined && !(await this.#options.mayBeReplaced(position));
    return { kind: 'refused', fresh, reason };
  }

  /** Waits until an attempt ends, and asks its executor when no change has been reported lately. */
  async #waitForAttempt(
    table: ClaimTable,
    key: string,
    entry: { readonly state: string; readonly holder: Holder; readonly changedAt: number },
    signal: AbortSignal,
  ): Promise<void> {
    // An inquiry that arrives before a recent grant would make the executor abandon the attempt.
    const unchangedMs = this.#clock.now() - entry.changedAt;
    if (entry.state === 'running' && unchangedMs >= this.#options.inquiryIntervalMs) {
      const status = await this.#inquire(entry.holder);
      if (status.kind === 'ended') table.recordOutcome(key, entry.holder, status.outcome);
      if (status.kind === 'gone')
        table.recordOutcome(key, entry.holder, { verdict: 'may-have-run' });
      if (status.kind === 'ended' || status.kind === 'gone') return;
    }
    const waitEnd = new AbortController();
    const endWait = () => waitEnd.abort();
    signal.addEventListener('abort', endWait);
    void this.#options.sleep(this.#options.inquiryIntervalMs).then(endWait);
    await table.waitForChange(key, waitEnd.signal);
    signal.removeEventListener('abort', endWait);
  }

  #refuse(failure: JournalFailure): ClaimAnswer {
    if (failure.kind === 'fenced') return { kind: 'moved' };
    // Without the journal's records it is unknown whether a request with the key was executed.
    return { kind: 'refused', fresh: false, reason: failure.message };
  }

  #handleFailure(failure: JournalFailure): void {
    this.#options.onFailure(failure);
    // After `went-back` the table in memory holds records that the store has lost, so it is kept.
    if (failure.kind === 'fenced') this.release();
  }
}

async function waitForAbort(signal: AbortSignal): Promise<undefined> {
  if (signal.aborted) return;
  await new Promise<void>((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
