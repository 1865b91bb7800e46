import yargs from 'yargs';
import { z } from 'zod';

/** One setting of a program, given as a flag or an environment variable. */
export interface Setting<Schema extends z.ZodType = z.ZodType> {
  readonly describe: string;
  readonly schema: Schema;
  /** A secret is never repeated in an error message. */
  readonly secret?: boolean;
  /** A switch stands without a value, like `--json`. */
  readonly switch?: boolean;
}

export type SettingShape = Readonly<Record<string, Setting>>;

export type SettingValues<Shape extends SettingShape> = {
  readonly [Key in keyof Shape]: z.infer<Shape[Key]['schema']>;
};

/** What a program tells about itself. */
export interface Program {
  readonly name: string;
  readonly version: string;
  readonly describe: string;
  /** Usage of arguments that are not flags; without it they are refused. */
  readonly positionalUsage?: string;
}

/** The outcome of reading settings: values, a text to print (help, version), or an error. */
export type SettingResult<Shape extends SettingShape> =
  | {
      readonly kind: 'values';
      readonly values: SettingValues<Shape>;
      /** The arguments that are not flags. */
      readonly positionals: readonly string[];
    }
  | { readonly kind: 'text'; readonly text: string }
  | { readonly kind: 'error'; readonly message: string };

/** Exit code of a program whose settings are wrong. */
export const badSettingExitCode = 2;

const envPrefix = 'DOTTERELPASS_';

/** Names up to this length are mistaken by one edit at most, or different names would be near. */
const shortName = 6;

/**
 * Reads settings from flags and `DOTTERELPASS_*` environment variables; a flag goes first.
 *
 * @param program - Name, version and purpose, for `--help` and `--version`.
 * @param shape - The settings by camel-case name. `callerPort` is `--caller-port` and
 * `DOTTERELPASS_CALLER_PORT`.
 * @param argv - Arguments after the program's name.
 * @param env - Environment variables.
 * @returns Checked values, a text to print, or an error that names the flag and what is legal.
 */
export async function readSettings<Shape extends SettingShape>(
  program: Program,
  shape: Shape,
  argv: readonly string[],
  env: NodeJS.ProcessEnv,
): Promise<SettingResult<Shape>> {
  const parser = yargs([])
    .scriptName(program.name)
    .usage(
      `$0 [flags]${program.positionalUsage ? ` ${program.positionalUsage}` : ''}\n\n${program.describe}`,
    )
    .version(program.version)
    .help()
    .strictOptions()
    .exitProcess(false)
    .parserConfiguration({ 'camel-case-expansion': false, 'parse-numbers': false })
    .epilogue(`Every flag can be given as an environment variable, like ${envPrefix}LOG_LEVEL.`);
  for (const [key, setting] of Object.entries(shape)) {
    parser.option(toFlag(key), {
      describe: setting.describe,
      ...(setting.switch ? { type: 'boolean' } : { type: 'string', requiresArg: true }),
    });
  }
  let text = '';
  let message: string | undefined;
  const raw = await new Promise<Record<string, unknown>>((resolve) => {
    parser.fail((problem, error) => {
      message = problem ?? error?.message ?? 'the arguments cannot be read';
    });
    parser.parse([...argv], {}, (_error, parsed, output) => {
      text = output;
      resolve(parsed);
    });
  });
  if (message !== undefined) return { kind: 'error', message };
  if (raw.help === true || raw.version === true) return { kind: 'text', text };
  const rest = (raw._ as unknown[]).map(String);
  if (rest.length > 0 && program.positionalUsage === undefined) {
    return { kind: 'error', message: `argument ${JSON.stringify(rest[0])} is not a flag` };
  }
  const typo = findTypo(Object.keys(shape).map(toVariable), env);
  if (typo) return { kind: 'error', message: typo };
  return checkValues(shape, raw, env, rest);
}

/**
 * Reads the settings of the running program; prints help, version or an error and exits when
 * there is nothing to run.
 *
 * @param program - Name, version and purpose.
 * @param shape - The settings.
 * @returns Checked values.
 */
export async function requireSettings<Shape extends SettingShape>(
  program: Program,
  shape: Shape,
): Promise<SettingValues<Shape>> {
  const result = await readSettings(program, shape, process.argv.slice(2), process.env);
  if (result.kind === 'values') return result.values;
  if (result.kind === 'text') {
    process.stdout.write(`${result.text}\n`);
    process.exit(0);
  }
  process.stderr.write(`${program.name}: ${result.message}\n`);
  process.exit(badSettingExitCode);
}

/** Schemas that most programs share. */
export const settingSchemas = {
  port: z
    .union(
      [z.string().regex(/^\d{1,5}$/, 'must be a port from 0 to 65535'), z.number()],
      'must be a port from 0 to 65535',
    )
    .transform(Number)
    .pipe(
      z
        .number()
        .int('must be a port from 0 to 65535')
        .min(0, 'must be a port from 0 to 65535')
        .max(65535, 'must be a port from 0 to 65535'),
    ),
  ip: z.ipv4('must be an IPv4 address, like 127.0.0.1'),
  address: z
    .string()
    .regex(
      /^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
      'must be an IPv4 address and port, like 127.0.0.1:80',
    ),
  milliseconds: z
    .union(
      [z.string().regex(/^\d+(?:\.\d+)?$/, 'must be a number of milliseconds'), z.number()],
      'must be a number of milliseconds',
    )
    .transform(Number)
    .pipe(z.number().min(0).max(86_400_000, 'must be at most 86400000 milliseconds')),
  /** For a setting with `switch`. */
  switch: z
    .union([z.boolean(), z.enum(['true', 'false'])], 'must be true or false')
    .transform((value) => value === true || value === 'true'),
};

function checkValues<Shape extends SettingShape>(
  shape: Shape,
  raw: Readonly<Record<string, unknown>>,
  env: NodeJS.ProcessEnv,
  rest: readonly string[],
): SettingResult<Shape> {
  const values: Record<string, unknown> = {};
  for (const [key, setting] of Object.entries(shape)) {
    const given = raw[toFlag(key)] ?? env[toVariable(key)];
    const parsed = setting.schema.safeParse(given);
    if (!parsed.success) {
      const legal =
        given === undefined
          ? 'must be given'
          : parsed.error.issues.map((issue) => issue.message).join('; ');
      let shown = 'it is not set';
      if (given !== undefined) {
        shown = setting.secret ? 'its value is not shown' : `got ${JSON.stringify(given)}`;
      }
      return {
        kind: 'error',
        message: `flag --${toFlag(key)} (${toVariable(key)}): ${legal} (${shown})`,
      };
    }
    values[key] = parsed.data;
  }
  return { kind: 'values', values: values as SettingValues<Shape>, positionals: rest };
}

/** Another program's variable may be set as well, so only near misses are errors. */
function findTypo(known: readonly string[], env: NodeJS.ProcessEnv): string | undefined {
  for (const name of Object.keys(env)) {
    if (!name.startsWith(envPrefix) || known.includes(name)) continue;
    const near = known.find((candidate) => {
      const length = candidate.length - envPrefix.length;
      return countEdits(name, candidate) <= (length > shortName ? 2 : 1);
    });
    if (near) return `variable ${name} is not known; did you mean ${near}?`;
  }
  return undefined;
}

/** Levenshtein distance. */
function countEdits(a: string, b: string): number {
  let row = [...Array(b.length + 1).keys()];
  for (const [index, letter] of [...a].entries()) {
    const next = [index + 1];
    for (const [column, other] of [...b].entries()) {
      const replaced = (row[column] as number) + (letter === other ? 0 : 1);
      next.push(Math.min(replaced, (row[column + 1] as number) + 1, (next[column] as number) + 1));
    }
    row = next;
  }
  return row[b.length] as number;
}

function toFlag(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

function toVariable(key: string): string {
  return envPrefix + toFlag(key).replaceAll('-', '_').toUpperCase();
}
