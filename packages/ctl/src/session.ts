import { randomUUID } from 'node:crypto';
import type { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import type { NoReply, OperatorClient, OperatorReply } from './client.js';
import type { Statement } from './language.js';
import { readStatements } from './language.js';
import { pickRows, writeTable } from './print.js';
import type { Row } from './print.js';

/** Exit codes of the program. */
export const exitCodes = { done: 0, failed: 1, syntax: 2, undecided: 3, waiting: 4 } as const;

const pollMs = 100;

/** How statements are run and shown. */
export interface SessionOptions {
  readonly author: string;
  /** Prints JSON instead of tables and sentences. */
  readonly json: boolean;
  /** Waits after each accepted command until every instance has it in force. */
  readonly wait: boolean;
  /** Longest such wait, in milliseconds. */
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
   * Runs statements in turn, until one fails. Nothing is run when one has a syntax error.
   *
   * @param source - One statement a line.
   * @returns The exit code.
   */
  async run(source: string): Promise<number> {
    const statements = readStatements(source);
    if (statements.isErr()) {
      this.#options.printError(statements.error);
      return exitCodes.syntax;
    }
    for (const statement of statements.value) {
      const code = await this.#runOne(statement);
      if (code !== exitCodes.done) return code;
    }
    return exitCodes.done;
  }

  async #runOne(statement: Statement): Promise<number> {
    return match(statement)
      .with({ kind: 'show' }, ({ subject, where }) => this.#listRows(subject, where))
      .with({ kind: 'change' }, async ({ change }) => {
        const { author, expectedRevision } = this.#options;
        const commandId = randomUUID();
        const command = { commandId, author, command: change, expectedRevision };
        const reply = await this.#client.sendCommand(command);
        return this.#writeOutcome(reply, `settle ${commandId} for ${change.service}`);
      })
      .with({ kind: 'settle' }, async ({ commandId, service }) =>
        this.#writeOutcome(await this.#client.settle(commandId, service), `settle ${commandId}`),
      )
      .with({ kind: 'lift' }, async ({ fingerprint }) =>
        this.#writeOutcome(await this.#client.liftBan(fingerprint), `lift ban ${fingerprint}`),
      )
      .exhaustive();
  }

  async #listRows(
    subject: string,
    where: Extract<Statement, { kind: 'show' }>['where'],
  ): Promise<number> {
    const reply = await this.#client.list(subject);
    if (reply.isErr() || reply.value.status !== 200) {
      return this.#writeOutcome(reply, `show ${subject}`);
    }
    try {
      const rows = pickRows(reply.value.body.rows as readonly Row[], where);
      this.#options.print(this.#options.json ? JSON.stringify(rows) : writeTable(rows));
      return exitCodes.done;
    } catch (error) {
      if (!(error instanceof RangeError)) throw error;
      this.#options.printError(error.message);
      return exitCodes.failed;
    }
  }

  /**
   * Tells what came of a statement.
   *
   * @param again - Statement that finds out what became of it when there is no answer.
   */
  async #writeOutcome(reply: Result<OperatorReply, NoReply>, again: string): Promise<number> {
    const { json, print, printError } = this.#options;
    if (reply.isErr()) {
      const undecided = reply.error.kind === 'lost';
      const outcome = undecided ? `undecided, run "${again}"` : 'nothing was sent';
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
        ? this.#waitForAll(String(service), Number(revision))
        : exitCodes.done;
    }
    if (kind === 'lifted') {
      if (!json) print(`lifted: ${String(body.fingerprint)}`);
      return exitCodes.done;
    }
    const outcome = String(kind ?? body.error ?? `status ${reply.value.status}`);
    const reason = body.reason === undefined ? '' : ` (${String(body.reason)})`;
    if (!json) printError(`${outcome}${reason}: ${String(message)}`);
    const open = kind === 'undecided' || kind === 'unknown';
    if (open && !json) printError(`to settle it: ${String(body.settle)}`);
    return open ? exitCodes.undecided : exitCodes.failed;
  }

  async #waitForAll(service: string, revision: number): Promise<number> {
    const endAt = performance.now() + this.#options.timeoutMs;
    let missing: readonly string[] = [];
    do {
      const reply = await this.#client.list('instances');
      const rows = reply.isOk() ? ((reply.value.body.rows ?? []) as readonly Row[]) : undefined;
      missing = rows
        ? rows
            .filter((row) => !hasRevision(row, service, revision))
            .map(({ instance }) => String(instance))
        : ['all instances'];
      if (missing.length === 0) return exitCodes.done;
      await new Promise((resolve) => {
        setTimeout(resolve, pollMs);
      });
    } while (performance.now() < endAt);
    this.#options.printError(
      `${service} revision ${revision} is accepted, but not in force yet on ${missing.join(', ')}`,
    );
    return exitCodes.waiting;
  }
}

function hasRevision({ revisions }: Row, service: string, revision: number): boolean {
  const held = (revisions as Readonly<Record<string, number>> | undefined)?.[service];
  return held !== undefined && held >= revision;
}
