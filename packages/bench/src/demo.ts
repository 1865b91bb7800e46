#!/usr/bin/env node
import { Runner, makeRows, measureLatency, planSchema, formatTable } from '@dotterelpass/load';
import type { Outcome, PlanInput } from '@dotterelpass/load';
import { sleep } from './cluster.js';
import { deployments } from './deployment.js';
import { Fleet } from './fleet.js';

const seed = 1;
const runMs = 12_000;
const killEntryAtMs = 4000;
const killEndpointAtMs = 7000;
const directMs = 3000;

const print = (text: string) => process.stdout.write(`${text}\n`);

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
  await drainEndpoint();
  const direct = await measureDirect();
  const outcomes = await runLoad();
  await printResults(direct, outcomes);
} finally {
  await fleet.close();
}

async function openFleet(): Promise<Fleet> {
  print('Starting the platform, 32 endpoints and 5 entry instances of the Quispe Gateway ...');
  const opened = await Fleet.open({
    deployment: deployments.quispe,
    adaptService: (service) => ({
      ...service,
      rules: service.rules.map((rule) => ({ ...rule, deadlineMs: 2000 })),
    }),
  });
  print(`Entry instances answer at ${opened.targets.join(', ')}`);
  return opened;
}

/** Drains an endpoint and waits until the command is in force on every entry instance. */
async function drainEndpoint(): Promise<void> {
  const statement = 'drain endpoint fees-8 of fees';
  print(`Operator: ${statement}`);
  const command = await fleet.runStatement(statement, '--wait');
  print((command.stdout + command.stderr).trim());
  if (command.code !== 0) throw new Error(`dotterelpassctl exited with code ${command.code}`);
  const instances = await fleet.runStatement('show instances');
  print(instances.stdout.trim());
}

/** Sends status calls directly to their endpoints, as the baseline of the added latency. */
async function measureDirect(): Promise<readonly Outcome[]> {
  print(`Measuring direct calls for ${directMs / 1000} s ...`);
  const targets = fleet.findEndpoints('status').map(({ port }) => `127.0.0.1:${port}`);
  const phases = [{ ms: directMs, callsPerSecond: 150 }];
  return new Runner(planSchema.parse({ seed, targets, phases, mix: mix.slice(0, 2) })).run();
}

async function runLoad(): Promise<readonly Outcome[]> {
  print(`Sending 260 calls/s through all five entry instances for ${runMs / 1000} s ...`);
  const phases = [{ ms: runMs, callsPerSecond: 260 }];
  const run = new Runner(planSchema.parse({ seed, targets: fleet.targets, phases, mix })).run();
  await sleep(killEntryAtMs);
  const [, entry] = fleet.entries;
  print(`${killEntryAtMs / 1000} s: killing ${entry?.name}`);
  await entry?.program.end('SIGKILL');
  await sleep(killEndpointAtMs - killEntryAtMs);
  const [endpoint] = fleet.findEndpoints('claims');
  print(`${killEndpointAtMs / 1000} s: killing endpoint ${endpoint?.name}`);
  await endpoint?.program.end('SIGKILL');
  return run;
}

async function printResults(
  direct: readonly Outcome[],
  outcomes: readonly Outcome[],
): Promise<void> {
  print(formatTable(makeRows(outcomes)));
  const measureStatusCalls = (list: readonly Outcome[]) =>
    measureLatency(
      list
        .filter(({ kind, status }) => kind === 'status' && status === 200)
        .map(({ latencyMs }) => latencyMs),
    );
  const directLatency = measureStatusCalls(direct);
  const proxiedLatency = measureStatusCalls(outcomes);
  print(
    `Status calls, added against direct calls: p50 ${(proxiedLatency.p50 - directLatency.p50).toFixed(2)} ms, ` +
      `p99 ${(proxiedLatency.p99 - directLatency.p99).toFixed(2)} ms`,
  );
  const runs = await fleet.countRuns();
  const doubleRuns = [...runs].filter(([, count]) => count > 1);
  const falseRefusals = findFalseRefusals(outcomes, runs);
  print(`Ledgers: ${runs.size} keys ran, ${doubleRuns.length} of them more than once`);
  print(`Refused as not run although their key ran: ${falseRefusals.length}`);
  if (doubleRuns.length > 0 || falseRefusals.length > 0) process.exitCode = 1;
}

/** @returns Keys that ran although every attempt with them was refused as not run. */
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
