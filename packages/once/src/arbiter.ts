import type { Clock } from '@dotterelpass/values';
import { match } from 'ts-pattern';
import type { Claim, ClaimAnswer, Holder, Inquire, Outcome } from './claim.js';
import { isBehind } from './journal.js';
import type { Journal, JournalFailure, JournalRecord, JournalPosition } from './journal.js';
import { sleepFor } from './sleep.js';
import { ClaimTable } from './table.js';
import type { TableLimits } from './table.js';

export interface ArbiterOptions {
  /** Time that a recorded key is known, in milliseconds. */
  readonly retentionMs: number;
  /** An attempt that runs is asked about this often while a re-send waits, in milliseconds. */
  readonly inquireMs: number;
  readonly limits: Partial<TableLimits>;
  /** Called with each failure of the journal. */
  readonly onFailure: (failure: JournalFailure) => void;
  /**
   * Asks the other instances whether this arbiter may have been replaced. Only a certain `false`
   * lets a refusal during an outage say that nothing ran.
   */
  readonly mayBeReplaced: (mark: JournalPosition) => Promise<boolean>;
  readonly sleep: (ms: number) => Promise<void>;
}

const defaultOptions: ArbiterOptions = {
  retentionMs: 25 * 3_600_000,
  inquireMs: 300,
  limits: {},
  onFailure: () => undefined,
  mayBeReplaced: async () => Promise.resolve(false),
  sleep: sleepFor,
};

/** Decides about the keys of one shard, as long as the journal accepts its writes. */
export class Arbiter {
  readonly #journal: Journal;

  readonly #inquire: Inquire;

  readonly #clock: Clock;

  readonly #options: ArbiterOptions;

  #table: ClaimTable | undefined;

  #takingOver: Promise<JournalFailure | undefined> | undefined;

  /**
   * @param journal - The journal of the shard, used by this arbiter only.
   * @param inquire - Asks executors about their attempts.
   * @param clock - Source of time.
   */
  constructor(
    journal: Journal,
    inquire: Inquire,
    clock: Clock,
    options: Partial<ArbiterOptions> = {},
  ) {
    this.#journal = journal;
    this.#inquire = inquire;
    this.#clock = clock;
    this.#options = { ...defaultOptions, ...options };
  }

  /** Position of the last write known to have taken effect. */
  get position(): JournalPosition | undefined {
    return this.#table ? this.#journal.mark : undefined;
  }

  /** Keys that are known. */
  get size(): number {
    return this.#table?.size ?? 0;
  }

  /**
   * Takes the shard over unless it is held already.
   *
   * @param seen - Position that some instance has seen.
   * @returns The failure, if the shard is not held now.
   */
  async acquire(seen?: JournalPosition): Promise<JournalFailure | undefined> {
    const { position: mark } = this;
    if (mark && !(seen && isBehind(mark, seen))) return undefined;
    this.#takingOver ??= this.#takeOver(seen).finally(() => {
      this.#takingOver = undefined;
    });
    return this.#takingOver;
  }

  /** Gives the shard up; claims that wait are told to ask again. */
  release(): void {
    const table = this.#table;
    this.#table = undefined;
    table?.end();
  }

  /**
   * Decides about a claim.
   *
   * @param claim - The claim, with an attempt number of its own.
   * @param signal - Ends the wait for another attempt or for the journal.
   * @param seen - The newest position that the asker knows.
   * @returns The answer; unless it is `granted`, the attempt is over.
   */
  async claim(claim: Claim, signal: AbortSignal, seen?: JournalPosition): Promise<ClaimAnswer> {
    const failure = await this.acquire(seen);
    if (failure) return this.#refuse(failure);
    const table = this.#table;
    while (table && table === this.#table) {
      const decision = table.claim(claim, this.#clock.now() + this.#options.retentionMs);
      const answer = await match(decision)
        .returnType<Promise<ClaimAnswer | undefined>>()
        .with({ kind: 'fresh' }, async () => this.#record(table, claim, signal))
        .with({ kind: 'full' }, async () => this.#refuseKnown('the shard knows too many keys'))
        .with({ kind: 'wait' }, async ({ entry }) => {
          if (signal.aborted) return { kind: 'busy' };
          await this.#follow(table, claim.key, entry, signal);
          return undefined;
        })
        .otherwise(async (final) => Promise.resolve(final));
      if (answer) return answer;
    }
    return { kind: 'moved' };
  }

  /** @returns Whether a key is known. */
  has(key: string): boolean {
    return this.#table?.find(key) !== undefined;
  }

  /** Records how an attempt ended. */
  recordOutcome(key: string, holder: Holder, outcome: Outcome): void {
    this.#table?.recordOutcome(key, holder, outcome);
  }

  /** Drops what is no longer needed. */
  removeExpired(): void {
    this.#table?.expire();
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
    const leftMs = atMs + this.#options.retentionMs - this.#clock.wall();
    if (leftMs > 0) table.restore(key, digest, holder, this.#clock.now() + leftMs);
  }

  /** Every grant needs a write of its own: what is in memory may be out of date. */
  async #record(table: ClaimTable, claim: Claim, signal: AbortSignal): Promise<ClaimAnswer> {
    const { key, digest, holder } = claim;
    const committed = this.#journal
      .commit({ key, digest, holder, atMs: this.#clock.wall() })
      .then((result) => {
        // No grant goes out for this attempt, whether or not its record is stored.
        if (result.isErr() || signal.aborted)
          table.recordOutcome(key, holder, { verdict: 'not-run' });
        if (result.isErr()) this.#fail(result.error);
        return result.map(() => table.grant(key, holder));
      });
    const result = await Promise.race([committed, waitForAbort(signal)]);
    if (result?.isOk() && result.value) return { kind: 'granted' };
    if (result?.isErr() && result.error.kind === 'fenced') return { kind: 'moved' };
    return this.#refuseKnown(result?.isErr() ? result.error.message : 'the journal is slow');
  }

  /** Refuses a key that this arbiter knows not to have run, unless it has been replaced. */
  async #refuseKnown(reason: string): Promise<ClaimAnswer> {
    const { mark } = this.#journal;
    const fresh = mark !== undefined && !(await this.#options.mayBeReplaced(mark));
    return { kind: 'refused', fresh, reason };
  }

  /** Waits for news of an attempt, and asks its executor when there is none. */
  async #follow(
    table: ClaimTable,
    key: string,
    entry: { readonly state: string; readonly holder: Holder; readonly changedAt: number },
    signal: AbortSignal,
  ): Promise<void> {
    // A grant on its way must not be overtaken by the question, which would end the attempt.
    const silentMs = this.#clock.now() - entry.changedAt;
    if (entry.state === 'running' && silentMs >= this.#options.inquireMs) {
      const account = await this.#inquire(entry.holder);
      if (account.kind === 'ended') table.recordOutcome(key, entry.holder, account.outcome);
      if (account.kind === 'gone')
        table.recordOutcome(key, entry.holder, { verdict: 'may-have-run' });
      if (account.kind === 'ended' || account.kind === 'gone') return;
    }
    const ended = new AbortController();
    const end = () => ended.abort();
    signal.addEventListener('abort', end);
    void this.#options.sleep(this.#options.inquireMs).then(end);
    await table.waitForChange(key, ended.signal);
    signal.removeEventListener('abort', end);
  }

  #refuse(failure: JournalFailure): ClaimAnswer {
    if (failure.kind === 'fenced') return { kind: 'moved' };
    // Without the records nobody knows whether the key has run.
    return { kind: 'refused', fresh: false, reason: failure.message };
  }

  #fail(failure: JournalFailure): void {
    this.#options.onFailure(failure);
    // After `went-back` the memory holds what the store has lost, so it is kept.
    if (failure.kind === 'fenced') this.release();
  }
}

async function waitForAbort(signal: AbortSignal): Promise<undefined> {
  if (signal.aborted) return;
  await new Promise<void>((resolve) => {
    signal.addEventListener('abort', () => resolve(), { once: true });
  });
}
