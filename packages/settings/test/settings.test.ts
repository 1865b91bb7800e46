import { describe, expect, it } from 'vitest';
import { z } from 'zod';
import { readSettings, settingSchemas } from '../src/settings.js';

const shape = {
  callerPort: { describe: 'Port', schema: settingSchemas.port.default(8080) },
  ip: { describe: 'Address', schema: settingSchemas.ip.default('127.0.0.1') },
  waitMs: { describe: 'Wait', schema: settingSchemas.milliseconds.default(5) },
  platform: { describe: 'Platform', schema: settingSchemas.address },
  token: { describe: 'Token', schema: z.string().min(16, 'must be long').optional(), secret: true },
  json: { describe: 'JSON', schema: settingSchemas.switch.default(false), switch: true },
};
const program = { name: 'prog', version: '1.2.3', describe: 'A program.' };
const platform = ['--platform', '10.0.0.1:8500'];

async function read(args: readonly string[], env: NodeJS.ProcessEnv = {}, usage?: string) {
  return readSettings(
    { ...program, ...(usage ? { positionalUsage: usage } : {}) },
    shape,
    args,
    env,
  );
}

describe('readSettings', () => {
  /** Guards against an address that no connection can reach. */
  it.each(['10.0.0.256:80', '10.0.0.1:65536', '10.0.0.1', '10.0.0:80', '10.0.0.1:80:1', 'a:80'])(
    'rejects the address %s',
    async (text) => {
      expect(await read(['--platform', text])).toMatchObject({ kind: 'error' });
    },
  );

  /** Guards against a wrong precedence of flag, variable and default. */
  it.each([
    { args: [], env: {}, expected: { callerPort: 8080, json: false } },
    { args: [], env: { DOTTERELPASS_CALLER_PORT: '81' }, expected: { callerPort: 81 } },
    {
      args: ['--caller-port', '82', '--json'],
      env: { DOTTERELPASS_CALLER_PORT: '81' },
      expected: { callerPort: 82, json: true },
    },
    { args: [], env: { DOTTERELPASS_JSON: 'true' }, expected: { json: true } },
    { args: [], env: { DOTTERELPASS_INSTANCE: 'other', HOME: '/' }, expected: {} },
  ])('reads $args and $env', async ({ args, env, expected }) => {
    expect(await read([...platform, ...args], env)).toMatchObject({
      kind: 'values',
      values: expected,
    });
  });

  /** Guards against errors that omit the flag or the valid values, or that show a secret. */
  it.each([
    { args: [], parts: ['--platform', 'DOTTERELPASS_PLATFORM', 'must be given'] },
    { args: ['--caller-port', '70000'], parts: ['--caller-port', '0 to 65535', '"70000"'] },
    { args: ['--caller-port', ''], parts: ['--caller-port', '0 to 65535'] },
    { args: ['--caller-port', '1', '--caller-port', '2'], parts: ['--caller-port'] },
    { args: ['--ip', 'localhost'], parts: ['--ip', 'IPv4', '"localhost"'] },
    { args: ['--wait-ms', 'soon'], parts: ['--wait-ms', 'milliseconds'] },
    { args: ['--token', 'hunter2'], parts: ['--token', 'must be long', 'not shown'] },
    { args: ['--plattform', 'x'], parts: ['plattform'] },
    { args: ['stray'], parts: ['"stray"', 'not a flag'] },
    {
      args: [],
      env: { DOTTERELPASS_CALLER_PROT: '1' },
      parts: ['DOTTERELPASS_CALLER_PROT', 'did you mean DOTTERELPASS_CALLER_PORT'],
    },
  ])('rejects $args', async ({ args, parts, env = {} }) => {
    const argv = parts.includes('must be given') ? args : [...platform, ...args];
    const result = await read(argv, env);
    const text = result.kind === 'error' ? result.message : `no error: ${result.kind}`;
    parts.forEach((part) => expect(text).toContain(part));
    expect(text).not.toContain('hunter2');
  });

  /** Guards against `--help` and `--version` that fail on a missing required setting. */
  it.each([
    { flag: '--version', part: '1.2.3' },
    { flag: '--help', part: '--caller-port' },
  ])('returns a text for $flag', async ({ flag, part }) => {
    const result = await read([flag]);
    expect(result.kind === 'text' && result.text).toContain(part);
  });

  /** Guards against rejecting or losing the arguments of a program such as `dotterelpassctl`. */
  it('returns positional arguments when the program takes them', async () => {
    const result = await read([...platform, 'show', 'services'], {}, '[statement]');
    expect(result).toMatchObject({ kind: 'values', positionals: ['show', 'services'] });
  });
});
