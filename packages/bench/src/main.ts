#!/usr/bin/env node
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { broadcastScenario } from './broadcast.js';
import { crashingScenario } from './crashing.js';
import { crestScenario } from './crest.js';
import { headOfLineScenario } from './hol.js';
import { idleScenario } from './idle.js';
import { keysScenario } from './keys.js';
import { probeRateScenario } from './measure.js';
import { onceScenario } from './once.js';
import { pathScenario } from './path.js';
import { piecesScenario } from './pieces.js';
import { slopeScenario } from './slope.js';
import { tailScenario } from './tail.js';
import { meetsTarget, formatFigures } from './scenario.js';
import type { Scenario } from './scenario.js';

const scenarios: readonly Scenario[] = [
  broadcastScenario,
  crashingScenario,
  crestScenario,
  headOfLineScenario,
  idleScenario,
  keysScenario,
  probeRateScenario,
  onceScenario,
  pathScenario,
  piecesScenario,
  slopeScenario,
  tailScenario,
];

const usage = `usage: npm run bench -- SCENARIO [--seed N] [--runs N] [--json FILE]

${scenarios.map(({ name, description }) => `  ${name.padEnd(10)} ${description}`).join('\n')}
`;

try {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
      seed: { type: 'string', default: '1' },
      runs: { type: 'string', default: '5' },
      json: { type: 'string' },
      help: { type: 'boolean' },
    },
  });
  const scenario = scenarios.find(({ name }) => name === positionals[0]);
  const seed = Number(values.seed);
  const runs = Number(values.runs);
  if (values.help) process.stdout.write(usage);
  else if (!scenario || !Number.isSafeInteger(seed) || !(runs >= 1)) {
    process.stderr.write(usage);
    process.exitCode = 2;
  } else await runScenario(scenario, seed, runs, values.json);
} catch (error) {
  process.stderr.write(`bench: ${(error as Error).message}\n`);
  process.exitCode = 1;
}

async function runScenario(
  scenario: Scenario,
  seed: number,
  runs: number,
  json: string | undefined,
): Promise<void> {
  const reportProgress = (text: string) => process.stderr.write(`${scenario.name}: ${text}\n`);
  const figures = await scenario.run({ seed, runs, reportProgress });
  process.stdout.write(`${formatFigures(figures)}\n`);
  if (json === undefined) return;
  const report = {
    scenario: scenario.name,
    seed,
    runs,
    figures: figures.map((figure) => ({ ...figure, met: meetsTarget(figure) })),
  };
  writeFileSync(json, `${JSON.stringify(report, null, 2)}\n`);
}
