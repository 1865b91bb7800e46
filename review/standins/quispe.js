import { Buffer } from 'node:buffer';
import { Traffic, pickWork } from './traffic.js';

/** Zones of the five machines of the site quispe-arbitrios. */
export const machineZones = ['cercado', 'cercado', 'yanahuara', 'cayma', 'paucarpata'];

const zones = ['cercado', 'yanahuara', 'cayma', 'paucarpata'];

export const hosts = {
  status: 'status.example',
  lodge: 'lodge.example',
  pay: 'pay.example',
};

/** Workers and mean work, in milliseconds, of the services. */
const services = [
  { service: 'consulta', count: 16, workMs: 51, bytes: 400 },
  { service: 'expediente', count: 8, workMs: 66, bytes: 1500 },
  { service: 'tesoreria', count: 8, workMs: 36, bytes: 1500 },
];

export const routes = [
  {
    name: 'r-status',
    hostname: hosts.status,
    prefix: '/status/',
    type: 'safe',
    timeout_s: 1.2,
    target_latency_s: 0.2,
    priority: 2,
    service: 'consulta',
  },
  {
    name: 'r-lodge',
    hostname: hosts.lodge,
    prefix: '/lodge/',
    type: 'unsafe',
    timeout_s: 0.8,
    target_latency_s: 0.25,
    priority: 1,
    service: 'expediente',
  },
  {
    name: 'r-pay',
    hostname: hosts.pay,
    prefix: '/pay/',
    type: 'unsafe',
    timeout_s: 1,
    target_latency_s: 0.15,
    priority: 0,
    service: 'tesoreria',
  },
];

/** Longest time, in milliseconds, that a request of a kind may be kept waiting. */
export const limitMs = { status: 1200, lodge: 800, pay: 1000 };

/** Starts the workers of the site; `override` changes their options. */
export async function addWorkers(deployment, override = () => ({})) {
  for (const { service, count, workMs, bytes } of services) {
    for (let index = 0; index < count; index++) {
      await deployment.addWorker({
        service,
        zone: zones[index % zones.length],
        pickWorkMs: () => pickWork(workMs),
        pickBytes: () => bytes,
        ...override(service, index),
      });
    }
  }
}

/** Creates the site's traffic, scaled by a factor. */
export function createTraffic(deployment, factor = 1) {
  const kinds = [
    {
      kind: 'status',
      perS: 155,
      habit: 'pool',
      make: (count) => ({
        method: 'GET',
        host: hosts.status,
        path: `/status/${count.toString(16)}`,
        deadlineMs: 1200,
      }),
    },
    {
      kind: 'lodge',
      perS: 60,
      habit: 'fresh',
      make: (count) => ({
        method: 'POST',
        host: hosts.lodge,
        path: `/lodge/${count.toString(16)}`,
        body: Buffer.alloc(1200, 'l'),
        deadlineMs: 1500,
      }),
    },
    {
      kind: 'pay',
      perS: 42,
      habit: 'fresh',
      make: (count) => ({
        method: 'PUT',
        host: hosts.pay,
        path: `/pay/${count.toString(16)}`,
        body: Buffer.alloc(300, 'p'),
        deadlineMs: 1000,
      }),
    },
  ];
  return kinds.map((spec) => new Traffic(deployment, { ...spec, perS: spec.perS * factor }));
}
