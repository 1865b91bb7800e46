import { pino } from 'pino';
import type { DestinationStream } from 'pino';
import { PipeOutput, isPipe } from './output.js';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type LogFields = Readonly<Record<string, unknown>>;

/** A logger for one part of a program. Each call writes one JSON line to standard output. */
export interface Logger {
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

/** Lines of one event that are written in one second; warnings and errors have twice as many. */
const maxLinesPerSecond = 500;

/** Bytes that wait while the reader of standard output is slow; further lines are dropped. */
const maxBufferedBytes = 1024 * 1024;

/** Longest time that a line waits for further ones, in milliseconds. */
const flushMs = 500;

/** Bytes that are written at once without waiting for further lines. */
const minWriteBytes = 8 * 1024;

const standardOutput = 1;

let leastLevel = levels.indexOf('info');

let destination: DestinationStream | undefined;

let droppedLines = 0;

/**
 * Chooses which lines are written.
 *
 * @param level - The least severe level that is written.
 */
export function setLogLevel(level: LogLevel): void {
  leastLevel = levels.indexOf(level);
}

/**
 * Sends the lines elsewhere than to standard output.
 *
 * @param stream - Takes whole lines.
 */
export function setLogDestination(stream: DestinationStream): void {
  destination = stream;
}

/** Lines that were dropped because the reader of standard output was too slow. */
export function countDroppedLines(): number {
  return droppedLines;
}

/**
 * Opens a logger. It never waits for its reader: lines beyond the bound of an event are counted
 * in the next line of the event, lines beyond the buffer in `countDroppedLines`.
 *
 * @param part - Name of the part of the program, the field `part` on each line.
 * @param common - Fields that stand on each line, such as the instance.
 * @returns The logger.
 */
export function createLogger(part: string, common: LogFields = {}): Logger {
  const writer = pino(
    {
      level: 'debug',
      base: { part },
      timestamp: () => `,"time":"${new Date().toISOString()}"`,
      formatters: { level: (label) => ({ level: label }) },
    },
    { write: (line: string) => findDestination().write(line) },
  );
  const bounds = new Map<string, LineBound>();
  const write = (level: LogLevel): Logger['debug'] => {
    const rank = levels.indexOf(level);
    const limit = rank >= 2 ? 2 * maxLinesPerSecond : maxLinesPerSecond;
    return (event, fields = {}) => {
      if (rank < leastLevel) return;
      const bound = bounds.get(event) ?? new LineBound();
      bounds.set(event, bound);
      const suppressed = bound.admit(limit);
      if (suppressed === undefined) return;
      const line = { event, ...common, ...hideSecrets(fields) };
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

/** Lines of one event in the present second. */
class LineBound {
  #second = 0;

  #count = 0;

  #suppressed = 0;

  /** @returns Lines left out since the last one, or undefined when this one is left out, too. */
  admit(limit: number): number | undefined {
    const second = Math.floor(performance.now() / 1000);
    if (second !== this.#second) {
      this.#second = second;
      this.#count = 0;
    }
    this.#count += 1;
    if (this.#count > limit) {
      this.#suppressed += 1;
      return undefined;
    }
    const suppressed = this.#suppressed;
    this.#suppressed = 0;
    return suppressed;
  }
}

/** Standard output is opened by the first line, so that programs without a log leave it alone. */
function findDestination(): DestinationStream {
  destination ??= isPipe(standardOutput) ? openPipe() : openFile();
  return destination;
}

/** Writing to a pipe blocks a thread, and with it the end of the program, unless it is a stream. */
function openPipe(): DestinationStream {
  const onDrop = (lines: number) => {
    droppedLines += lines;
  };
  const limits = { minWriteBytes, maxBufferedBytes, flushMs };
  return new PipeOutput(standardOutput, limits, onDrop);
}

function openFile(): DestinationStream {
  const stream = pino.destination({
    dest: standardOutput,
    sync: false,
    minLength: minWriteBytes,
    maxLength: maxBufferedBytes,
    periodicFlush: flushMs,
  });
  stream.on('drop', () => {
    droppedLines += 1;
  });
  // A reader that has gone away must not end the program.
  stream.on('error', () => {
    droppedLines += 1;
  });
  process.on('exit', () => {
    try {
      stream.flushSync();
    } catch {
      // Nobody reads the lines any more, or the output was never opened.
      droppedLines += 1;
    }
  });
  return stream;
}

function hideSecrets(fields: LogFields): Record<string, unknown> {
  const shown: Record<string, unknown> = {};
  Object.entries(fields).forEach(([field, value]) => {
    shown[field] = secretFields.has(field) ? '[hidden]' : toShown(value);
  });
  return shown;
}

function toShown(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Error) return value.message;
  return Array.isArray(value) ? value.map(toShown) : hideSecrets(value as LogFields);
}
