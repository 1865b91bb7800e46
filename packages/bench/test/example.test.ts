import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { expect, it } from 'vitest';

/** Guards the example of README.md against changes of the packages that break it. */
it('runs the embedding example', async () => {
  const example = fileURLToPath(new URL('../../../examples/embed.js', import.meta.url));
  const { stdout } = await promisify(execFile)(process.execPath, [example]);
  expect(stdout.trim().split('\n')).toEqual([
    'the next call goes to status-1',
    'the call of pensioners waits for a slot',
    'the call of notaries is refused, not run: 1 calls wait already',
    'a ticket names its instance: t1.entry-1.run-1',
  ]);
});
