import { Cancellation } from '@dotterelpass/proxy';
import { systemClock } from '@dotterelpass/values';
import type { ServiceId, WorkspaceId } from '@dotterelpass/values';
import type { Workspace } from '@dotterelpass/workspaces';
import { describe, expect, it } from 'vitest';
import { CallAdmission } from '../src/admission.js';
import { getCallClass, getCallPriority } from '../src/catalog.js';
import type { Route, RouteName } from '../src/catalog.js';
import { LatencyEstimator } from '../src/latency.js';
import { RouteTable } from '../src/routes.js';
import { buildTable } from './workspaces.js';

const service = 'a' as ServiceId;

const makeRoute = (priority: number, change: Partial<Route> = {}): Route => ({
  name: `r${priority}` as RouteName,
  host: 'h',
  pathPrefix: `/${priority}/`,
  targets: [{ service, weight: 1 }],
  repeat: 'once',
  timeoutMs: 30_000,
  targetLatencyMs: 20_000,
  maxAttempts: 1,
  priority,
  ...change,
});

const makeWorkspace = (priority: number | undefined): Workspace => ({
  name: `w${priority}` as WorkspaceId,
  priority,
  ratePerSecond: 0,
  burst: 0,
});

describe('the priority of a call', () => {
  /** Guards against a workspace whose urgency depends on the route. */
  it.each([
    { name: 'a workspace', routePriority: 2, workspace: makeWorkspace(1), expected: 1 },
    { name: 'the most urgent', routePriority: 2, workspace: makeWorkspace(0), expected: 0 },
    { name: 'a less urgent one', routePriority: 0, workspace: makeWorkspace(5), expected: 5 },
    { name: 'none of its own', routePriority: 2, workspace: makeWorkspace(undefined), expected: 2 },
    { name: 'no workspace', routePriority: 2, workspace: undefined, expected: 2 },
  ])('with $name is $expected', ({ routePriority, workspace, expected }) => {
    const call = { route: makeRoute(routePriority), workspace };
    expect(getCallPriority(call)).toBe(expected);
    expect(getCallClass(call)).toBe(`once-${expected}`);
  });

  /** Guards against calls of an urgent workspace that wait behind those of an urgent route. */
  it('decides the order in which calls that wait get an endpoint', async () => {
    const endpoint = { load: 3, registration: { slots: 3 } };
    const picker = { pick: async () => ({ endpoint, expectedMs: 1 }), findNextRequestAt: () => 0 };
    const options = { clock: systemClock, latency: new LatencyEstimator(), picker };
    const admission = new CallAdmission(options as never);
    const order: string[] = [];
    const admit = async (name: string, routePriority: number, workspace?: Workspace) => {
      const cancellation = new Cancellation();
      const targetDeadlineAt = performance.now() + 20_000;
      const route = makeRoute(routePriority);
      const incoming = { cancellation };
      const call = { service, route, workspace, isUrgent: false, targetDeadlineAt, incoming };
      await admission.admitCall(call, []);
      order.push(name);
      endpoint.load = 3;
    };
    const calls = [
      admit('route 1', 1),
      admit('route 0, workspace 4', 0, makeWorkspace(4)),
      admit('route 3, workspace 0', 3, makeWorkspace(0)),
      admit('route 2, workspace without', 2, makeWorkspace(undefined)),
    ];
    while (admission.countWaiting(service) < calls.length) await Promise.resolve();
    for (let count = 1; count <= calls.length; count++) {
      endpoint.load = 0;
      admission.notifyCapacity(service);
      while (order.length < count) {
        await new Promise((resolve) => {
          setTimeout(resolve, 1);
        });
      }
    }
    expect(order).toEqual([
      'route 3, workspace 0',
      'route 1',
      'route 2, workspace without',
      'route 0, workspace 4',
    ]);
  });
});

describe('the priorities that calls of a service can have', () => {
  const all = [0, 1, 2, 5];

  /**
   * Guards against calls that take the last slots, or little of the retry budget, although no other
   * calls of their service can be less, or more, urgent.
   */
  it.each([
    {
      name: 'no workspaces',
      workspaces: undefined,
      isPublic: false,
      urgent: [0, 1],
      deferrable: [1, 2, 5],
    },
    {
      name: 'a workspace without a priority',
      workspaces: buildTable({ w: [] }),
      isPublic: false,
      urgent: [0, 1],
      deferrable: [1, 2, 5],
    },
    {
      name: 'workspaces that all have a priority',
      workspaces: buildTable({ w: [] }, 1),
      isPublic: false,
      urgent: [0],
      deferrable: [2, 5],
    },
    {
      name: 'workspaces that all have a priority, and public routes',
      workspaces: buildTable({ w: [] }, 5),
      isPublic: true,
      urgent: [0, 1, 2],
      deferrable: [1, 2, 5],
    },
  ])('with $name', ({ workspaces, isPublic, urgent, deferrable }) => {
    const table = new RouteTable();
    table.setConfig({
      version: 1,
      routes: [makeRoute(0, { isPublic }), makeRoute(2, { isPublic })],
      services: new Map(),
      bounds: { maxHeaderBytes: 1, maxBodyBytes: 1, headersTimeoutMs: 1, idleMs: 1 },
      workspaces,
    });
    expect(all.filter((priority) => table.isUrgent({ priority }, service))).toEqual(urgent);
    expect(all.filter((priority) => table.isDeferrable({ priority }, service))).toEqual(deferrable);
  });
});
