import { format } from 'node:util';
import createDebug from 'debug';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogFields = Readonly<Record<string, unknown>>;

/** A logger for one part of a program. Each call writes one JSON line to standard error. */
export interface Log {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

const levels: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];

/** Fields whose values never reach a log line. */
const secretFields = new Set([
  'token',
  'operatorToken',
  'peerKey',
  'authorization',
  'secret',
  'key',
]);

/**
 * Chooses which lines are written.
 *
 * @param level - The least severe level that is written.
 */
export function setLogLevel(level: LogLevel): void {
  const enabled = levels.slice(levels.indexOf(level)).map((name) => `dotterelpass:${name}:*`);
  createDebug.enable(enabled.join(','));
}

/**
 * Opens a logger.
 *
 * @param part - Name of the part of the program, the field `part` on each line.
 * @param common - Fields that stand on each line, such as the instance.
 * @returns The logger.
 */
export function openLog(part: string, common: LogFields = {}): Log {
  const writers = new Map(levels.map((level) => [level, openWriter(level, part, common)]));
  const write = (level: LogLevel) => writers.get(level) as Log['debug'];
  return {
    debug: write('debug'),
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
  };
}

function openWriter(level: LogLevel, part: string, common: LogFields): Log['debug'] {
  const writer = createDebug(`dotterelpass:${level}:${part}`);
  writer.log = (...parts: unknown[]) => process.stderr.write(`${format(...parts)}\n`);
  return (event, fields = {}) => {
    if (!writer.enabled) return;
    const line = { time: new Date().toISOString(), level, part, event, ...common, ...fields };
    writer('%s', JSON.stringify(line, hideSecrets));
  };
}

// The library would add colours, names and dates around the line.
createDebug.formatArgs = () => undefined;

function hideSecrets(field: string, value: unknown): unknown {
  if (secretFields.has(field)) return '[hidden]';
  return value instanceof Error ? value.message : value;
}
