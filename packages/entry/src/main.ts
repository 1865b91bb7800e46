#!/usr/bin/env node
import { ConsulClient, RateBudget } from '@dotterelpass/store';
import { PeerTransport, minPeerKeyLength } from '@dotterelpass/peers';
import { CallerServer } from '@dotterelpass/proxy';
import { readSettingsOrExit, settingSchemas } from '@dotterelpass/settings';
import { Metrics, createLogger, setLogLevel } from '@dotterelpass/telemetry';
import { namePattern, systemClock, systemRandom, toName } from '@dotterelpass/values';
import type { InstanceId } from '@dotterelpass/values';
import { z } from 'zod';
import { Balancer, policyNames } from './balancer.js';
import { CallHandler } from './handler.js';
import { ConfigWatcher } from './config.js';
import { OperatorApi } from './api.js';
import { PlatformDocumentStore } from './documents.js';
import { FleetStatus } from './fleet.js';
import { Registration } from './registration.js';
import { FleetOnceGate } from './once.js';
import { OperatorServer } from './operator.js';
import { FleetMembers, makeIncarnation } from './members.js';
import { Prober } from './probes.js';
import { ReadinessGate } from './readiness.js';
import { ConfigGossip } from './gossip.js';
import { FleetSuspectGate } from './suspects.js';

const nameSchema = z
  .string()
  .regex(namePattern, 'must be lower-case letters, digits and inner hyphens');

const settings = await readSettingsOrExit(
  {
    name: 'dotterelpass-entry',
    version: '0.1.0',
    describe: 'One entry instance: takes calls from callers to endpoints.',
  },
  {
    instance: { describe: 'Name of this instance', schema: nameSchema },
    failureDomain: { describe: 'Failure domain of this instance', schema: nameSchema },
    ip: { describe: 'IP address for callers', schema: settingSchemas.ip.default('127.0.0.1') },
    callerPort: { describe: 'Port for callers', schema: settingSchemas.port.default(8080) },
    operatorIp: {
      describe: 'IP address for operators',
      schema: settingSchemas.ip.default('127.0.0.1'),
    },
    operatorPort: { describe: 'Port for operators', schema: settingSchemas.port.default(9090) },
    operatorToken: {
      describe: 'Token that commands and queries need; without it both are refused',
      schema: z.string().min(16, 'must have 16 characters or more').optional(),
      secret: true,
    },
    peerIp: { describe: 'IP address for peers', schema: settingSchemas.ip.default('127.0.0.1') },
    peerPort: { describe: 'Port for peers', schema: settingSchemas.port.default(7070) },
    peerKey: {
      describe: 'Key that all entry instances share',
      schema: z.string().min(minPeerKeyLength, `must have ${minPeerKeyLength} characters or more`),
      secret: true,
    },
    peers: {
      describe: 'Other entry instances to begin with, like entry-2=127.0.0.1:7072,entry-3=...',
      schema: z
        .string()
        .default('')
        .transform((text) => text.split(',').filter(Boolean))
        .pipe(
          z.array(
            z.string().regex(/^[a-z0-9-]+=[\d.]+:\d+$/, 'must be like entry-2=127.0.0.1:7072'),
          ),
        ),
    },
    peerAddress: {
      describe:
        'IP address and port at which peers reach this instance, if not those it listens on',
      schema: settingSchemas.address.optional(),
    },
    platform: {
      describe: 'IP address and port of the platform',
      schema: settingSchemas.address,
    },
    logLevel: {
      describe: 'Least severe log level that is written: debug, info, warn or error',
      schema: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    },
    policy: {
      describe: `How endpoints are chosen: ${policyNames.join(', ')}`,
      schema: z.enum(policyNames).default('credits'),
    },
    domainDelays: {
      describe: 'One-way delay to other failure domains in ms, like cayma=1.5,yanahuara=1.5',
      schema: z
        .string()
        .regex(/^(?:[a-z0-9-]+=\d+(?:\.\d+)?(?:,|$))*$/, 'must be like cayma=1.5,yanahuara=1.5')
        .default('')
        .transform(
          (text) =>
            new Map(
              text
                .split(',')
                .filter(Boolean)
                .map((pair) => pair.split('='))
                .map(([domain = '', ms = '']) => [domain, Number(ms)] as const),
            ),
        ),
    },
    fleetMaxInstances: {
      describe: 'Entry instances among which half of the measuring budget is divided',
      schema: z.coerce.number().int().min(1).max(10_000).default(5),
    },
    fleetSlot: {
      describe: 'Place of this instance, from 0; by default its rank in the list of the platform',
      schema: z.coerce.number().int().min(0).optional(),
    },
    requireKey: {
      describe: 'Refuse calls that run at most once and bring neither a key nor a ticket',
      schema: settingSchemas.switch.default(false),
      switch: true,
    },
    stopWaitMs: {
      describe: 'Time between going unready and refusing connections, in milliseconds',
      schema: settingSchemas.milliseconds.default(1000),
    },
    stopMaxMs: {
      describe: 'Longest time that a stop waits for calls in flight, in milliseconds',
      schema: settingSchemas.milliseconds.default(30_000),
    },
  },
);

setLogLevel(settings.logLevel);
const log = createLogger('entry', { instance: settings.instance });
const metrics = new Metrics({ instance: settings.instance });
const instance = toName<InstanceId>(settings.instance);
const incarnation = makeIncarnation();
const hub = new PeerTransport({ instance, incarnation }, settings.peerKey, log);
const members = new FleetMembers({ instance, incarnation }, hub, log, metrics);
const platform = new ConsulClient(settings.platform, {
  metrics,
  budget: new RateBudget(systemClock, () => members.live.length),
  // The journals need no budget, since each of their shards makes at most one write in 40 ms.
  unbudgetedPrefix: 'once/',
});
const config = new ConfigWatcher(platform, log, metrics);
const gossip = new ConfigGossip(config, hub, members, log, metrics);
const seeds = new Map(
  settings.peers.map((peer) => {
    const [name = '', address = ''] = peer.split('=');
    return [toName<InstanceId>(name), address];
  }),
);
const registration = new Registration(platform, members, seeds, log);
const balancer = new Balancer({
  transport: hub,
  members,
  policy: settings.policy,
  failureDomain: settings.failureDomain,
  delays: settings.domainDelays,
  clock: systemClock,
  random: systemRandom,
  log,
  metrics,
  listServices: () => config.activeConfiguration.services,
});
const identity = { instance, incarnation };
const once = new FleetOnceGate(
  { identity, hub, members, platform, log, metrics },
  settings.peerKey,
);
const suspects = new FleetSuspectGate({ identity, hub, members, log, metrics });
const callHandler = new CallHandler(config, balancer, log, metrics, {
  once,
  suspects,
  requireKey: settings.requireKey,
});
const readinessGate = new ReadinessGate(config, members);
const callerServer = new CallerServer((call) =>
  readinessGate.isOpen ? callHandler.serve(call) : readinessGate.refuse(call),
);
let stopping = false;
const operatorApi = new OperatorApi({
  token: settings.operatorToken,
  config,
  documents: new PlatformDocumentStore(platform),
  fleet: new FleetStatus(hub, members, config),
  suspects,
  log,
  metrics,
});
const operatorServer = new OperatorServer(
  metrics,
  () => readinessGate.isReady && !stopping,
  operatorApi,
);

metrics.addGauge(
  'calls_in_flight',
  'Calls that have not been answered yet.',
  () => callerServer.activeCalls,
);
metrics.addGauge('calls_queued', 'Calls that wait for a slot.', () => balancer.queued);

const prober = new Prober({
  self: instance,
  platform,
  clock: systemClock,
  metrics,
  maxInstances: settings.fleetMaxInstances,
  fleetSlot: settings.fleetSlot,
  listServices: () => config.activeConfiguration.services,
  isIdle: (service, endpoint) => balancer.isIdle(service, endpoint),
  recordProbe: (...probe) => balancer.recordProbe(...probe),
  recordLeavingAddress: (address) => balancer.recordLeavingAddress(address),
});

balancer.setReportSource((service, endpoint) => prober.requestReport(service, endpoint));
balancer.start();
prober.start();
void config.watchPlatform();
const peerPort = await hub.listen(settings.peerIp, settings.peerPort);
const peerAddress = settings.peerAddress ?? `${settings.peerIp}:${peerPort}`;
members.start(peerAddress);
void gossip.runAntiEntropy();
const operatorPort = await operatorServer.open(settings.operatorIp, settings.operatorPort);
const callerPort = await callerServer.listen(settings.ip, settings.callerPort);
void registration.maintain(
  { id: instance, address: settings.ip, port: callerPort, meta: { incarnation } },
  peerAddress,
);
log.info('started', {
  callerPort,
  operatorPort,
  peerPort,
  incarnation,
  failureDomain: settings.failureDomain,
});

process.once('SIGTERM', () => {
  void stop();
});

async function stop(): Promise<void> {
  stopping = true;
  log.info('stopping', { active: callHandler.activeCalls });
  callerServer.startDraining();
  // The platform's load balancer needs this time to notice that the instance is not ready.
  await new Promise((resolve) => {
    setTimeout(resolve, settings.stopWaitMs);
  });
  const maxDrainMs = Math.min(settings.stopMaxMs, callHandler.longestDeadlineMs);
  const drainDeadline = performance.now() + maxDrainMs;
  await callerServer.close(maxDrainMs);
  // A `once` call continues after its caller disconnects, so that its outcome can be settled.
  await callHandler.waitUntilIdle(drainDeadline - performance.now());
  config.stop();
  gossip.stop();
  await Promise.all([members.leave(), registration.stop()]);
  hub.close();
  prober.stop();
  balancer.close();
  platform.close();
  operatorServer.close();
  log.info('stopped');
  process.exit(0);
}
