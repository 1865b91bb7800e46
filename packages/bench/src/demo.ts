#!/usr/bin/env node
import { Runner, makeRows, measureLatency, planSchema, writeTable } from '@dotterelpass/load';
import type { Outcome, PlanInput } from '@dotterelpass/load';
import { sleep } from './cluster.js';
import { deployments } from './deployment.js';
import { Fleet } from './fleet.js';

const seed = 1;
const runMs = 12_000;
const killEntryAtMs = 4000;
const killEndpointAtMs = 7000;
const directMs = 3000;

const say = (text: string) => process.stdout.write(`${text}\n`);

const mix: PlanInput['mix'] = [
  { name: 'status', tenant: 'pensioners', path: '/status/1', weight: 6, workMs: 8 },
  { name: 'status', tenant: 'notaries', path: '/status/2', weight: 3, workMs: 8 },
  ...['claims', 'fees'].map((name) => ({
    name,
    tenant: 'pensioners',
    method: 'POST',
    path: `/${name}`,
    weight: 2,
    workMs: 12,
    bodyBytes: 256,
    keyed: true,
    resends: 3,
    resendAfterMs: 300,
  })),
];

const fleet = await openFleet();
try {
  await giveCommand();
  const direct = await measureDirect();
  const outcomes = await runLoad();
  await showResults(direct, outcomes);
} finally {
  await fleet.close();
}

async function openFleet(): Promise<Fleet> {
  say('Starting the platform, 32 endpoints and 5 entry instances of the Quispe Gateway ...');
  const opened = await Fleet.open({
    deployment: deployments.quispe,
    adapt: (service) => ({
      ...service,
      rules: service.rules.map((rule) => ({ ...rule, deadlineMs: 2000 })),
    }),
  });
  say(`Entry instances answer at ${opened.targets.join(', ')}`);
  return opened;
}

/** Drains an endpoint and waits until every entry instance has the command in force. */
async function giveCommand(): Promise<void> {
  const statement = 'drain endpoint fees-8 of fees';
  say(`Operator: ${statement}`);
  const command = await fleet.runStatement(statement, '--wait');
  say((command.stdout + command.stderr).trim());
  if (command.code !== 0) throw new Error(`the command ended with code ${command.code}`);
  const instances = await fleet.runStatement('show instances');
  say(instances.stdout.trim());
}

/** Sends status calls straight to their endpoints, as the measure of what the path adds. */
async function measureDirect(): Promise<readonly Outcome[]> {
  say(`Measuring direct calls for ${directMs / 1000} s ...`);
  const targets = fleet.findEndpoints('status').map(({ port }) => `127.0.0.1:${port}`);
  const phases = [{ ms: directMs, callsPerSecond: 150 }];
  return new Runner(planSchema.parse({ seed, targets, phases, mix: mix.slice(0, 2) })).run();
}

async function runLoad(): Promise<readonly Outcome[]> {
  say(`Sending 260 calls/s through all five entry instances for ${runMs / 1000} s ...`);
  const phases = [{ ms: runMs, callsPerSecond: 260 }];
  const run = new Runner(planSchema.parse({ seed, targets: fleet.targets, phases, mix })).run();
  await sleep(killEntryAtMs);
  const [, entry] = fleet.entries;
  say(`${killEntryAtMs / 1000} s: killing ${entry?.name}`);
  await entry?.running.end('SIGKILL');
  await sleep(killEndpointAtMs - killEntryAtMs);
  const [endpoint] = fleet.findEndpoints('claims');
  say(`${killEndpointAtMs / 1000} s: killing endpoint ${endpoint?.name}`);
  await endpoint?.running.end('SIGKILL');
  return run;
}

async function showResults(
  direct: readonly Outcome[],
  outcomes: readonly Outcome[],
): Promise<void> {
  say(writeTable(makeRows(outcomes)));
  const readStatus = (list: readonly Outcome[]) =>
    measureLatency(
      list
        .filter(({ kind, status }) => kind === 'status' && status === 200)
        .map(({ latencyMs }) => latencyMs),
    );
  const straight = readStatus(direct);
  const through = readStatus(outcomes);
  say(
    `Status calls, added against direct calls: p50 ${(through.p50 - straight.p50).toFixed(2)} ms, ` +
      `p99 ${(through.p99 - straight.p99).toFixed(2)} ms`,
  );
  const runs = await fleet.countRuns();
  const doubles = [...runs].filter(([, count]) => count > 1);
  const falseRefusals = findFalseRefusals(outcomes, runs);
  say(`Ledgers: ${runs.size} keys ran, ${doubles.length} of them more than once`);
  say(`Refused as not run although their key ran: ${falseRefusals.length}`);
  if (doubles.length > 0 || falseRefusals.length > 0) process.exitCode = 1;
}

/** @returns Keys whose every sending was refused as not run, and which ran all the same. */
function findFalseRefusals(
  outcomes: readonly Outcome[],
  runs: ReadonlyMap<string, number>,
): string[] {
  const uncertain = new Set(
    outcomes
      .filter(({ key, verdict, status }) => key && (status === 200 || verdict !== 'not-run'))
      .map(({ key }) => key),
  );
  const refused = new Set(outcomes.map(({ key }) => key).filter((key) => key !== undefined));
  return [...refused].filter((key) => !uncertain.has(key) && runs.has(key));
}
