import { endpointSchema, ruleSchema, serviceSchema } from '@dotterelpass/values';
import type { EndpointSpec, Rule, Service } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { P, match } from 'ts-pattern';
import { z } from 'zod';
import type { Change, Command } from './commands.js';
import type { Decision, ServiceDocument } from './document.js';
import { appendDecisions } from './history.js';
import { formatChange } from './text.js';

/** Why a command was rejected. */
export interface Rejection {
  readonly reason:
    | 'bad-command'
    | 'not-found'
    | 'exists'
    | 'no-change'
    | 'not-allowed'
    | 'too-large'
    | 'conflict'
    | 'id-reused'
    | 'platform-went-back'
    | 'platform-unavailable'
    | 'never-accepted';
  readonly message: string;
  /** The decision that the command conflicts with. */
  readonly by?: Pick<Decision, 'author' | 'commandId' | 'revision' | 'text'>;
}

/** Maximum size of a service in JSON. With the history a document stays below half of 1 MB. */
export const maxServiceBytes = 320 * 1024;

/** Maximum size of a change in JSON, and of its statement in the command language. */
const maxChangeBytes = 2048;

/** The fields of a rule that a command sets. */
type RuleFields = Partial<Omit<Rule, 'name'>>;

type ChangeOf<Kind extends Change['kind']> = Extract<Change, { kind: Kind }>;

/**
 * Applies a command to the configuration of a service.
 *
 * @param document - The current document; undefined when the service has never existed.
 * @param command - The command. Whether its id was accepted before is not checked here.
 * @returns The document with the next revision, or why the command is rejected.
 */
export function applyCommand(
  document: ServiceDocument | undefined,
  command: Command,
): Result<ServiceDocument, Rejection> {
  const { change, commandId, author, atMs } = command;
  const text = formatChange(change);
  if (JSON.stringify(change).length > maxChangeBytes || text.length > maxChangeBytes) {
    return err({
      reason: 'too-large',
      message: `the command exceeds the limit of ${maxChangeBytes} bytes`,
    });
  }
  return applyChange(document, change).map(({ service, removed }) => {
    const revision = (document?.revision ?? 0) + 1;
    const decision: Decision = { commandId, author, atMs, text, revision, change };
    return { revision, service, removed, ...appendDecisions(document, [decision]) };
  });
}

/**
 * Applies a change without recording it in the history.
 *
 * @param document - The current document; undefined when the service has never existed.
 * @param change - The change.
 * @returns The service and whether it is removed after the change.
 */
export function applyChange(
  document: ServiceDocument | undefined,
  change: Change,
): Result<Pick<ServiceDocument, 'service' | 'removed'>, Rejection> {
  const name = change.service;
  if (change.kind === 'create-service') {
    if (document && !document.removed) return reject('exists', `service ${name} already exists`);
    return ok({ service: serviceSchema.parse({ name }), removed: false });
  }
  if (!document || document.removed) return reject('not-found', `service ${name} does not exist`);
  if (change.kind === 'remove-service') {
    return ok({ service: serviceSchema.parse({ name }), removed: true });
  }
  if (change.kind === 'restore-service') {
    return reject('no-change', `the platform already holds the active configuration of ${name}`);
  }
  return applyToService(document.service, change).andThen((service) => {
    if (JSON.stringify(service) === JSON.stringify(document.service)) {
      return reject('no-change', `the command does not change the configuration of ${name}`);
    }
    const checked = serviceSchema.safeParse(service);
    if (!checked.success) return reject('bad-command', z.prettifyError(checked.error));
    if (Buffer.byteLength(JSON.stringify(checked.data)) > maxServiceBytes) {
      return reject(
        'too-large',
        `service ${name} would exceed the limit of ${maxServiceBytes} bytes`,
      );
    }
    return ok({ service: checked.data, removed: false });
  });
}

function applyToService(
  service: Service,
  change: Exclude<
    Change,
    ChangeOf<'create-service'> | ChangeOf<'remove-service'> | ChangeOf<'restore-service'>
  >,
): Result<Service, Rejection> {
  return match(change)
    .with({ kind: 'add-endpoint' }, (narrowed) => addEndpoint(service, narrowed))
    .with({ kind: 'drain-endpoint' }, ({ endpoint }) =>
      setEndpoint(service, endpoint, { state: 'draining' }),
    )
    .with({ kind: 'stop-endpoint' }, ({ endpoint }) =>
      setEndpoint(service, endpoint, { state: 'stopped' }),
    )
    .with({ kind: 'set-slots' }, ({ endpoint, slots }) => setEndpoint(service, endpoint, { slots }))
    .with({ kind: 'remove-endpoint' }, ({ endpoint }) => removeEndpoint(service, endpoint))
    .with({ kind: 'add-rule' }, (narrowed) => addRule(service, narrowed))
    .with({ kind: 'set-rule' }, (narrowed) => setRule(service, narrowed))
    .with({ kind: 'remove-rule' }, ({ rule }) =>
      removeFrom(service, 'rules', ({ name }) => name === rule, `rule ${rule}`),
    )
    .with({ kind: P.union('add-route', 'remove-route') }, (narrowed) =>
      changeRoute(service, narrowed),
    )
    .with({ kind: 'set-tenant' }, (narrowed) => setTenant(service, narrowed))
    .with({ kind: 'remove-tenant' }, ({ tenant }) =>
      removeFrom(service, 'tenants', ({ id }) => id === tenant, `tenant ${tenant}`),
    )
    .with({ kind: 'set-limits' }, ({ kind, service: owner, ...limits }) =>
      ok({ ...service, limits: { ...service.limits, ...dropUndefined(limits) } }),
    )
    .exhaustive();
}

function addEndpoint(
  service: Service,
  change: ChangeOf<'add-endpoint'>,
): Result<Service, Rejection> {
  const { kind, service: name, endpoint, ...fields } = change;
  const existing = service.endpoints.find(({ id }) => id === endpoint);
  if (existing?.state === 'active') {
    return reject('exists', `endpoint ${endpoint} of ${name} is already active`);
  }
  const spec = endpointSchema.safeParse({
    ...existing,
    ...dropUndefined(fields),
    id: endpoint,
    state: 'active',
  });
  if (!spec.success) {
    return reject('bad-command', `a new endpoint needs an address and a failure domain`);
  }
  if (existing) return setEndpoint(service, endpoint, spec.data);
  return ok({ ...service, endpoints: [...service.endpoints, spec.data] });
}

function setEndpoint(
  service: Service,
  endpoint: string,
  fields: Partial<EndpointSpec>,
): Result<Service, Rejection> {
  if (!service.endpoints.some(({ id }) => id === endpoint)) {
    return reject('not-found', `service ${service.name} has no endpoint ${endpoint}`);
  }
  return ok({
    ...service,
    endpoints: service.endpoints.map((spec) =>
      spec.id === endpoint ? { ...spec, ...fields } : spec,
    ),
  });
}

function removeEndpoint(service: Service, endpoint: string): Result<Service, Rejection> {
  const existing = service.endpoints.find(({ id }) => id === endpoint);
  if (existing?.state === 'active') {
    return reject('not-allowed', `endpoint ${endpoint} is active; drain or stop it first`);
  }
  return removeFrom(service, 'endpoints', ({ id }) => id === endpoint, `endpoint ${endpoint}`);
}

function addRule(service: Service, change: ChangeOf<'add-rule'>): Result<Service, Rejection> {
  const { kind, service: owner, rule, before, ...fields } = change;
  if (service.rules.some(({ name }) => name === rule)) {
    return reject('exists', `rule ${rule} of ${service.name} already exists`);
  }
  const position =
    before === undefined
      ? service.rules.length
      : service.rules.findIndex(({ name }) => name === before);
  if (position < 0) return reject('not-found', `service ${service.name} has no rule ${before}`);
  const newRule = ruleSchema.parse({ ...dropUndefined(fields), name: rule });
  return ok({ ...service, rules: service.rules.toSpliced(position, 0, newRule) });
}

function setRule(service: Service, change: ChangeOf<'set-rule'>): Result<Service, Rejection> {
  const { kind, service: owner, rule, ...fields } = change;
  if (!service.rules.some(({ name }) => name === rule)) {
    return reject('not-found', `service ${service.name} has no rule ${rule}`);
  }
  const changes: RuleFields = dropUndefined(fields);
  return ok({
    ...service,
    rules: service.rules.map((item) => (item.name === rule ? { ...item, ...changes } : item)),
  });
}

function changeRoute(
  service: Service,
  { kind, pathPrefix, host }: ChangeOf<'add-route'> | ChangeOf<'remove-route'>,
): Result<Service, Rejection> {
  const isSameRoute = (route: Service['routes'][number]) =>
    route.pathPrefix === pathPrefix && route.host === host;
  if (kind === 'remove-route')
    return removeFrom(service, 'routes', isSameRoute, `route ${pathPrefix}`);
  if (service.routes.some(isSameRoute)) {
    return reject('exists', `route ${pathPrefix} of ${service.name} already exists`);
  }
  const route = { ...(host === undefined ? {} : { host }), pathPrefix };
  return ok({ ...service, routes: [...service.routes, route] });
}

function setTenant(service: Service, change: ChangeOf<'set-tenant'>): Result<Service, Rejection> {
  const entry = { id: change.tenant as Service['tenants'][number]['id'], weight: change.weight };
  const position = service.tenants.findIndex(({ id }) => id === entry.id);
  const tenants =
    position < 0 ? [...service.tenants, entry] : service.tenants.with(position, entry);
  return ok({ ...service, tenants });
}

function removeFrom<List extends 'endpoints' | 'rules' | 'routes' | 'tenants'>(
  service: Service,
  list: List,
  isMatch: (item: Service[List][number]) => boolean,
  description: string,
): Result<Service, Rejection> {
  const items: readonly Service[List][number][] = service[list];
  const remaining = items.filter((item) => !isMatch(item));
  if (remaining.length === items.length) {
    return reject('not-found', `service ${service.name} has no ${description}`);
  }
  return ok({ ...service, [list]: remaining });
}

function dropUndefined<Value extends object>(value: Value): Partial<Value> {
  return Object.fromEntries(
    Object.entries(value).filter(([, field]) => field !== undefined),
  ) as Partial<Value>;
}

function reject(reason: Rejection['reason'], message: string): Result<never, Rejection> {
  return err({ reason, message });
}
