import { Lexer, createToken } from 'chevrotain';
import type { TokenType } from 'chevrotain';

/** A name, number, address or path. Keywords are in this category, so they are valid names. */
export const Word = createToken({
  name: 'Word',
  label: 'a word',
  pattern: /[^\s,=!;#"<>]+/,
});

export const Quoted = createToken({
  name: 'Quoted',
  label: 'a quoted word',
  pattern: /"(?:[^"\\]|\\.)*"/,
  categories: [Word],
});

export const Comma = createToken({ name: 'Comma', label: ',', pattern: ',' });
export const NotEqual = createToken({ name: 'NotEqual', label: '!=', pattern: '!=' });
export const Equal = createToken({ name: 'Equal', label: '=', pattern: '=' });
export const LessThan = createToken({ name: 'LessThan', label: '<', pattern: '<' });
export const GreaterThan = createToken({ name: 'GreaterThan', label: '>', pattern: '>' });

const whitespace = createToken({ name: 'Whitespace', pattern: /[ \t\r]+/, group: Lexer.SKIPPED });
const comment = createToken({ name: 'Comment', pattern: /#.*/, group: Lexer.SKIPPED });

/** Subjects of the `show` statement. */
export const subjects = [
  'services',
  'endpoints',
  'instances',
  'rules',
  'routes',
  'tenants',
  'decisions',
  'suspects',
] as const;

const keywordTexts = [
  ...['show', 'where', 'and', 'create', 'remove', 'add', 'drain', 'stop', 'set', 'restore'],
  ...['lift', 'ban', 'settle', 'service', 'endpoint', 'rule', 'route', 'tenant', 'limits'],
  ...['of', 'to', 'from', 'for', 'at', 'in', 'host', 'before', 'slots', 'connections', 'weight'],
  ...['methods', 'path', 'repeat', 'statuses', 'failures', 'attempts', 'deadline', 'priority'],
  ...['hedge', 'body', 'queue', 'min-pool-share', 'probes-per-second'],
  ...subjects,
];

/** Token types of the keywords, by keyword. */
export const keywords: ReadonlyMap<string, TokenType> = new Map(
  keywordTexts.map((word) => [
    word,
    createToken({
      name: `Key ${word}`,
      label: word,
      pattern: word,
      longer_alt: Word,
      categories: [Word],
    }),
  ]),
);

/**
 * All token types. The lexer picks the first type that matches, so a keyword stands before the
 * keywords that are its prefixes.
 */
export const allTokens: TokenType[] = [
  whitespace,
  comment,
  Quoted,
  NotEqual,
  Equal,
  LessThan,
  GreaterThan,
  Comma,
  ...[...keywords].sort(([a], [b]) => b.length - a.length).map(([, token]) => token),
  Word,
];

/** Lexer for one line. */
export const lexer = new Lexer(allTokens);
