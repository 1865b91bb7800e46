import { randomUUID } from 'node:crypto';
import type { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import type { OperatorClient, OperatorReply, RequestFailure } from './client.js';
import type { Statement } from './language.js';
import { parseStatements } from './language.js';
import { filterRows, formatTable } from './print.js';
import type { Row } from './print.js';

/**
 * Exit codes of the program. `undecided` means that the outcome of a statement is not known, and
 * `waiting` that an accepted command was not in force on every instance within the timeout.
 */
export const exitCodes = { done: 0, failed: 1, syntax: 2, undecided: 3, waiting: 4 } as const;

const pollIntervalMs = 100;

/** Options for running statements and printing their results. */
export interface SessionOptions {
  readonly author: string;
  /** Prints JSON instead of tables and messages. */
  readonly json: boolean;
  /** Waits after each accepted command until every instance has it in force. */
  readonly wait: boolean;
  /** Longest wait for all instances, in milliseconds. */
  readonly timeoutMs: number;
  readonly expectedRevision?: number | undefined;
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
}

/** Runs statements of the command language. */
export class Session {
  readonly #client: OperatorClient;

  readonly #options: SessionOptions;

  constructor(client: OperatorClient, options: SessionOptions) {
    this.#client = client;
    this.#options = options;
  }

  /**
   * Runs statements in order until one fails. When a statement has a syntax error, none is run.
   *
   * @param source - The statements, one per line.
   * @returns The exit code.
   */
  async runStatements(source: string): Promise<number> {
    const statements = parseStatements(source);
    if (statements.isErr()) {
      this.#options.printError(statements.error);
      return exitCodes.syntax;
    }
    for (const statement of statements.value) {
      const exitCode = await this.#runStatement(statement);
      if (exitCode !== exitCodes.done) return exitCode;
    }
    return exitCodes.done;
  }

  async #runStatement(statement: Statement): Promise<number> {
    return match(statement)
      .with({ kind: 'show' }, ({ subject, where }) => this.#listRows(subject, where))
      .with({ kind: 'change' }, async ({ change }) => {
        const { author, expectedRevision } = this.#options;
        const commandId = randomUUID();
        const command = { commandId, author, command: change, expectedRevision };
        const reply = await this.#client.sendCommand(command);
        return this.#printOutcome(reply, `settle ${commandId} for ${change.service}`);
      })
      .with({ kind: 'settle' }, async ({ commandId, service }) =>
        this.#printOutcome(await this.#client.settle(commandId, service), `settle ${commandId}`),
      )
      .with({ kind: 'lift' }, async ({ fingerprint }) =>
        this.#printOutcome(await this.#client.liftBan(fingerprint), `lift ban ${fingerprint}`),
      )
      .exhaustive();
  }

  async #listRows(
    subject: string,
    where: Extract<Statement, { kind: 'show' }>['where'],
  ): Promise<number> {
    const reply = await this.#client.list(subject);
    if (reply.isErr() || reply.value.status !== 200) {
      return this.#printOutcome(reply, `show ${subject}`);
    }
    try {
      const rows = filterRows(reply.value.body.rows as readonly Row[], where);
      this.#options.print(this.#options.json ? JSON.stringify(rows) : formatTable(rows));
      return exitCodes.done;
    } catch (error) {
      if (!(error instanceof RangeError)) throw error;
      this.#options.printError(error.message);
      return exitCodes.failed;
    }
  }

  /**
   * Prints the outcome of a statement.
   *
   * @param followUp - Statement that the operator is asked to run when the response was lost.
   * @returns The exit code.
   */
  async #printOutcome(
    reply: Result<OperatorReply, RequestFailure>,
    followUp: string,
  ): Promise<number> {
    const { json, print, printError } = this.#options;
    if (reply.isErr()) {
      const undecided = reply.error.kind === 'lost';
      const outcome = undecided ? `undecided, run "${followUp}"` : 'nothing was sent';
      printError(`${outcome}: ${reply.error.message}`);
      return undecided ? exitCodes.undecided : exitCodes.failed;
    }
    const { body } = reply.value;
    if (json) print(JSON.stringify(body));
    const { kind, message, commandId, revision, service } = body;
    if (kind === 'accepted') {
      const notes = (body.notes ?? []) as readonly string[];
      const line = `accepted: ${String(service)} revision ${String(revision)} (${String(commandId)})`;
      if (!json) [line, ...notes].forEach((text) => print(text));
      return this.#options.wait
        ? this.#waitForRevision(String(service), Number(revision))
        : exitCodes.done;
    }
    if (kind === 'lifted') {
      if (!json) print(`lifted: ${String(body.fingerprint)}`);
      return exitCodes.done;
    }
    const outcome = String(kind ?? body.error ?? `status ${reply.value.status}`);
    const reason = body.reason === undefined ? '' : ` (${String(body.reason)})`;
    if (!json) printError(`${outcome}${reason}: ${String(message)}`);
    const isUndecided = kind === 'undecided' || kind === 'unknown';
    if (isUndecided && !json) printError(`to settle it: ${String(body.settle)}`);
    return isUndecided ? exitCodes.undecided : exitCodes.failed;
  }

  /** Polls the instances until all have the revision in force or the timeout expires. */
  async #waitForRevision(service: string, revision: number): Promise<number> {
    const deadline = performance.now() + this.#options.timeoutMs;
    let missingInstances: readonly string[] = [];
    do {
      const reply = await this.#client.list('instances');
      const rows = reply.isOk() ? ((reply.value.body.rows ?? []) as readonly Row[]) : undefined;
      missingInstances = rows
        ? rows
            .filter((row) => !hasRevision(row, service, revision))
            .map(({ instance }) => String(instance))
        : ['all instances'];
      if (missingInstances.length === 0) return exitCodes.done;
      await new Promise((resolve) => {
        setTimeout(resolve, pollIntervalMs);
      });
    } while (performance.now() < deadline);
    this.#options.printError(
      `${service} revision ${revision} is accepted, but not in force yet on ${missingInstances.join(', ')}`,
    );
    return exitCodes.waiting;
  }
}

function hasRevision({ revisions }: Row, service: string, revision: number): boolean {
  const appliedRevision = (revisions as Readonly<Record<string, number>> | undefined)?.[service];
  return appliedRevision !== undefined && appliedRevision >= revision;
}
