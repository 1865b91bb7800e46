#!/usr/bin/env node
import { writeFileSync } from 'node:fs';
import { readSettingsOrExit } from '@dotterelpass/settings';
import { z } from 'zod';
import { plotOutcomes } from './plot.js';
import { readPlan } from './plan.js';
import { makeRows, formatTable } from './report.js';
import { Runner } from './runner.js';

const settings = await readSettingsOrExit(
  {
    name: 'dotterelpass-load',
    version: '0.1.0',
    describe: 'Open-loop load generator: sends calls at planned times and reports their outcomes.',
  },
  {
    plan: { describe: 'JSON file with targets, phases and mix', schema: z.string().min(1) },
    seed: {
      describe: 'Seed of the arrivals; the default is the seed of the plan',
      schema: z.coerce.number().int().optional(),
    },
    json: { describe: 'File for the report as JSON', schema: z.string().optional() },
    svg: { describe: 'File for a plot over time', schema: z.string().optional() },
  },
);

try {
  const plan = readPlan(settings.plan);
  const seed = settings.seed ?? plan.seed;
  const outcomes = await new Runner({ ...plan, seed }).run();
  const rows = makeRows(outcomes);
  process.stdout.write(`${formatTable(rows)}\n`);
  if (settings.json) writeFileSync(settings.json, `${JSON.stringify({ seed, rows }, null, 2)}\n`);
  if (settings.svg) writeFileSync(settings.svg, await plotOutcomes(outcomes));
} catch (error) {
  process.stderr.write(`dotterelpass-load: ${(error as Error).message}\n`);
  process.exitCode = 1;
}
