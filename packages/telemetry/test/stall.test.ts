import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

/** Lines that a program writes, in rounds of ten milliseconds. */
const rounds = 100;
const linesPerRound = 200;

/** Longest time for which the program may be held up between two rounds, in milliseconds. */
const maxStallMs = 250;

/** Writes lines of many events, so that no bound on an event leaves them out. */
const script = `
  import { countDroppedLines, openLog } from ${JSON.stringify(
    fileURLToPath(new URL('../dist/index.js', import.meta.url)),
  )};
  const log = openLog('test');
  const text = 'x'.repeat(500);
  let round = 0;
  let before = performance.now();
  let longestMs = 0;
  const timer = setInterval(() => {
    const now = performance.now();
    longestMs = Math.max(longestMs, now - before);
    before = now;
    for (let line = 0; line < ${linesPerRound}; line++) log.info('event-' + line, { text });
    round += 1;
    if (round < ${rounds}) return;
    clearInterval(timer);
    process.stderr.write(JSON.stringify({ longestMs, dropped: countDroppedLines() }) + '\\n', () => {
      process.exit(0);
    });
  }, 10);
`;

describe('a reader of standard output that stops reading', () => {
  /** Guards calls against waiting for whoever collects the logs. */
  it('holds nothing up; lines beyond the buffer are dropped and counted', async () => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', script], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let text = '';
    child.stderr.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    const [code] = (await once(child, 'exit')) as [number | null];
    expect(code, text).toBe(0);
    const { longestMs, dropped } = JSON.parse(text) as { longestMs: number; dropped: number };
    expect(dropped).toBeGreaterThan(0);
    expect(longestMs).toBeLessThan(maxStallMs);
  });
});
