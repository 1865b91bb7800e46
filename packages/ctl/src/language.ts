import { changeSchema } from '@dotterelpass/configuration';
import type { Change } from '@dotterelpass/configuration';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { StatementParser } from './grammar.js';
import type { RawStatement } from './grammar.js';
import { keywords, lexer } from './tokens.js';

/** A statement whose change has been validated. */
export type Statement =
  Exclude<RawStatement, { kind: 'change' }> | { readonly kind: 'change'; readonly change: Change };

const parser = new StatementParser();

/**
 * Parses statements, one per line.
 *
 * @param source - The lines. Empty lines and lines with only a comment are skipped.
 * @returns The statements, or an error message that shows the first invalid line with a caret
 * below the position of the error.
 */
export function parseStatements(source: string): Result<readonly Statement[], string> {
  const statements: Statement[] = [];
  for (const [index, line] of source.split('\n').entries()) {
    const statement = parseLine(line, index + 1);
    if (statement.isErr()) return err(statement.error);
    if (statement.value) statements.push(statement.value);
  }
  return ok(statements);
}

/**
 * Completes the last word of a line.
 *
 * @param line - The line up to the cursor.
 * @returns Keywords that are valid at the cursor and begin with the last word, and the last word.
 */
export function listCompletions(line: string): [string[], string] {
  const prefix = /\S*$/.exec(line)?.[0] ?? '';
  const { tokens } = lexer.tokenize(line.slice(0, line.length - prefix.length));
  const suggestions = parser.computeContentAssist('statement', tokens);
  const names = suggestions.map(({ nextTokenType }) => nextTokenType.LABEL ?? '');
  const matching = names.filter((name) => keywords.has(name) && name.startsWith(prefix));
  return [[...new Set(matching)], prefix];
}

function parseLine(line: string, lineNumber: number): Result<Statement | undefined, string> {
  const { tokens, errors } = lexer.tokenize(line);
  const [lexingError] = errors;
  if (lexingError)
    return err(
      formatError(line, lineNumber, lexingError.offset, 'this character has no meaning here'),
    );
  const [firstToken] = tokens;
  if (!firstToken) return ok(undefined);
  parser.input = tokens;
  const raw = parser.statement();
  const [syntaxError] = parser.errors;
  if (syntaxError) {
    // The end-of-input token has no offset; the error is shown after the last token.
    const offset = Number.isNaN(syntaxError.token.startOffset)
      ? line.replace(/\s*(?:#.*)?$/, '').length
      : syntaxError.token.startOffset;
    return err(formatError(line, lineNumber, offset, syntaxError.message));
  }
  if (raw.kind !== 'change') return ok(raw);
  const change = changeSchema.safeParse(raw.change);
  if (change.success) return ok({ kind: 'change', change: change.data });
  const message = z
    .prettifyError(change.error)
    .replaceAll(/\s*\n\s*/g, ' ')
    .replaceAll('✖ ', '');
  return err(formatError(line, lineNumber, firstToken.startOffset, message));
}

function formatError(line: string, lineNumber: number, offset: number, message: string): string {
  return `line ${lineNumber}, column ${offset + 1}: ${message}\n  ${line}\n  ${' '.repeat(offset)}^`;
}
