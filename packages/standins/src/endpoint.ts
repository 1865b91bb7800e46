#!/usr/bin/env node
import { readSettingsOrExit, settingSchemas } from '@dotterelpass/settings';
import { createLogger } from '@dotterelpass/telemetry';
import { z } from 'zod';
import { EndpointServer } from './server.js';
import { version } from './http.js';

const settings = await readSettingsOrExit(
  {
    name: 'dotterelpass-endpoint',
    version,
    describe:
      'Stand-in for an endpoint with limited slots, load reports and a ledger of executed calls.',
  },
  {
    listen: { describe: 'IP address and port to listen on', schema: settingSchemas.address },
    name: {
      describe: 'Name reported in responses and log lines',
      schema: z.string().min(1).default('endpoint'),
    },
    slots: {
      describe: 'Largest number of calls that run concurrently',
      schema: z.coerce.number().int().min(1).max(1024).default(3),
    },
    queue: {
      describe: 'Longest queue of calls that wait for a slot; further calls are shed',
      schema: z.coerce.number().int().min(0).max(10_000).default(16),
    },
    workMs: {
      describe: 'Service time of a call without the query parameter ms, in milliseconds',
      schema: settingSchemas.milliseconds.default(5),
    },
    connections: {
      describe: 'Largest number of open connections; further connections are closed',
      schema: z.coerce.number().int().min(1).max(65_535).default(200),
    },
    ledger: {
      describe: 'File to which each executed call is appended',
      schema: z.string().optional(),
    },
    acceptMs: {
      describe: 'Delay before a new connection is read, in milliseconds',
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
