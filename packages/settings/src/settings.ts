import yargs from 'yargs';
import { z } from 'zod';
import { isAddress } from '@dotterelpass/values';

/** One setting of a program, read from a flag or an environment variable. */
export interface Setting<Schema extends z.ZodType = z.ZodType> {
  readonly describe: string;
  readonly schema: Schema;
  /** Whether the value must not appear in error messages. */
  readonly secret?: boolean;
  /** Whether the flag takes no value, like `--json`. */
  readonly switch?: boolean;
}

export type SettingShape = Readonly<Record<string, Setting>>;

export type SettingValues<Shape extends SettingShape> = {
  readonly [Key in keyof Shape]: z.infer<Shape[Key]['schema']>;
};

/** Description of a program for `--help` and `--version`. */
export interface Program {
  readonly name: string;
  readonly version: string;
  readonly describe: string;
  /** Usage text of the positional arguments; without it, positional arguments are rejected. */
  readonly positionalUsage?: string;
}

/** Result of reading settings: values, a text to print (help or version), or an error. */
export type SettingResult<Shape extends SettingShape> =
  | {
      readonly kind: 'values';
      readonly values: SettingValues<Shape>;
      readonly positionals: readonly string[];
    }
  | { readonly kind: 'text'; readonly text: string }
  | { readonly kind: 'error'; readonly message: string };

/** Exit code of a program whose settings are invalid. */
export const badSettingExitCode = 2;

const envPrefix = 'DOTTERELPASS_';

/**
 * Names up to this length match a misspelt name at an edit distance of 1 only, since different
 * short names may differ by 2 edits.
 */
const maxShortNameLength = 6;

/**
 * Reads settings from flags and `DOTTERELPASS_*` environment variables; a flag takes precedence.
 *
 * @param program - Name, version and purpose, for `--help` and `--version`.
 * @param shape - The settings by camel-case name. The setting `callerPort` is read from the flag
 * `--caller-port` and the variable `DOTTERELPASS_CALLER_PORT`.
 * @param argv - Command-line arguments without the program name.
 * @param env - Environment variables.
 * @returns Validated values, a text to print, or an error that names the flag and says which values
 * are valid.
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
      message = problem ?? error?.message ?? 'the command-line arguments cannot be parsed';
    });
    parser.parse([...argv], {}, (_error, parsed, output) => {
      text = output;
      resolve(parsed);
    });
  });
  if (message !== undefined) return { kind: 'error', message };
  if (raw.help === true || raw.version === true) return { kind: 'text', text };
  const positionals = (raw._ as unknown[]).map(String);
  if (positionals.length > 0 && program.positionalUsage === undefined) {
    return { kind: 'error', message: `argument ${JSON.stringify(positionals[0])} is not a flag` };
  }
  const typo = findTypo(Object.keys(shape).map(toVariable), env);
  if (typo) return { kind: 'error', message: typo };
  return validateSettings(shape, raw, env, positionals);
}

/**
 * Reads the settings of the running program. Prints the help, the version or an error and exits
 * when there are no values.
 *
 * @param program - Name, version and purpose, for `--help` and `--version`.
 * @param shape - The settings by camel-case name.
 * @returns Validated values.
 */
export async function readSettingsOrExit<Shape extends SettingShape>(
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

/** Schemas shared by several programs. */
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
  address: z.string().refine(isAddress, 'must be an IPv4 address and port, like 127.0.0.1:80'),
  milliseconds: z
    .union(
      [z.string().regex(/^\d+(?:\.\d+)?$/, 'must be a number of milliseconds'), z.number()],
      'must be a number of milliseconds',
    )
    .transform(Number)
    .pipe(z.number().min(0).max(86_400_000, 'must be at most 86400000 milliseconds')),
  /** Schema of a setting with `switch`. */
  switch: z
    .union([z.boolean(), z.enum(['true', 'false'])], 'must be true or false')
    .transform((value) => value === true || value === 'true'),
};

function validateSettings<Shape extends SettingShape>(
  shape: Shape,
  raw: Readonly<Record<string, unknown>>,
  env: NodeJS.ProcessEnv,
  positionals: readonly string[],
): SettingResult<Shape> {
  const values: Record<string, unknown> = {};
  for (const [key, setting] of Object.entries(shape)) {
    const value = raw[toFlag(key)] ?? env[toVariable(key)];
    const parsed = setting.schema.safeParse(value);
    if (!parsed.success) {
      const requirement =
        value === undefined
          ? 'must be given'
          : parsed.error.issues.map((issue) => issue.message).join('; ');
      let shownValue = 'it is not set';
      if (value !== undefined) {
        shownValue = setting.secret ? 'its value is not shown' : `got ${JSON.stringify(value)}`;
      }
      return {
        kind: 'error',
        message: `flag --${toFlag(key)} (${toVariable(key)}): ${requirement} (${shownValue})`,
      };
    }
    values[key] = parsed.data;
  }
  return { kind: 'values', values: values as SettingValues<Shape>, positionals };
}

/**
 * Finds an environment variable that looks like a misspelt setting. Other unknown variables are
 * ignored, since they may belong to another program of the project.
 *
 * @returns An error message, or undefined.
 */
function findTypo(validNames: readonly string[], env: NodeJS.ProcessEnv): string | undefined {
  for (const name of Object.keys(env)) {
    if (!name.startsWith(envPrefix) || validNames.includes(name)) continue;
    const suggestion = validNames.find((candidate) => {
      const length = candidate.length - envPrefix.length;
      return computeEditDistance(name, candidate) <= (length > maxShortNameLength ? 2 : 1);
    });
    if (suggestion) return `unknown variable ${name}; did you mean ${suggestion}?`;
  }
  return undefined;
}

/** Computes the Levenshtein distance. */
function computeEditDistance(a: string, b: string): number {
  let row = [...Array(b.length + 1).keys()];
  for (const [index, letter] of [...a].entries()) {
    const next = [index + 1];
    for (const [column, other] of [...b].entries()) {
      const substitution = (row[column] as number) + (letter === other ? 0 : 1);
      next.push(
        Math.min(substitution, (row[column + 1] as number) + 1, (next[column] as number) + 1),
      );
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
