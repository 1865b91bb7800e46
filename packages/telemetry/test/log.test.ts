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

describe('the log', () => {
  setLogDestination({ write: (line) => lines.push(line) });

  afterEach(() => {
    lines.length = 0;
  });

  /** Guards programs that read the log: each line is JSON with the same first fields. */
  it('writes JSON lines with stable fields', () => {
    writeLines('info');
    const parsed = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
    expect(parsed.map((line) => Object.keys(line).slice(0, 5))).toEqual(
      Array(3).fill(['level', 'time', 'part', 'event', 'instance']),
    );
    expect(parsed[1]).toMatchObject({ level: 'error', event: 'failed', error: 'cause' });
  });

  /** Guards secrets: no field that holds one reaches a line, at any depth. */
  it('hides secrets', () => {
    writeLines('error');
    expect(lines).toHaveLength(2);
    expect(lines.join('')).not.toContain('hunter2');
  });

  /** Guards the processor and the reader: a storm of one event must not write without bound. */
  it('bounds the lines of an event and counts those left out', () => {
    setLogLevel('info');
    const log = createLogger('part');
    for (let number = 0; number < 2000; number++) log.info('storm', { number });
    expect(lines.length).toBeGreaterThanOrEqual(500);
    expect(lines.length).toBeLessThanOrEqual(1000);
    log.info('calm');
    expect(JSON.parse(lines.at(-1) as string)).toMatchObject({ event: 'calm' });
  });
});
