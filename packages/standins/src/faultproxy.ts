#!/usr/bin/env node
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readSettingsOrExit, settingSchemas } from '@dotterelpass/settings';
import { createLogger } from '@dotterelpass/telemetry';
import { z } from 'zod';
import { readBody, sendJson, version } from './http.js';
import { Pipe, pipeFaultSchema } from './pipe.js';

const routePattern = /^[a-z0-9-]+=(?:\d{1,3}\.){3}\d{1,3}:\d+>(?:\d{1,3}\.){3}\d{1,3}:\d+$/;
const distancePattern = /^(?:\d{1,3}\.){3}\d{1,3}=\d+(?:\.\d+)?$/;

const settings = await readSettingsOrExit(
  {
    name: 'dotterelpass-faultproxy',
    version,
    describe: 'TCP proxy that injects faults: delays, dropped data, resets, cuts, one-way links.',
  },
  {
    control: {
      describe: 'IP address and port of the control server',
      schema: settingSchemas.address,
    },
    routes: {
      describe: 'Routes, like a=127.0.0.1:7001>127.0.0.1:8001,b=...',
      schema: z
        .string()
        .transform((text) => text.split(',').filter(Boolean))
        .pipe(z.array(z.string().regex(routePattern, 'must be like a=127.0.0.1:1>127.0.0.1:2'))),
    },
    distances: {
      describe:
        'One-way delay in milliseconds by the source IP address of a connection, like 127.0.1.1=1.5',
      schema: z
        .string()
        .default('')
        .transform((text) => text.split(',').filter(Boolean))
        .pipe(z.array(z.string().regex(distancePattern, 'must be like 127.0.1.1=1.5'))),
    },
  },
);

const log = createLogger('faultproxy');
const delayMsBySource = new Map(
  settings.distances.map((text) => {
    const [ip = '', ms = ''] = text.split('=');
    return [ip, Number(ms)];
  }),
);
const pipes = new Map<string, Pipe>();
for (const text of settings.routes) {
  const [name = '', addresses = ''] = text.split('=');
  const [listen = '', target = ''] = addresses.split('>');
  const pipe = new Pipe({ listen, target }, delayMsBySource);
  await pipe.open();
  pipes.set(name, pipe);
}

const server = createServer((request, response) => {
  serve(request, response).catch((error: unknown) => {
    sendJson(response, 400, { error: String(error) });
  });
});
const [ip, port] = settings.control.split(':');
server.listen(Number(port), ip, () => log.info('listening', { routes: pipes.size }));
process.on('SIGTERM', () => process.exit(0));

/** Serves `PUT /standin/faults/ROUTE`, which sets the faults of one route, or of all with `*`. */
async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const body = await readBody(request);
  const name = decodeURIComponent((request.url ?? '').split('/').at(-1) ?? '');
  const selected = name === '*' ? [...pipes.values()] : [pipes.get(name)];
  if (request.method !== 'PUT' || selected.includes(undefined)) {
    sendJson(response, 404, { error: `no route ${JSON.stringify(name)}` });
    return;
  }
  const faults = pipeFaultSchema.safeParse(JSON.parse(body.toString()));
  if (!faults.success) {
    sendJson(response, 400, { error: z.prettifyError(faults.error) });
    return;
  }
  selected.forEach((pipe) => pipe?.setFaults(faults.data));
  sendJson(response, 200, { routes: selected.length, ...faults.data });
}
