import { EmbeddedActionsParser, tokenMatcher } from 'chevrotain';
import type { IParserErrorMessageProvider, IToken, TokenType } from 'chevrotain';
import {
  Comma,
  Equal,
  Less,
  More,
  NotEqual,
  Quoted,
  Word,
  allTokens,
  keywords,
  subjects,
} from './tokens.js';

/** One condition of a query. */
export interface Condition {
  readonly field: string;
  readonly operator: '=' | '!=' | '<' | '>';
  readonly value: string;
}

/** A statement as it was read; the fields of a change are not checked yet. */
export type RawStatement =
  | { readonly kind: 'show'; readonly subject: string; readonly where: readonly Condition[] }
  | { readonly kind: 'change'; readonly change: Readonly<Record<string, unknown>> }
  | { readonly kind: 'lift'; readonly fingerprint: string }
  | { readonly kind: 'settle'; readonly commandId: string; readonly service?: string };

type Fields = Record<string, unknown>;

type Read = 'word' | 'number' | 'words' | 'numbers' | 'switch';

const ruleOptions: readonly (readonly [string, string, Read])[] = [
  ['methods', 'methods', 'words'],
  ['path', 'pathPrefix', 'word'],
  ['repeat', 'repeat', 'word'],
  ['statuses', 'retryStatuses', 'numbers'],
  ['failures', 'retryFailures', 'words'],
  ['attempts', 'maxAttempts', 'number'],
  ['deadline', 'deadlineMs', 'number'],
  ['priority', 'priority', 'number'],
  ['hedge', 'hedge', 'switch'],
  ['body', 'maxBodyBytes', 'number'],
];

const endpointOptions: typeof ruleOptions = [
  ['at', 'address', 'word'],
  ['in', 'failureDomain', 'word'],
  ['slots', 'slots', 'number'],
  ['connections', 'connections', 'number'],
];

const limitOptions: typeof ruleOptions = [
  ['queue', 'queue', 'number'],
  ['min-pool-share', 'minPoolShare', 'number'],
  ['probes-per-second', 'probesPerSecond', 'number'],
];

const beforeOption: typeof ruleOptions = [['before', 'before', 'word']];
const hostOption: typeof ruleOptions = [['host', 'host', 'word']];
const joints = ['of', 'to', 'from', 'for'];

/** Says what was expected, in the words of the language. */
const messages: IParserErrorMessageProvider = {
  buildMismatchTokenMessage: ({ expected }) => `expected ${writeTokens([expected])}`,
  buildNotAllInputParsedMessage: () => 'expected the end of the statement',
  buildNoViableAltMessage: ({ expectedPathsPerAlt }) =>
    `expected ${writeTokens(expectedPathsPerAlt.flat().flatMap(([first]) => first ?? []))}`,
  buildEarlyExitMessage: ({ expectedIterationPaths }) =>
    `expected ${writeTokens(expectedIterationPaths.flatMap(([first]) => first ?? []))}`,
};

/** Parser of one statement of the command language. */
export class StatementParser extends EmbeddedActionsParser {
  constructor() {
    super(allTokens, { errorMessageProvider: messages, maxLookahead: 2 });
    this.performSelfAnalysis();
  }

  readonly statement = this.RULE('statement', (): RawStatement =>
    this.OR<RawStatement>([
      { ALT: () => this.SUBRULE(this.#show) },
      { ALT: () => ({ kind: 'change', change: this.SUBRULE(this.#change) }) },
      { ALT: () => this.SUBRULE(this.#lift) },
      { ALT: () => this.SUBRULE(this.#settle) },
    ]),
  );

  readonly #word = this.RULE('word', (): string => toText(this.CONSUME(Word)));

  readonly #show = this.RULE('show', (): RawStatement => {
    this.#readKeyword('show');
    const subject = this.OR(
      subjects.map((name) => ({ ALT: () => this.CONSUME(toToken(name)).image })),
    );
    const where: Condition[] = [];
    this.OPTION(() => {
      this.#readKeyword('where');
      where.push(this.SUBRULE1(this.#condition));
      this.MANY(() => {
        this.#readKeyword('and');
        where.push(this.SUBRULE2(this.#condition));
      });
    });
    return { kind: 'show', subject, where };
  });

  readonly #condition = this.RULE('condition', (): Condition => {
    const field = this.SUBRULE1(this.#word);
    const operator = this.OR(
      [Equal, NotEqual, Less, More].map((token) => ({ ALT: () => this.CONSUME(token).image })),
    ) as Condition['operator'];
    return { field, operator, value: this.SUBRULE2(this.#word) };
  });

  readonly #lift = this.RULE('lift', (): RawStatement => {
    this.#readKeyword('lift');
    this.#readKeyword('ban');
    return { kind: 'lift', fingerprint: this.SUBRULE(this.#word) };
  });

  readonly #settle = this.RULE('settle', (): RawStatement => {
    this.#readKeyword('settle');
    const commandId = this.SUBRULE(this.#word);
    const service = this.OPTION(() => this.SUBRULE(this.#owner));
    return { kind: 'settle', commandId, ...(service === undefined ? {} : { service }) };
  });

  readonly #change = this.RULE('change', (): Fields =>
    this.OR([
      { ALT: () => this.SUBRULE(this.#create) },
      { ALT: () => this.SUBRULE(this.#remove) },
      { ALT: () => this.SUBRULE(this.#add) },
      { ALT: () => this.SUBRULE(this.#drain) },
      { ALT: () => this.SUBRULE(this.#set) },
      { ALT: () => this.SUBRULE(this.#restore) },
    ]),
  );

  readonly #create = this.RULE('create', (): Fields => {
    this.#readKeyword('create');
    this.#readKeyword('service');
    return { kind: 'create-service', service: this.SUBRULE(this.#word) };
  });

  readonly #restore = this.RULE('restore', (): Fields => {
    this.#readKeyword('restore');
    return { kind: 'restore-service', service: this.SUBRULE(this.#word) };
  });

  readonly #drain = this.RULE('drain', (): Fields => {
    const verb = this.OR(
      ['drain', 'stop'].map((word) => ({ ALT: () => this.CONSUME(toToken(word)).image })),
    );
    this.#readKeyword('endpoint');
    return { kind: `${verb}-endpoint`, ...this.SUBRULE(this.#owned, { ARGS: ['endpoint'] }) };
  });

  readonly #remove = this.RULE('remove', (): Fields => {
    this.#readKeyword('remove');
    return this.OR<Fields>([
      {
        ALT: () => {
          this.#readKeyword('service');
          return { kind: 'remove-service', service: this.SUBRULE(this.#word) };
        },
      },
      ...['endpoint', 'rule', 'tenant'].map((thing, index) => ({
        ALT: () => {
          this.#readKeyword(thing);
          const owned = this.subrule(index + 1, this.#owned, { ARGS: [thing] });
          return { kind: `remove-${thing}`, ...owned };
        },
      })),
      { ALT: () => ({ kind: 'remove-route', ...this.SUBRULE(this.#route) }) },
    ]);
  });

  readonly #add = this.RULE('add', (): Fields => {
    this.#readKeyword('add');
    return this.OR<Fields>([
      {
        ALT: () => {
          this.#readKeyword('endpoint');
          const owned = this.SUBRULE1(this.#owned, { ARGS: ['endpoint'] });
          return { kind: 'add-endpoint', ...owned, ...this.SUBRULE(this.#endpointOptions) };
        },
      },
      {
        ALT: () => {
          this.#readKeyword('rule');
          const owned = this.SUBRULE2(this.#owned, { ARGS: ['rule'] });
          const fields = this.SUBRULE(this.#newRuleOptions);
          return { kind: 'add-rule', ...owned, ...fields };
        },
      },
      { ALT: () => ({ kind: 'add-route', ...this.SUBRULE(this.#route) }) },
    ]);
  });

  readonly #set = this.RULE('set', (): Fields => {
    this.#readKeyword('set');
    return this.OR<Fields>([
      {
        ALT: () => {
          this.#readKeyword('slots');
          const slots = Number(this.SUBRULE(this.#word));
          const endpoint = this.SUBRULE1(this.#owner);
          return { kind: 'set-slots', endpoint, slots, service: this.SUBRULE2(this.#owner) };
        },
      },
      {
        ALT: () => {
          this.#readKeyword('rule');
          const owned = this.SUBRULE1(this.#owned, { ARGS: ['rule'] });
          return { kind: 'set-rule', ...owned, ...this.SUBRULE(this.#ruleOptions) };
        },
      },
      {
        ALT: () => {
          this.#readKeyword('tenant');
          const owned = this.SUBRULE2(this.#owned, { ARGS: ['tenant'] });
          this.#readKeyword('weight');
          return { kind: 'set-tenant', ...owned, weight: Number(this.SUBRULE3(this.#word)) };
        },
      },
      {
        ALT: () => {
          this.#readKeyword('limits');
          const service = this.SUBRULE3(this.#owner);
          return { kind: 'set-limits', service, ...this.SUBRULE(this.#limitOptions) };
        },
      },
    ]);
  });

  /** `NAME of SERVICE` */
  readonly #owned = this.RULE('owned', (thing: string): Fields => {
    const name = this.SUBRULE(this.#word);
    return { [thing]: name, service: this.SUBRULE(this.#owner) };
  });

  readonly #owner = this.RULE('owner', (): string => {
    this.OR(joints.map((word) => ({ ALT: () => this.CONSUME(toToken(word)) })));
    return this.SUBRULE(this.#word);
  });

  readonly #route = this.RULE('route', (): Fields => {
    this.#readKeyword('route');
    const owned = this.SUBRULE(this.#owned, { ARGS: ['pathPrefix'] });
    return { ...owned, ...this.SUBRULE(this.#routeOptions) };
  });

  readonly #routeOptions = this.#makeOptions('routeOptions', hostOption, false);

  readonly #endpointOptions = this.#makeOptions('endpointOptions', endpointOptions, false);

  readonly #ruleOptions = this.#makeOptions('ruleOptions', ruleOptions, true);

  readonly #newRuleOptions = this.#makeOptions(
    'newRuleOptions',
    [...ruleOptions, ...beforeOption],
    true,
  );

  readonly #limitOptions = this.#makeOptions('limitOptions', limitOptions, true);

  readonly #values = this.RULE('values', (): string[] => {
    const values: string[] = [];
    this.AT_LEAST_ONE_SEP({ SEP: Comma, DEF: () => values.push(this.SUBRULE(this.#word)) });
    return values.length === 1 && values[0] === 'none' ? [] : values;
  });

  #makeOptions(name: string, options: typeof ruleOptions, required: boolean) {
    return this.RULE(name, (): Fields => {
      const fields: Fields = {};
      const readOption = () =>
        this.OR(
          options.map(([word, field, read], index) => ({
            ALT: () => {
              this.CONSUME(toToken(word));
              const values = this.subrule(index, this.#values);
              // The values are placeholders while the parser records its grammar.
              this.ACTION(() => {
                fields[field] = toValue(values, read);
              });
            },
          })),
        );
      if (required) this.AT_LEAST_ONE(readOption);
      else this.MANY(readOption);
      return fields;
    });
  }

  /** Each keyword occurs once in a rule, so that occurrences need no numbers. */
  #readKeyword(word: string): IToken {
    return this.CONSUME(toToken(word));
  }
}

/** @returns The text of a word, without quotes. */
function toText(token: IToken): string {
  if (!tokenMatcher(token, Quoted)) return token.image;
  try {
    return JSON.parse(token.image) as string;
  } catch {
    return token.image;
  }
}

function toValue(values: readonly string[], read: Read): unknown {
  if (read === 'words') return values;
  if (read === 'numbers') return values.map(Number);
  // More than one value is left as it is, so that the check of the change names it.
  if (values.length !== 1) return values;
  const [value = ''] = values;
  if (read === 'number') return Number(value);
  if (read === 'switch') return { on: true, off: false }[value] ?? value;
  return value;
}

function toToken(word: string): TokenType {
  const token = keywords.get(word);
  if (!token) throw new RangeError(`${JSON.stringify(word)} is not a keyword`);
  return token;
}

function writeTokens(tokens: readonly TokenType[]): string {
  const labels = [...new Set(tokens.map((token) => token.LABEL ?? token.name))];
  const last = labels.pop() ?? '';
  return labels.length === 0 ? last : `${labels.join(', ')} or ${last}`;
}
