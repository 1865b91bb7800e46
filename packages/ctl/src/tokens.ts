import { Lexer, createToken } from 'chevrotain';
import type { TokenType } from 'chevrotain';

/** A name, number, address or path. Every keyword can stand for a name as well. */
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
export const Less = createToken({ name: 'Less', label: '<', pattern: '<' });
export const More = createToken({ name: 'More', label: '>', pattern: '>' });

const blank = createToken({ name: 'Blank', pattern: /[ \t\r]+/, group: Lexer.SKIPPED });
const comment = createToken({ name: 'Comment', pattern: /#.*/, group: Lexer.SKIPPED });

/** What can be listed with `show`. */
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

const words = [
  ...['show', 'where', 'and', 'create', 'remove', 'add', 'drain', 'stop', 'set', 'restore'],
  ...['lift', 'ban', 'settle', 'service', 'endpoint', 'rule', 'route', 'tenant', 'limits'],
  ...['of', 'to', 'from', 'for', 'at', 'in', 'host', 'before', 'slots', 'connections', 'weight'],
  ...['methods', 'path', 'repeat', 'statuses', 'failures', 'attempts', 'deadline', 'priority'],
  ...['hedge', 'body', 'queue', 'min-pool-share', 'probes-per-second'],
  ...subjects,
];

/** The keywords by their text. */
export const keywords: ReadonlyMap<string, TokenType> = new Map(
  words.map((word) => [
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

/** All tokens; longer ones go before their beginnings. */
export const allTokens: TokenType[] = [
  blank,
  comment,
  Quoted,
  NotEqual,
  Equal,
  Less,
  More,
  Comma,
  ...[...keywords].sort(([a], [b]) => b.length - a.length).map(([, token]) => token),
  Word,
];

/** Splits a line into tokens. */
export const lexer = new Lexer(allTokens);
