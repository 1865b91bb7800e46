import { systemClock } from '@dotterelpass/values';
import type { EndpointId, FailureDomain, InstanceId, ServiceId } from '@dotterelpass/values';
import { afterEach, describe, expect, it } from 'vitest';
import { Endpoint } from '../src/endpoint.js';
import { createBackpressure } from './backpressure.js';
import { EndpointPreference } from '../src/preference.js';

let endpoints: Endpoint[] = [];

afterEach(() => {
  endpoints.forEach((endpoint) => endpoint.close());
});

function makeEndpoints(countPerDomain: number, domainCount: number): readonly Endpoint[] {
  endpoints = Array.from({ length: countPerDomain * domainCount }, (_, index) => {
    const registration = {
      id: `e${index}` as EndpointId,
      service: 'a' as ServiceId,
      address: `127.0.0.1:${index + 1}`,
      failureDomain: `z${index % domainCount}` as FailureDomain,
      slots: 3,
      state: 'ready' as const,
      startedAtMs: undefined,
      warmupMs: 0,
    };
    return new Endpoint(registration, 4, systemClock, createBackpressure(systemClock));
  });
  return endpoints;
}

const makePreference = (index: number) =>
  new EndpointPreference(`i${index}` as InstanceId, 'z0' as FailureDomain);

const listIds = (list: readonly Endpoint[]) => list.map(({ registration: { id } }) => id);

describe('EndpointPreference', () => {
  /**
   * Guards against a number of connections per instance that grows with the fleet: each instance
   * would open connections to nearly all endpoints for a few calls.
   */
  it.each([
    { name: 'all endpoints of a small pool', local: 4, domains: 4, fleet: 6, expected: 4 },
    { name: 'some of a pool for 50 instances', local: 37, domains: 4, fleet: 50, expected: 12 },
    { name: 'some of a pool for 125 instances', local: 41, domains: 6, fleet: 125, expected: 8 },
    { name: 'some of a pool for 1000 instances', local: 330, domains: 6, fleet: 1000, expected: 8 },
  ])('selects $name', ({ local, domains, fleet, expected }) => {
    const subsets = makePreference(0).selectSubsets(makeEndpoints(local, domains), [], fleet);
    expect(subsets.local).toHaveLength(expected);
    expect(subsets.furtherLocal).toHaveLength(local - expected);
    expect(subsets.remote.length).toBeLessThanOrEqual(8);
  });

  /** Guards against endpoints that no instance uses, such as those that were just added. */
  it('lets the instances of a failure domain use nearly all of its endpoints', () => {
    const list = makeEndpoints(41, 6);
    const used = Array.from({ length: 21 }, (_, index) =>
      listIds(makePreference(index).selectSubsets(list, [], 125).local),
    ).flat();
    expect(new Set(used).size).toBeGreaterThanOrEqual(39);
  });

  /** Guards against new connections of the whole fleet when one endpoint comes or goes. */
  it('changes at most one endpoint of a subset when an endpoint is removed', () => {
    const list = makeEndpoints(41, 6);
    const before = listIds(makePreference(0).selectSubsets(list, [], 125).local);
    const [removed] = before;
    const rest = list.filter(({ registration: { id } }) => id !== removed);
    const after = listIds(makePreference(0).selectSubsets(rest, [], 125).local);
    expect(after.filter((id) => !before.includes(id))).toHaveLength(1);
  });

  /**
   * Guards against an instance of an evacuated failure domain whose calls all go to a few endpoints
   * elsewhere, while others there are idle.
   */
  it.each([
    { name: 'that has none', excluded: 'removed' },
    { name: 'whose local endpoints were all tried', excluded: 'tried' },
  ])('selects as many endpoints elsewhere as local ones for a call $name', ({ excluded }) => {
    const list = makeEndpoints(37, 4);
    const isLocal = ({ registration }: Endpoint) => registration.failureDomain === 'z0';
    const locals = list.filter(isLocal);
    const listed = excluded === 'removed' ? list.filter((endpoint) => !isLocal(endpoint)) : list;
    const tried = excluded === 'tried' ? locals.map(({ registration: { id } }) => id) : [];
    const select = (index: number) => makePreference(index).selectSubsets(listed, tried, 50);
    const usualSize = makePreference(0).selectSubsets(list, [], 50).local.length;
    const { local, remote, furtherLocal } = select(0);
    expect(Math.abs(local.length - usualSize)).toBeLessThanOrEqual(4);
    expect(local.length + furtherLocal.length).toBe(3 * 37);
    expect(remote).toEqual([]);
    // Each instance has an order of its own, so the calls of a domain spread over all endpoints.
    const used = Array.from({ length: 13 }, (_, index) => listIds(select(index).local)).flat();
    expect(new Set(used).size).toBeGreaterThan(60);
  });

  it('excludes tried endpoints, and unreachable ones while others are reachable', () => {
    const list = makeEndpoints(3, 1);
    const tried = ['e0' as EndpointId];
    (list[1] as Endpoint).recordUnreachable();
    expect(listIds(makePreference(0).selectSubsets(list, tried, 6).local)).toEqual(['e2']);
    (list[2] as Endpoint).recordUnreachable();
    expect(listIds(makePreference(0).selectSubsets(list, tried, 6).local).sort()).toEqual([
      'e1',
      'e2',
    ]);
  });
});
