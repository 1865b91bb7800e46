import type {
  Branded,
  ClassName,
  EndpointId,
  FailureDomain,
  ServiceId,
} from '@dotterelpass/values';

export type RouteName = Branded<'route'>;

/** A service that a route may send calls to, and its share of them. */
export interface RouteTarget {
  readonly service: ServiceId;
  /** Share relative to the other targets of the route. */
  readonly weight: number;
}

/** Where calls go and what may be done with them. */
export interface Route {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  readonly repeat: 'idempotent' | 'once';
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Most endpoints that one call is sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** What an instance must know of a service besides its endpoints. */
export interface ServiceSpec {
  readonly name: ServiceId;
  readonly healthPath: string;
  /** Connections that one endpoint accepts from all instances together. */
  readonly maxConnections: number;
}

/** Bounds on what callers send. */
export interface CallerBounds {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  readonly idleMs: number;
}

/** One version of the operators' configuration, whole. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceId, ServiceSpec>;
  readonly bounds: CallerBounds;
}

/** One registered endpoint. */
export interface Registration {
  readonly id: EndpointId;
  readonly service: ServiceId;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Start of its process, wall-clock milliseconds; undefined when it is not told. */
  readonly startedAtMs: number | undefined;
  /** Time for which it is still slow after its start, in milliseconds. */
  readonly warmupMs: number;
}

/** The class of a route's calls, for metrics and estimates: routes of one kind share a class. */
export function getCallClass({ repeat, priority }: Route): ClassName {
  return `${repeat}-${priority}` as ClassName;
}
