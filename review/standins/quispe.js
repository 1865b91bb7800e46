import { Buffer } from 'node:buffer';
import { Traffic, pickWork } from './traffic.js';

/** Zones of the five machines of the site quispe-arbitrios. */
export const machineZones = ['cercado', 'cercado', 'yanahuara', 'cayma', 'paucarpata'];

export const hosts = {
  status: 'status.example',
  lodge: 'lodge.example',
  pay: 'pay.example',
};

/** Number of workers in each zone, and mean work, in milliseconds, of the services. */
const services = [
  {
    service: 'consulta',
    counts: { cercado: 5, yanahuara: 5, cayma: 3, paucarpata: 3 },
    workMs: 51,
    bytes: 400,
  },
  {
    service: 'expediente',
    counts: { cercado: 2, yanahuara: 2, cayma: 3, paucarpata: 1 },
    workMs: 66,
    bytes: 1500,
  },
  {
    service: 'tesoreria',
    counts: { cercado: 2, yanahuara: 2, cayma: 2, paucarpata: 2 },
    workMs: 36,
    bytes: 1500,
  },
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
  for (const { service, counts, workMs, bytes } of services) {
    const zones = Object.entries(counts).flatMap(([zone, count]) => new Array(count).fill(zone));
    for (const [index, zone] of zones.entries()) {
      await deployment.addWorker({
        service,
        zone,
        pickWorkMs: () => pickWork(workMs),
        pickBytes: () => bytes,
        ...override(service, index),
      });
    }
  }
}

/**
 * Creates the site's traffic, scaled by a factor.
 *
 * @param {object} deployment
 * @param {number} factor
 * @param {object} options - How often requests are sent again, and the path of a lookup.
 */
export function createTraffic(
  deployment,
  factor = 1,
  { retries = 0, makeLookupPath = (count) => `/status/${count.toString(16)}` } = {},
) {
  const kinds = [
    {
      kind: 'status',
      perS: 155,
      habit: 'pool',
      make: (count) => ({
        method: 'GET',
        host: hosts.status,
        path: makeLookupPath(count),
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
  return kinds.map(
    (spec) => new Traffic(deployment, { ...spec, retries, perS: spec.perS * factor }),
  );
}
