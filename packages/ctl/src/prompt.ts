import { createInterface } from 'node:readline/promises';
import { listCompletions } from './language.js';
import type { Session } from './session.js';
import { exitCodes } from './session.js';

const historySize = 500;

/**
 * Runs an interactive prompt with history and completion until the input ends or `exit` is
 * entered.
 *
 * @param session - Runs the statements.
 * @returns The exit code of the last statement.
 */
export async function runPrompt(session: Session): Promise<number> {
  const terminal = createInterface({
    input: process.stdin,
    output: process.stdout,
    completer: listCompletions,
    historySize,
    removeHistoryDuplicates: true,
    prompt: process.stdin.isTTY ? 'dotterelpass> ' : '',
  });
  let exitCode: number = exitCodes.done;
  terminal.prompt();
  for await (const line of terminal) {
    if (line.trim() === 'exit') break;
    exitCode = await session.runStatements(line);
    terminal.prompt();
  }
  terminal.close();
  return exitCode;
}
