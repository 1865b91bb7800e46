import yargs from 'yargs';
import { z } from 'zod';

/** One setting of a program, given as a flag or an environment variable. */
export interface Setting<Schema extends z.ZodType = z.ZodType> {
  readonly describe: string;
  readonly schema: Schema;
  /** A secret is never repeated in an error message. */
  readonly secret?: boolean;
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
}

/** The outcome of reading settings: values, a text to print (help, version), or an error. */
export type SettingResult<Shape extends SettingShape> =
  | { readonly kind: 'values'; readonly values: SettingValues<Shape> }
  | { readonly kind: 'text'; readonly text: string }
  | { readonly kind: 'error'; readonly message: string };

/** Exit code of a program whose settings are wrong. */
export const badSettingExitCode = 2;

const envPrefix = 'DOTTERELPASS_';

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
    .usage(`$0 [flags]\n\n${program.describe}`)
    .version(program.version)
    .help()
    .strict()
    .exitProcess(false)
    .parserConfiguration({ 'camel-case-expansion': false, 'parse-numbers': false })
    .epilogue(`Every flag can be given as an environment variable, like ${envPrefix}LOG_LEVEL.`);
  for (const [key, setting] of Object.entries(shape)) {
    parser.option(toFlag(key), { type: 'string', describe: setting.describe, requiresArg: true });
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
  return checkValues(shape, raw, env);
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
  port: z.coerce.number('must be a port from 0 to 65535').int().min(0).max(65535),
  ip: z.ipv4('must be an IPv4 address, like 127.0.0.1'),
  address: z
    .string()
    .regex(
      /^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
      'must be an IPv4 address and port, like 127.0.0.1:80',
    ),
  milliseconds: z.coerce.number('must be a number of milliseconds').min(0).max(86_400_000),
};

function checkValues<Shape extends SettingShape>(
  shape: Shape,
  raw: Readonly<Record<string, unknown>>,
  env: NodeJS.ProcessEnv,
): SettingResult<Shape> {
  const values: Record<string, unknown> = {};
  for (const [key, setting] of Object.entries(shape)) {
    const given = raw[toFlag(key)] ?? env[toVariable(key)];
    const parsed = setting.schema.safeParse(given);
    if (!parsed.success) {
      const legal = parsed.error.issues.map((issue) => issue.message).join('; ');
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
  return { kind: 'values', values: values as SettingValues<Shape> };
}

function toFlag(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

function toVariable(key: string): string {
  return envPrefix + toFlag(key).replaceAll('-', '_').toUpperCase();
}
