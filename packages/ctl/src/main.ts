#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { authorSchema } from '@dotterelpass/configuration';
import { badSettingExitCode, readSettings, settingSchemas } from '@dotterelpass/settings';
import { z } from 'zod';
import { OperatorClient } from './client.js';
import { runPrompt } from './prompt.js';
import { Session } from './session.js';

const result = await readSettings(
  {
    name: 'dotterelpassctl',
    version: '0.1.0',
    describe:
      'Queries and commands for operators (docs/language.md), such as "show endpoints where ' +
      'state = draining" or "drain endpoint fees-1 of fees". Without a statement and without ' +
      '--file it reads statements from the terminal.',
    positionalUsage: '[statement]',
  },
  {
    operators: {
      describe: 'Operator ports of entry instances, tried in turn, like 127.0.0.1:9090,...',
      schema: z
        .string()
        .default('127.0.0.1:9090')
        .transform((text) => text.split(','))
        .pipe(z.array(settingSchemas.address).min(1)),
    },
    operatorToken: {
      describe: 'Token of the operator ports',
      schema: z.string().min(1, 'must not be empty'),
      secret: true,
    },
    author: {
      describe: 'Name that is recorded with each decision',
      schema: authorSchema.default(() => userInfo().username),
    },
    file: {
      describe: 'File with one statement a line; - reads the standard input',
      schema: z.string().optional(),
    },
    json: {
      describe: 'Print JSON instead of tables',
      schema: settingSchemas.switch.default(false),
      switch: true,
    },
    wait: {
      describe: 'Wait until every entry instance has each accepted command in force',
      schema: settingSchemas.switch.default(false),
      switch: true,
    },
    timeoutMs: {
      describe: 'Longest wait for one answer, and with --wait for all instances, in milliseconds',
      schema: settingSchemas.milliseconds.default(15_000),
    },
    expectedRevision: {
      describe: 'Reject a command when its service has a later decision on the same thing',
      schema: z
        .string()
        .regex(/^\d{1,15}$/, 'must be a revision, 0 or more')
        .transform(Number)
        .optional(),
    },
  },
  process.argv.slice(2),
  process.env,
);

if (result.kind === 'values')
  process.exitCode = await runSession(result.values, result.positionals);
else if (result.kind === 'text') process.stdout.write(`${result.text}\n`);
else {
  process.stderr.write(`dotterelpassctl: ${result.message}\n`);
  process.exitCode = badSettingExitCode;
}

async function runSession(
  settings: Extract<typeof result, { kind: 'values' }>['values'],
  positionals: readonly string[],
): Promise<number> {
  const client = new OperatorClient(settings.operators, settings.operatorToken, settings.timeoutMs);
  const session = new Session(client, {
    ...settings,
    print: (text) => process.stdout.write(`${text}\n`),
    printError: (text) => process.stderr.write(`${text}\n`),
  });
  if (positionals.length > 0) return session.runStatements(positionals.join(' '));
  if (settings.file === undefined) return runPrompt(session);
  let source: string;
  try {
    source = readFileSync(settings.file === '-' ? 0 : settings.file, 'utf8');
  } catch (error) {
    process.stderr.write(`dotterelpassctl: flag --file: ${(error as Error).message}\n`);
    return badSettingExitCode;
  }
  return session.runStatements(source);
}
