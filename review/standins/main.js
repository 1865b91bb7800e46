import { dirname, join } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { Deployment, couldNotRun } from './deployment.js';
import { Record } from './record.js';

/** Whether the script is to bring about the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not
 * run.
 *
 * @param {string} scriptUrl - URL of the script, in whose folder the record is written.
 * @param {Function} play - Plays the case; returns the verdict as lines, and whether the rule held.
 */
export async function runCase(scriptUrl, play) {
  const record = new Record();
  let deployment;
  // A script that is stopped from outside ends what it has started, too.
  ['SIGINT', 'SIGTERM'].forEach((signal) => {
    process.once(signal, () => {
      void Promise.resolve(deployment?.close()).then(() => process.exit(couldNotRun));
    });
  });
  let exitCode = couldNotRun;
  try {
    deployment = await Deployment.open();
    const { verdict, isBroken } = await play(deployment, record);
    const exits = deployment.machines.flatMap((machine) => machine.unexpectedExits);
    record.addAttempts(deployment.attempts);
    record.addRuns(deployment.runs);
    const lines = [
      ...verdict,
      ...exits.map((exit) => `ended by itself: ${exit}`),
      isBroken ? 'The rule was broken.' : 'The rule held.',
    ];
    record.write(join(dirname(fileURLToPath(scriptUrl)), 'record.txt'), lines);
    process.stdout.write(`${lines.join('\n')}\n`);
    exitCode = isBroken ? 1 : 0;
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
  }
  await deployment?.close();
  process.exit(exitCode);
}
