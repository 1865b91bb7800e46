import { EmbeddedActionsParser, tokenMatcher } from 'chevrotain';
import type { IParserErrorMessageProvider, IToken, TokenType } from 'chevrotain';
import {
  Comma,
  Equal,
  GreaterThan,
  LessThan,
  NotEqual,
  Quoted,
  Word,
  allTokens,
  keywords,
  subjects,
} from './tokens.js';

/** Condition in the `where` clause of a query. */
export interface Condition {
  readonly field: string;
  readonly operator: '=' | '!=' | '<' | '>';
  readonly value: string;
}

/** A parsed statement. The fields of a change are not validated yet. */
export type RawStatement =
  | { readonly kind: 'show'; readonly subject: string; readonly where: readonly Condition[] }
  | { readonly kind: 'change'; readonly change: Readonly<Record<string, unknown>> }
  | { readonly kind: 'lift'; readonly fingerprint: string }
  | { readonly kind: 'settle'; readonly commandId: string; readonly service?: string };

type Fields = Record<string, unknown>;

/** How the values of an option are converted. */
type ValueKind = 'word' | 'number' | 'words' | 'numbers' | 'switch';

/** Keyword of an option, the field of the change that holds its value, and the kind of value. */
type Option = readonly [keyword: string, field: string, kind: ValueKind];

const ruleOptions: readonly Option[] = [
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

const endpointOptions: readonly Option[] = [
  ['at', 'address', 'word'],
  ['in', 'failureDomain', 'word'],
  ['slots', 'slots', 'number'],
  ['connections', 'connections', 'number'],
];

const limitOptions: readonly Option[] = [
  ['queue', 'queue', 'number'],
  ['min-pool-share', 'minPoolShare', 'number'],
  ['probes-per-second', 'probesPerSecond', 'number'],
];

const beforeOption: readonly Option[] = [['before', 'before', 'word']];
const hostOption: readonly Option[] = [['host', 'host', 'word']];
const prepositions = ['of', 'to', 'from', 'for'];

/** Syntax error messages, which name the expected tokens by their labels. */
const errorMessages: IParserErrorMessageProvider = {
  buildMismatchTokenMessage: ({ expected }) => `expected ${formatTokens([expected])}`,
  buildNotAllInputParsedMessage: () => 'expected the end of the statement',
  buildNoViableAltMessage: ({ expectedPathsPerAlt }) =>
    `expected ${formatTokens(expectedPathsPerAlt.flat().flatMap(([first]) => first ?? []))}`,
  buildEarlyExitMessage: ({ expectedIterationPaths }) =>
    `expected ${formatTokens(expectedIterationPaths.flatMap(([first]) => first ?? []))}`,
};

/** Parser for one statement of the command language. */
export class StatementParser extends EmbeddedActionsParser {
  constructor() {
    super(allTokens, { errorMessageProvider: errorMessages, maxLookahead: 2 });
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

  readonly #word = this.RULE('word', (): string => unquoteWord(this.CONSUME(Word)));

  readonly #show = this.RULE('show', (): RawStatement => {
    this.#consumeKeyword('show');
    const subject = this.OR(
      subjects.map((name) => ({ ALT: () => this.CONSUME(getKeyword(name)).image })),
    );
    const where: Condition[] = [];
    this.OPTION(() => {
      this.#consumeKeyword('where');
      where.push(this.SUBRULE1(this.#condition));
      this.MANY(() => {
        this.#consumeKeyword('and');
        where.push(this.SUBRULE2(this.#condition));
      });
    });
    return { kind: 'show', subject, where };
  });

  readonly #condition = this.RULE('condition', (): Condition => {
    const field = this.SUBRULE1(this.#word);
    const operator = this.OR(
      [Equal, NotEqual, LessThan, GreaterThan].map((token) => ({
        ALT: () => this.CONSUME(token).image,
      })),
    ) as Condition['operator'];
    return { field, operator, value: this.SUBRULE2(this.#word) };
  });

  readonly #lift = this.RULE('lift', (): RawStatement => {
    this.#consumeKeyword('lift');
    this.#consumeKeyword('ban');
    return { kind: 'lift', fingerprint: this.SUBRULE(this.#word) };
  });

  readonly #settle = this.RULE('settle', (): RawStatement => {
    this.#consumeKeyword('settle');
    const commandId = this.SUBRULE(this.#word);
    const service = this.OPTION(() => this.SUBRULE(this.#qualifier));
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
    this.#consumeKeyword('create');
    this.#consumeKeyword('service');
    return { kind: 'create-service', service: this.SUBRULE(this.#word) };
  });

  readonly #restore = this.RULE('restore', (): Fields => {
    this.#consumeKeyword('restore');
    return { kind: 'restore-service', service: this.SUBRULE(this.#word) };
  });

  readonly #drain = this.RULE('drain', (): Fields => {
    const verb = this.OR(
      ['drain', 'stop'].map((word) => ({ ALT: () => this.CONSUME(getKeyword(word)).image })),
    );
    this.#consumeKeyword('endpoint');
    return {
      kind: `${verb}-endpoint`,
      ...this.SUBRULE(this.#qualifiedName, { ARGS: ['endpoint'] }),
    };
  });

  readonly #remove = this.RULE('remove', (): Fields => {
    this.#consumeKeyword('remove');
    return this.OR<Fields>([
      {
        ALT: () => {
          this.#consumeKeyword('service');
          return { kind: 'remove-service', service: this.SUBRULE(this.#word) };
        },
      },
      ...['endpoint', 'rule', 'tenant'].map((item, index) => ({
        ALT: () => {
          this.#consumeKeyword(item);
          const qualifiedName = this.subrule(index + 1, this.#qualifiedName, { ARGS: [item] });
          return { kind: `remove-${item}`, ...qualifiedName };
        },
      })),
      { ALT: () => ({ kind: 'remove-route', ...this.SUBRULE(this.#route) }) },
    ]);
  });

  readonly #add = this.RULE('add', (): Fields => {
    this.#consumeKeyword('add');
    return this.OR<Fields>([
      {
        ALT: () => {
          this.#consumeKeyword('endpoint');
          const qualifiedName = this.SUBRULE1(this.#qualifiedName, { ARGS: ['endpoint'] });
          return { kind: 'add-endpoint', ...qualifiedName, ...this.SUBRULE(this.#endpointOptions) };
        },
      },
      {
        ALT: () => {
          this.#consumeKeyword('rule');
          const qualifiedName = this.SUBRULE2(this.#qualifiedName, { ARGS: ['rule'] });
          const fields = this.SUBRULE(this.#newRuleOptions);
          return { kind: 'add-rule', ...qualifiedName, ...fields };
        },
      },
      { ALT: () => ({ kind: 'add-route', ...this.SUBRULE(this.#route) }) },
    ]);
  });

  readonly #set = this.RULE('set', (): Fields => {
    this.#consumeKeyword('set');
    return this.OR<Fields>([
      {
        ALT: () => {
          this.#consumeKeyword('slots');
          const slots = Number(this.SUBRULE(this.#word));
          const endpoint = this.SUBRULE1(this.#qualifier);
          return { kind: 'set-slots', endpoint, slots, service: this.SUBRULE2(this.#qualifier) };
        },
      },
      {
        ALT: () => {
          this.#consumeKeyword('rule');
          const qualifiedName = this.SUBRULE1(this.#qualifiedName, { ARGS: ['rule'] });
          return { kind: 'set-rule', ...qualifiedName, ...this.SUBRULE(this.#ruleOptions) };
        },
      },
      {
        ALT: () => {
          this.#consumeKeyword('tenant');
          const qualifiedName = this.SUBRULE2(this.#qualifiedName, { ARGS: ['tenant'] });
          this.#consumeKeyword('weight');
          return {
            kind: 'set-tenant',
            ...qualifiedName,
            weight: Number(this.SUBRULE3(this.#word)),
          };
        },
      },
      {
        ALT: () => {
          this.#consumeKeyword('limits');
          const service = this.SUBRULE3(this.#qualifier);
          return { kind: 'set-limits', service, ...this.SUBRULE(this.#limitOptions) };
        },
      },
    ]);
  });

  /** `NAME of SERVICE`. The name goes into the given field. */
  readonly #qualifiedName = this.RULE('qualifiedName', (field: string): Fields => {
    const name = this.SUBRULE(this.#word);
    return { [field]: name, service: this.SUBRULE(this.#qualifier) };
  });

  /** A preposition and the name after it, such as `of SERVICE`. */
  readonly #qualifier = this.RULE('qualifier', (): string => {
    this.OR(prepositions.map((word) => ({ ALT: () => this.CONSUME(getKeyword(word)) })));
    return this.SUBRULE(this.#word);
  });

  readonly #route = this.RULE('route', (): Fields => {
    this.#consumeKeyword('route');
    const qualifiedName = this.SUBRULE(this.#qualifiedName, { ARGS: ['pathPrefix'] });
    return { ...qualifiedName, ...this.SUBRULE(this.#routeOptions) };
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

  #makeOptions(name: string, options: readonly Option[], required: boolean) {
    return this.RULE(name, (): Fields => {
      const fields: Fields = {};
      const readOption = () =>
        this.OR(
          options.map(([word, field, valueKind], index) => ({
            ALT: () => {
              this.CONSUME(getKeyword(word));
              const values = this.subrule(index, this.#values);
              // Skipped while Chevrotain records the grammar: the values are placeholders then.
              this.ACTION(() => {
                fields[field] = convertValues(values, valueKind);
              });
            },
          })),
        );
      if (required) this.AT_LEAST_ONE(readOption);
      else this.MANY(readOption);
      return fields;
    });
  }

  /**
   * Consumes a keyword. Chevrotain needs numbered calls where a rule consumes the same token more
   * than once; each keyword occurs only once in a rule, so the plain call is enough.
   */
  #consumeKeyword(word: string): IToken {
    return this.CONSUME(getKeyword(word));
  }
}

/** @returns The text of a word. The quotes and escapes of a quoted word are removed. */
function unquoteWord(token: IToken): string {
  if (!tokenMatcher(token, Quoted)) return token.image;
  try {
    return JSON.parse(token.image) as string;
  } catch {
    return token.image;
  }
}

function convertValues(values: readonly string[], valueKind: ValueKind): unknown {
  if (valueKind === 'words') return values;
  if (valueKind === 'numbers') return values.map(Number);
  // Several values for a single-valued option stay an array, so that the validation of the change
  // reports the option.
  if (values.length !== 1) return values;
  const [value = ''] = values;
  if (valueKind === 'number') return Number(value);
  if (valueKind === 'switch') return { on: true, off: false }[value] ?? value;
  return value;
}

function getKeyword(word: string): TokenType {
  const token = keywords.get(word);
  if (!token) throw new RangeError(`${JSON.stringify(word)} is not a keyword`);
  return token;
}

function formatTokens(tokens: readonly TokenType[]): string {
  const labels = [...new Set(tokens.map((token) => token.LABEL ?? token.name))];
  const last = labels.pop() ?? '';
  return labels.length === 0 ? last : `${labels.join(', ')} or ${last}`;
}
