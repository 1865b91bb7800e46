import type { BackpressureStatus } from '@dotterelpass/backpressure';
import type { QuotaStatus } from '@dotterelpass/quota';
import type { EndpointId, FailureDomain, InstanceId, ServiceId } from '@dotterelpass/values';
import type { EvacuationStatus } from './operator-keys.js';
import type { SettingsStatus } from './settings.js';
import type { WarmupStatus } from './warmup.js';

/** An endpoint that asks for less than usual, as one instance knows it. */
export interface AskingEndpoint extends BackpressureStatus {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
}

/** A cold endpoint whose service limits what it gets, as one instance knows it. */
export interface ColdEndpoint extends WarmupStatus {
  readonly endpoint: EndpointId;
  readonly service: ServiceId;
}

/** What an instance tells operators about itself, also through another instance. */
export interface InstanceSummary {
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomain;
  readonly isReady: boolean;
  readonly isStopping: boolean;
  /** Version of the configuration in force; -1 before the first. */
  readonly configVersion: number;
  /** Services whose endpoints it cannot reach; undefined for an instance of an older version. */
  readonly outOfReach?: readonly ServiceId[];
  /** What endpoints ask it for; undefined for an instance of an older version. */
  readonly asking?: readonly AskingEndpoint[];
  /** Shared limits; undefined when none is configured, and for an instance of an older version. */
  readonly quota?: QuotaStatus | undefined;
  /** Cold endpoints of services that limit what these get; undefined for an older version. */
  readonly cold?: readonly ColdEndpoint[];
  /** Evacuations in force; undefined where they are disabled. */
  readonly evacuations?: readonly EvacuationStatus[] | undefined;
  readonly settings: SettingsStatus;
}

/** Answer of one instance to a question to the whole fleet. */
export type FleetAnswer =
  InstanceSummary | { readonly instance: InstanceId; readonly error: string };

/**
 * Formats the answers of the fleet as a table for a terminal.
 *
 * @param answers - One answer for each known instance.
 * @returns Lines of columns that are separated by at least two spaces.
 */
export function formatFleet(answers: readonly FleetAnswer[]): string {
  const header = [
    'INSTANCE',
    'READY',
    'CONFIG',
    'SETTINGS',
    'SINCE',
    'EVACUATED',
    'COLD',
    'OUT OF REACH',
    'ASKING',
    'LAST RELOAD',
  ];
  const rows = [header, ...answers.map(formatAnswer)];
  const widths = header.map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  const lines = rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}

function formatAnswer(answer: FleetAnswer): readonly string[] {
  if ('error' in answer) return [answer.instance, ...Array<string>(8).fill('?'), answer.error];
  const { instance, isReady, isStopping, configVersion, outOfReach = [], settings } = answer;
  const asking = String(answer.asking?.length ?? '?');
  const ready = isStopping ? 'stopping' : String(isReady);
  const { digest, since, lastReload } = settings;
  const evacuated = formatEvacuations(answer.evacuations);
  const unreached = outOfReach.length > 0 ? outOfReach.join(',') : '-';
  const reload = formatReload(lastReload);
  const version = String(configVersion);
  const cold = formatCold(answer.cold);
  return [instance, ready, version, digest, since, evacuated, cold, unreached, asking, reload];
}

/** @returns Failure domains with the epochs and revisions at which it was asked for. */
function formatEvacuations(evacuations: InstanceSummary['evacuations'] = []): string {
  const entries = evacuations.map(
    ({ domain, askedAt: { epoch, revision } }) => `${domain}@${epoch}/${revision}`,
  );
  return entries.length > 0 ? entries.join(',') : '-';
}

/** @returns Number of cold endpoints, and the requests that they got and those that were denied. */
function formatCold(cold: InstanceSummary['cold']): string {
  if (!cold) return '?';
  if (cold.length === 0) return '0';
  const granted = cold.reduce((sum, endpoint) => sum + endpoint.granted, 0);
  const denied = cold.reduce((sum, endpoint) => sum + endpoint.denied, 0);
  return `${cold.length} (${granted} sent, ${denied} denied)`;
}

function formatReload(record: SettingsStatus['lastReload']): string {
  if (!record) return '-';
  const { at, cause, outcome, reason, needsRestart } = record;
  const restart = needsRestart.length > 0 ? ` (restart needed: ${needsRestart.join(', ')})` : '';
  return `${outcome} ${at} ${cause}${restart}${reason === undefined ? '' : `: ${reason}`}`;
}
