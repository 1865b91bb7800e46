import { createInterface } from 'node:readline/promises';
import { listCompletions } from './language.js';
import type { Session } from './session.js';
import { exitCodes } from './session.js';

const historySize = 500;

/**
 * Runs statements that are typed in, until the input ends. History and completion are those of
 * the terminal.
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
  let code: number = exitCodes.done;
  terminal.prompt();
  for await (const line of terminal) {
    if (line.trim() === 'exit') break;
    code = await session.run(line);
    terminal.prompt();
  }
  terminal.close();
  return code;
}
