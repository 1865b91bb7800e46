import type { Change } from './commands.js';

/** Words that need no quotes in the command language. */
const plainWord = /^[^\s,=!;#"<>]+$/;

const ruleWords = [
  ['methods', 'methods'],
  ['pathPrefix', 'path'],
  ['repeat', 'repeat'],
  ['retryStatuses', 'statuses'],
  ['retryFailures', 'failures'],
  ['maxAttempts', 'attempts'],
  ['deadlineMs', 'deadline'],
  ['priority', 'priority'],
  ['hedge', 'hedge'],
  ['maxBodyBytes', 'body'],
] as const;

const limitWords = [
  ['queue', 'queue'],
  ['minPoolShare', 'min-pool-share'],
  ['probesPerSecond', 'probes-per-second'],
] as const;

/**
 * Writes a change as a statement of the command language (docs/language.md).
 *
 * @param change - The change.
 * @returns One line; reading it gives an equal change.
 */
export function formatChange(change: Change): string {
  const { service } = change;
  switch (change.kind) {
    case 'create-service':
      return `create service ${service}`;
    case 'remove-service':
      return `remove service ${service}`;
    case 'add-endpoint':
      return [
        `add endpoint ${change.endpoint} to ${service}`,
        ...(change.address === undefined ? [] : [`at ${change.address}`]),
        ...(change.failureDomain === undefined ? [] : [`in ${change.failureDomain}`]),
        ...writeOptions(change, [
          ['slots', 'slots'],
          ['connections', 'connections'],
        ]),
      ].join(' ');
    case 'drain-endpoint':
      return `drain endpoint ${change.endpoint} of ${service}`;
    case 'stop-endpoint':
      return `stop endpoint ${change.endpoint} of ${service}`;
    case 'remove-endpoint':
      return `remove endpoint ${change.endpoint} of ${service}`;
    case 'set-slots':
      return `set slots ${change.slots} of ${change.endpoint} of ${service}`;
    case 'add-rule':
      return [
        `add rule ${change.rule} to ${service}`,
        ...writeOptions(change, ruleWords),
        ...(change.before === undefined ? [] : [`before ${change.before}`]),
      ].join(' ');
    case 'set-rule':
      return [`set rule ${change.rule} of ${service}`, ...writeOptions(change, ruleWords)].join(
        ' ',
      );
    case 'remove-rule':
      return `remove rule ${change.rule} of ${service}`;
    case 'add-route':
    case 'remove-route': {
      const start = change.kind === 'add-route' ? 'add route' : 'remove route';
      const host = change.host === undefined ? '' : ` host ${change.host}`;
      return `${start} ${writeWord(change.pathPrefix)} of ${service}${host}`;
    }
    case 'set-tenant':
      return `set tenant ${change.tenant} of ${service} weight ${change.weight}`;
    case 'remove-tenant':
      return `remove tenant ${change.tenant} of ${service}`;
    case 'set-limits':
      return [`set limits of ${service}`, ...writeOptions(change, limitWords)].join(' ');
    case 'restore-service':
      return `restore ${service}`;
  }
}

function writeOptions<Value extends object>(
  value: Value,
  words: readonly (readonly [keyof Value, string])[],
): string[] {
  return words.flatMap(([field, word]) => {
    const given = value[field];
    return given === undefined ? [] : [`${word} ${writeValue(given)}`];
  });
}

function writeValue(value: unknown): string {
  if (typeof value === 'boolean') return value ? 'on' : 'off';
  if (!Array.isArray(value)) return writeWord(String(value));
  return value.length === 0 ? 'none' : value.map((item) => writeWord(String(item))).join(',');
}

function writeWord(word: string): string {
  return plainWord.test(word) ? word : JSON.stringify(word);
}
