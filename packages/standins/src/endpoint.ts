#!/usr/bin/env node
import { requireSettings, settingSchemas } from '@dotterelpass/settings';
import { createLogger } from '@dotterelpass/telemetry';
import { z } from 'zod';
import { EndpointServer } from './server.js';
import { version } from './http.js';

const settings = await requireSettings(
  {
    name: 'dotterelpass-endpoint',
    version,
    describe: 'Stand-in for an endpoint: a few slots, load reports, a ledger of every run.',
  },
  {
    listen: { describe: 'IP address and port to listen on', schema: settingSchemas.address },
    name: { describe: 'Name on the ledger', schema: z.string().min(1).default('endpoint') },
    slots: {
      describe: 'Calls that run at once',
      schema: z.coerce.number().int().min(1).max(1024).default(3),
    },
    queue: {
      describe: 'Calls that wait for a slot before calls are shed',
      schema: z.coerce.number().int().min(0).max(10_000).default(16),
    },
    workMs: {
      describe: 'Time that a call takes when it does not say, in milliseconds',
      schema: settingSchemas.milliseconds.default(5),
    },
    connections: {
      describe: 'Open connections before new ones are refused',
      schema: z.coerce.number().int().min(1).max(65_535).default(200),
    },
    ledger: { describe: 'File to which each run is added', schema: z.string().optional() },
    acceptMs: {
      describe: 'Time before a new connection is served, in milliseconds',
      schema: settingSchemas.milliseconds.default(1),
    },
  },
);

const log = createLogger('endpoint', { name: settings.name });
const [ip = '', port = ''] = settings.listen.split(':');
const endpoint = new EndpointServer(settings);
endpoint.on('crash', () => process.exit(1));
log.info('listening', { address: ip, port: await endpoint.open(ip, Number(port)) });
process.on('SIGTERM', () => process.exit(0));
