import type { Workspace, WorkspaceTable } from '@dotterelpass/workspaces';
import type {
  Branded,
  ClassName,
  EndpointId,
  EndpointVersion,
  FailureDomain,
  Incarnation,
  ServiceId,
} from '@dotterelpass/values';

export type RouteName = Branded<'route'>;

/** A service that receives calls of a route, and its share of them. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Weight relative to the other targets of the route. */
  readonly weight: number;
}

/** Rule that assigns calls to services, with their timeouts and retry limits. */
export interface Route {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  readonly repeat: 'idempotent' | 'once';
  /** Maximum time until the caller gets a response, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which a response has its full value, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Maximum number of attempts per call; each goes to another endpoint. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly isPublic?: boolean;
}

/** Settings of a service. */
export interface ServiceSpec {
  readonly name: ServiceId;
  readonly healthPath: string;
  /** Maximum connections to one endpoint from all instances together. */
  readonly maxConnections: number;
  /** Requests a second that a cold endpoint takes from all instances; undefined without a limit. */
  readonly warmupRatePerSecond?: number | undefined;
}

/** Limits on requests and connections of callers. */
export interface CallerBounds {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  readonly idleMs: number;
}

/** One complete version of the configuration. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, ServiceSpec>;
  readonly bounds: CallerBounds;
  /** Undefined when the configuration asks for no keys. */
  readonly workspaces?: WorkspaceTable | undefined;
}

/** Registration of an endpoint. */
export interface Registration {
  readonly id: EndpointId;
  readonly service: ServiceId;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Version of its software; undefined when not registered. */
  readonly version?: EndpointVersion | undefined;
  /** Start of the process in wall-clock milliseconds; undefined when not registered. */
  readonly startedAtMs: number | undefined;
  /** Remaining warm-up time, in which the endpoint is slow, in milliseconds. */
  readonly warmupMs: number;
}

/** @returns The name of the present incarnation of an endpoint, which may keep its id when it restarts. */
export function getIncarnation({ id, startedAtMs }: Registration): Incarnation {
  const name: string = startedAtMs === undefined ? id : `${id}@${startedAtMs}`;
  return name as Incarnation;
}

/** The parts of a call that determine its class. */
export interface ClassifiedCall {
  readonly route: Pick<Route, 'repeat' | 'priority'>;
  readonly workspace?: Workspace | undefined;
}

/** Returns the priority of a call; that of its workspace goes before that of its route. */
export function getCallPriority({ route, workspace }: ClassifiedCall): number {
  return workspace?.priority ?? route.priority;
}

/** Returns the class of a call: calls of equal repeat mode and priority share one. */
export function getCallClass(call: ClassifiedCall): ClassName {
  return `${call.route.repeat}-${getCallPriority(call)}` as ClassName;
}
