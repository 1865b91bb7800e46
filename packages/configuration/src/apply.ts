import { endpointSchema, ruleSchema, serviceSchema } from '@dotterelpass/values';
import type { EndpointSpec, Rule, Service } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { P, match } from 'ts-pattern';
import { z } from 'zod';
import type { Change, Command } from './commands.js';
import type { Decision, ServiceDocument } from './document.js';
import { addDecisions } from './history.js';
import { formatChange } from './text.js';

/** Why a command is not accepted. */
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
  /** The decision that the command collided with. */
  readonly by?: Pick<Decision, 'author' | 'commandId' | 'revision' | 'text'>;
}

/** Largest service in JSON; together with the history a document stays below half of 1 MB. */
export const maxServiceBytes = 320 * 1024;

/** Largest change in JSON. */
const maxChangeBytes = 2048;

/** What a rule has when a command does not say otherwise. */
type RuleFields = Partial<Omit<Rule, 'name'>>;

type ChangeOf<Kind extends Change['kind']> = Extract<Change, { kind: Kind }>;

/**
 * Applies a command to the configuration of a service.
 *
 * @param document - The document now; undefined when the service never existed.
 * @param command - The command. Its id is not looked up here.
 * @returns The document with the next revision, or why the command changes nothing.
 */
export function applyCommand(
  document: ServiceDocument | undefined,
  command: Command,
): Result<ServiceDocument, Rejection> {
  const { change, commandId, author, atMs } = command;
  const text = formatChange(change);
  if (JSON.stringify(change).length > maxChangeBytes || text.length > maxChangeBytes) {
    return err({ reason: 'too-large', message: `a command has at most ${maxChangeBytes} bytes` });
  }
  return applyChange(document, change).map(({ service, removed }) => {
    const revision = (document?.revision ?? 0) + 1;
    const decision: Decision = { commandId, author, atMs, text, revision, change };
    return { revision, service, removed, ...addDecisions(document, [decision]) };
  });
}

/**
 * Applies a change without recording it.
 *
 * @param document - The document now; undefined when the service never existed.
 * @param change - The change.
 * @returns The service and whether it is removed after the change.
 */
export function applyChange(
  document: ServiceDocument | undefined,
  change: Change,
): Result<Pick<ServiceDocument, 'service' | 'removed'>, Rejection> {
  const name = change.service;
  if (change.kind === 'create-service') {
    if (document && !document.removed) return refuse('exists', `service ${name} exists already`);
    return ok({ service: serviceSchema.parse({ name }), removed: false });
  }
  if (!document || document.removed) return refuse('not-found', `service ${name} does not exist`);
  if (change.kind === 'remove-service') {
    return ok({ service: serviceSchema.parse({ name }), removed: true });
  }
  if (change.kind === 'restore-service') {
    return refuse('no-change', `the platform holds the configuration of ${name} that is in force`);
  }
  return applyToService(document.service, change).andThen((service) => {
    if (JSON.stringify(service) === JSON.stringify(document.service)) {
      return refuse('no-change', `the configuration of ${name} is so already`);
    }
    const checked = serviceSchema.safeParse(service);
    if (!checked.success) return refuse('bad-command', z.prettifyError(checked.error));
    if (Buffer.byteLength(JSON.stringify(checked.data)) > maxServiceBytes) {
      return refuse('too-large', `service ${name} would have more than ${maxServiceBytes} bytes`);
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
    .with({ kind: 'add-endpoint' }, (given) => addEndpoint(service, given))
    .with({ kind: 'drain-endpoint' }, ({ endpoint }) =>
      setEndpoint(service, endpoint, { state: 'draining' }),
    )
    .with({ kind: 'stop-endpoint' }, ({ endpoint }) =>
      setEndpoint(service, endpoint, { state: 'stopped' }),
    )
    .with({ kind: 'set-slots' }, ({ endpoint, slots }) => setEndpoint(service, endpoint, { slots }))
    .with({ kind: 'remove-endpoint' }, ({ endpoint }) => removeEndpoint(service, endpoint))
    .with({ kind: 'add-rule' }, (given) => addRule(service, given))
    .with({ kind: 'set-rule' }, (given) => setRule(service, given))
    .with({ kind: 'remove-rule' }, ({ rule }) =>
      removeFrom(service, 'rules', ({ name }) => name === rule, `rule ${rule}`),
    )
    .with({ kind: P.union('add-route', 'remove-route') }, (given) => changeRoute(service, given))
    .with({ kind: 'set-tenant' }, (given) => setTenant(service, given))
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
  const { kind, service: name, endpoint, ...given } = change;
  const known = service.endpoints.find(({ id }) => id === endpoint);
  if (known?.state === 'active') {
    return refuse('exists', `endpoint ${endpoint} of ${name} is active already`);
  }
  const spec = endpointSchema.safeParse({
    ...known,
    ...dropUndefined(given),
    id: endpoint,
    state: 'active',
  });
  if (!spec.success) {
    return refuse('bad-command', `a new endpoint needs an address and a failure domain`);
  }
  if (known) return setEndpoint(service, endpoint, spec.data);
  return ok({ ...service, endpoints: [...service.endpoints, spec.data] });
}

function setEndpoint(
  service: Service,
  endpoint: string,
  fields: Partial<EndpointSpec>,
): Result<Service, Rejection> {
  if (!service.endpoints.some(({ id }) => id === endpoint)) {
    return refuse('not-found', `service ${service.name} has no endpoint ${endpoint}`);
  }
  return ok({
    ...service,
    endpoints: service.endpoints.map((spec) =>
      spec.id === endpoint ? { ...spec, ...fields } : spec,
    ),
  });
}

function removeEndpoint(service: Service, endpoint: string): Result<Service, Rejection> {
  const known = service.endpoints.find(({ id }) => id === endpoint);
  if (known?.state === 'active') {
    return refuse('not-allowed', `endpoint ${endpoint} is active; drain or stop it first`);
  }
  return removeFrom(service, 'endpoints', ({ id }) => id === endpoint, `endpoint ${endpoint}`);
}

function addRule(service: Service, change: ChangeOf<'add-rule'>): Result<Service, Rejection> {
  const { kind, service: owner, rule, before, ...fields } = change;
  if (service.rules.some(({ name }) => name === rule)) {
    return refuse('exists', `rule ${rule} of ${service.name} exists already`);
  }
  const position =
    before === undefined
      ? service.rules.length
      : service.rules.findIndex(({ name }) => name === before);
  if (position < 0) return refuse('not-found', `service ${service.name} has no rule ${before}`);
  const made = ruleSchema.parse({ ...dropUndefined(fields), name: rule });
  return ok({ ...service, rules: service.rules.toSpliced(position, 0, made) });
}

function setRule(service: Service, change: ChangeOf<'set-rule'>): Result<Service, Rejection> {
  const { kind, service: owner, rule, ...fields } = change;
  if (!service.rules.some(({ name }) => name === rule)) {
    return refuse('not-found', `service ${service.name} has no rule ${rule}`);
  }
  const given: RuleFields = dropUndefined(fields);
  return ok({
    ...service,
    rules: service.rules.map((known) => (known.name === rule ? { ...known, ...given } : known)),
  });
}

function changeRoute(
  service: Service,
  { kind, pathPrefix, host }: ChangeOf<'add-route'> | ChangeOf<'remove-route'>,
): Result<Service, Rejection> {
  const isIt = (route: Service['routes'][number]) =>
    route.pathPrefix === pathPrefix && route.host === host;
  if (kind === 'remove-route') return removeFrom(service, 'routes', isIt, `route ${pathPrefix}`);
  if (service.routes.some(isIt)) {
    return refuse('exists', `route ${pathPrefix} of ${service.name} exists already`);
  }
  const route = { ...(host === undefined ? {} : { host }), pathPrefix };
  return ok({ ...service, routes: [...service.routes, route] });
}

function setTenant(service: Service, change: ChangeOf<'set-tenant'>): Result<Service, Rejection> {
  const made = { id: change.tenant as Service['tenants'][number]['id'], weight: change.weight };
  const position = service.tenants.findIndex(({ id }) => id === made.id);
  const tenants = position < 0 ? [...service.tenants, made] : service.tenants.with(position, made);
  return ok({ ...service, tenants });
}

function removeFrom<List extends 'endpoints' | 'rules' | 'routes' | 'tenants'>(
  service: Service,
  list: List,
  isIt: (item: Service[List][number]) => boolean,
  what: string,
): Result<Service, Rejection> {
  const items: readonly Service[List][number][] = service[list];
  const kept = items.filter((item) => !isIt(item));
  if (kept.length === items.length) {
    return refuse('not-found', `service ${service.name} has no ${what}`);
  }
  return ok({ ...service, [list]: kept });
}

function dropUndefined<Value extends object>(value: Value): Partial<Value> {
  return Object.fromEntries(
    Object.entries(value).filter(([, field]) => field !== undefined),
  ) as Partial<Value>;
}

function refuse(reason: Rejection['reason'], message: string): Result<never, Rejection> {
  return err({ reason, message });
}
