import { pino } from 'pino';
import type { DestinationStream } from 'pino';
import { PipeOutput, isPipe } from './output.js';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogFields = Readonly<Record<string, unknown>>;

/** A logger for one component of a program. Each call writes one JSON line to standard output. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

const levels: readonly LogLevel[] = ['debug', 'info', 'warn', 'error'];

/** Fields whose values are replaced in log lines. */
const secretFields = new Set([
  'token',
  'operatorToken',
  'peerKey',
  'authorization',
  'secret',
  'key',
]);

/** Maximum number of lines per event and second; twice as many for warnings and errors. */
const maxLinesPerSecond = 500;

/**
 * Maximum number of buffered bytes while the reader of standard output is slow; further lines are
 * dropped.
 */
const maxBufferedBytes = 1024 * 1024;

/** Maximum time for which a line stays in the buffer before a write, in milliseconds. */
const flushMs = 500;

/** Number of buffered bytes that triggers a write. */
const minWriteBytes = 8 * 1024;

const stdoutDescriptor = 1;

/** Index in `levels` of the least severe level that is written. */
let minLevelIndex = levels.indexOf('info');

let destination: DestinationStream | undefined;

let droppedLines = 0;

/**
 * Sets the minimum level of lines that are written.
 *
 * @param level - The least severe level that is written.
 */
export function setLogLevel(level: LogLevel): void {
  minLevelIndex = levels.indexOf(level);
}

/**
 * Writes log lines to a stream instead of standard output.
 *
 * @param stream - Stream whose `write` is called with whole lines.
 */
export function setLogDestination(stream: DestinationStream): void {
  destination = stream;
}

/** @returns The number of lines dropped because standard output was closed or read too slowly. */
export function countDroppedLines(): number {
  return droppedLines;
}

/**
 * Creates a logger. It never waits for the reader of its output. The number of lines beyond the
 * rate limit of an event is reported in the next line of that event, and lines that do not fit the
 * buffer are counted by `countDroppedLines`.
 *
 * @param component - Name of the component of the program, the field `part` on each line.
 * @param commonFields - Fields that are written on each line, such as the instance.
 * @returns The logger.
 */
export function createLogger(component: string, commonFields: LogFields = {}): Logger {
  const writer = pino(
    {
      level: 'debug',
      base: { part: component },
      timestamp: () => `,"time":"${new Date().toISOString()}"`,
      formatters: { level: (label) => ({ level: label }) },
    },
    { write: (line: string) => openDestination().write(line) },
  );
  const rateLimits = new Map<string, LineRateLimit>();
  const write = (level: LogLevel): Logger['debug'] => {
    const levelIndex = levels.indexOf(level);
    const maxLines = levelIndex >= 2 ? 2 * maxLinesPerSecond : maxLinesPerSecond;
    return (event, fields = {}) => {
      if (levelIndex < minLevelIndex) return;
      const rateLimit = rateLimits.get(event) ?? new LineRateLimit();
      rateLimits.set(event, rateLimit);
      const suppressed = rateLimit.admit(maxLines);
      if (suppressed === undefined) return;
      const line = { event, ...commonFields, ...redactSecrets(fields) };
      writer[level](suppressed > 0 ? { ...line, suppressed } : line);
    };
  };
  return {
    debug: write('debug'),
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
  };
}

/** Limits the lines of one event per second. */
class LineRateLimit {
  #second = 0;

  #count = 0;

  #suppressed = 0;

  /**
   * Admits or suppresses a line.
   *
   * @returns The number of lines suppressed since the last admitted line, or undefined when this
   * line is suppressed.
   */
  admit(maxLines: number): number | undefined {
    const second = Math.floor(performance.now() / 1000);
    if (second !== this.#second) {
      this.#second = second;
      this.#count = 0;
    }
    this.#count += 1;
    if (this.#count > maxLines) {
      this.#suppressed += 1;
      return undefined;
    }
    const suppressed = this.#suppressed;
    this.#suppressed = 0;
    return suppressed;
  }
}

/** Opens standard output for the first line, so that programs that log nothing do not touch it. */
function openDestination(): DestinationStream {
  destination ??= isPipe(stdoutDescriptor) ? openPipe() : openFile();
  return destination;
}

/**
 * Opens a pipe as a socket. Writing to it as a file would block a thread while the reader is slow,
 * and the process could not exit until then.
 */
function openPipe(): DestinationStream {
  const onDrop = (lines: number) => {
    droppedLines += lines;
  };
  const limits = { minWriteBytes, maxBufferedBytes, flushMs };
  return new PipeOutput(stdoutDescriptor, limits, onDrop);
}

function openFile(): DestinationStream {
  const stream = pino.destination({
    dest: stdoutDescriptor,
    sync: false,
    minLength: minWriteBytes,
    maxLength: maxBufferedBytes,
    periodicFlush: flushMs,
  });
  stream.on('drop', () => {
    droppedLines += 1;
  });
  // A closed output must not terminate the program.
  stream.on('error', () => {
    droppedLines += 1;
  });
  process.on('exit', () => {
    try {
      stream.flushSync();
    } catch {
      // The output is closed or was never opened.
      droppedLines += 1;
    }
  });
  return stream;
}

function redactSecrets(fields: LogFields): Record<string, unknown> {
  const redacted: Record<string, unknown> = {};
  Object.entries(fields).forEach(([field, value]) => {
    redacted[field] = secretFields.has(field) ? '[hidden]' : redactValue(value);
  });
  return redacted;
}

function redactValue(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Error) return value.message;
  return Array.isArray(value) ? value.map(redactValue) : redactSecrets(value as LogFields);
}
