import { changeSchema } from '@dotterelpass/configuration';
import type { Change } from '@dotterelpass/configuration';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { StatementParser } from './grammar.js';
import type { RawStatement } from './grammar.js';
import { keywords, lexer } from './tokens.js';

/** A statement that can be run. */
export type Statement =
  Exclude<RawStatement, { kind: 'change' }> | { readonly kind: 'change'; readonly change: Change };

const parser = new StatementParser();

/**
 * Reads statements, one a line.
 *
 * @param source - Lines; empty ones and those with only a comment are skipped.
 * @returns The statements, or a message with the first wrong line and a caret below the place.
 */
export function readStatements(source: string): Result<readonly Statement[], string> {
  const statements: Statement[] = [];
  for (const [index, line] of source.split('\n').entries()) {
    const statement = readLine(line, index + 1);
    if (statement.isErr()) return err(statement.error);
    if (statement.value) statements.push(statement.value);
  }
  return ok(statements);
}

/**
 * Lists the words that can come next.
 *
 * @param line - The line up to the cursor.
 * @returns Keywords that begin with the last word of the line, and that word.
 */
export function listCompletions(line: string): [string[], string] {
  const start = /\S*$/.exec(line)?.[0] ?? '';
  const { tokens } = lexer.tokenize(line.slice(0, line.length - start.length));
  const next = parser.computeContentAssist('statement', tokens);
  const names = next.map(({ nextTokenType }) => nextTokenType.LABEL ?? '');
  const fitting = names.filter((name) => keywords.has(name) && name.startsWith(start));
  return [[...new Set(fitting)], start];
}

function readLine(line: string, number: number): Result<Statement | undefined, string> {
  const { tokens, errors } = lexer.tokenize(line);
  const [wrong] = errors;
  if (wrong)
    return err(writeError(line, number, wrong.offset, 'this character has no meaning here'));
  const [first] = tokens;
  if (!first) return ok(undefined);
  parser.input = tokens;
  const raw = parser.statement();
  const [failure] = parser.errors;
  if (failure) {
    // The end of the line has no position of its own.
    const offset = Number.isNaN(failure.token.startOffset)
      ? line.replace(/\s*(?:#.*)?$/, '').length
      : failure.token.startOffset;
    return err(writeError(line, number, offset, failure.message));
  }
  if (raw.kind !== 'change') return ok(raw);
  const change = changeSchema.safeParse(raw.change);
  if (change.success) return ok({ kind: 'change', change: change.data });
  const message = z
    .prettifyError(change.error)
    .replaceAll(/\s*\n\s*/g, ' ')
    .replaceAll('✖ ', '');
  return err(writeError(line, number, first.startOffset, message));
}

function writeError(line: string, number: number, offset: number, message: string): string {
  return `line ${number}, column ${offset + 1}: ${message}\n  ${line}\n  ${' '.repeat(offset)}^`;
}
