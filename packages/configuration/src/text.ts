import type { Change } from './commands.js';

/** Matches words that need no quotes in the command language. */
const plainWordPattern = /^[^\s,=!;#"<>]+$/;

/** Fields of a rule with their keywords in the command language. */
const ruleKeywords = [
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

/** Fields of the limits with their keywords in the command language. */
const limitKeywords = [
  ['queue', 'queue'],
  ['minPoolShare', 'min-pool-share'],
  ['probesPerSecond', 'probes-per-second'],
] as const;

/**
 * Formats a change as a statement of the command language (docs/language.md).
 *
 * @param change - The change.
 * @returns One line; parsing it gives an equal change.
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
        ...formatOptions(change, [
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
        ...formatOptions(change, ruleKeywords),
        ...(change.before === undefined ? [] : [`before ${change.before}`]),
      ].join(' ');
    case 'set-rule':
      return [`set rule ${change.rule} of ${service}`, ...formatOptions(change, ruleKeywords)].join(
        ' ',
      );
    case 'remove-rule':
      return `remove rule ${change.rule} of ${service}`;
    case 'add-route':
    case 'remove-route': {
      const verb = change.kind === 'add-route' ? 'add route' : 'remove route';
      const host = change.host === undefined ? '' : ` host ${change.host}`;
      return `${verb} ${formatWord(change.pathPrefix)} of ${service}${host}`;
    }
    case 'set-tenant':
      return `set tenant ${change.tenant} of ${service} weight ${change.weight}`;
    case 'remove-tenant':
      return `remove tenant ${change.tenant} of ${service}`;
    case 'set-limits':
      return [`set limits of ${service}`, ...formatOptions(change, limitKeywords)].join(' ');
    case 'restore-service':
      return `restore ${service}`;
  }
}

function formatOptions<Value extends object>(
  value: Value,
  keywords: readonly (readonly [keyof Value, string])[],
): string[] {
  return keywords.flatMap(([field, keyword]) => {
    const option = value[field];
    return option === undefined ? [] : [`${keyword} ${formatValue(option)}`];
  });
}

function formatValue(value: unknown): string {
  if (typeof value === 'boolean') return value ? 'on' : 'off';
  if (!Array.isArray(value)) return formatWord(String(value));
  return value.length === 0 ? 'none' : value.map((item) => formatWord(String(item))).join(',');
}

function formatWord(word: string): string {
  return plainWordPattern.test(word) ? word : JSON.stringify(word);
}
