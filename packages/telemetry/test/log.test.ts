import { afterEach, describe, expect, it } from 'vitest';
import { createLogger, setLogDestination, setLogLevel } from '../src/log.js';

const lines: string[] = [];

function writeLines(level: 'info' | 'error'): void {
  setLogLevel(level);
  const log = createLogger('part', { instance: 'entry-1' });
  log.info('started', { port: 1 });
  log.error('failed', { error: new Error('cause'), nested: { token: 'hunter2', list: [1] } });
  log.error('secret', {
    peerKey: 'hunter2',
    authorization: 'Bearer hunter2',
    operatorToken: 'hunter2',
  });
}

describe('createLogger', () => {
  setLogDestination({ write: (line) => lines.push(line) });

  afterEach(() => {
    lines.length = 0;
  });

  /** Guards against breaking programs that parse the log. */
  it('writes JSON lines that begin with the same fields', () => {
    writeLines('info');
    const parsed = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
    expect(parsed.map((line) => Object.keys(line).slice(0, 5))).toEqual(
      Array(3).fill(['level', 'time', 'part', 'event', 'instance']),
    );
    expect(parsed[1]).toMatchObject({ level: 'error', event: 'failed', error: 'cause' });
  });

  /** Guards against secrets in log lines, also in nested fields. */
  it('redacts secrets', () => {
    writeLines('error');
    expect(lines).toHaveLength(2);
    expect(lines.join('')).not.toContain('hunter2');
  });

  /** Guards against a frequent event that takes up the processor and the reader of the log. */
  it('limits the lines of an event per second', () => {
    setLogLevel('info');
    const log = createLogger('part');
    for (let number = 0; number < 2000; number++) log.info('frequent', { number });
    expect(lines.length).toBeGreaterThanOrEqual(500);
    expect(lines.length).toBeLessThanOrEqual(1000);
    log.info('rare');
    expect(JSON.parse(lines.at(-1) as string)).toMatchObject({ event: 'rare' });
  });
});
