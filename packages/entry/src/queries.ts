import type { ServiceDocument } from '@dotterelpass/configuration';
import type { ConfigWatcher } from './config.js';
import type { FleetStatus } from './fleet.js';

/** One row of the answer to a query. */
export type Row = Readonly<Record<string, unknown>>;

/** Lists the requests that may crash endpoints, and lifts bans. */
export interface SuspectRegistry {
  list(): readonly object[];
  /** @returns Whether there was a ban or a suspect with this fingerprint. */
  lift(fingerprint: string): boolean | Promise<boolean>;
}

/** Answers operators' queries from the configuration in force here and on the other instances. */
export class OperatorQueries {
  readonly #config: ConfigWatcher;

  readonly #fleet: FleetStatus;

  readonly #suspects: SuspectRegistry | undefined;

  constructor(config: ConfigWatcher, fleet: FleetStatus, suspects?: SuspectRegistry) {
    this.#config = config;
    this.#fleet = fleet;
    this.#suspects = suspects;
  }

  /**
   * Answers one query.
   *
   * @param subject - The objects to list, such as `endpoints`.
   * @returns The rows, or undefined when this subject cannot be listed.
   */
  async list(subject: string): Promise<readonly Row[] | undefined> {
    switch (subject) {
      case 'services':
        return this.#listServices();
      case 'endpoints':
        return this.#listItems(({ endpoints }) =>
          endpoints.map(({ id, ...fields }) => ({ endpoint: id, ...fields })),
        );
      case 'rules':
        return this.#listItems(({ rules }) =>
          rules.map(({ name, ...fields }) => ({ rule: name, ...fields })),
        );
      case 'routes':
        return this.#listItems(({ routes }) => routes);
      case 'tenants':
        return this.#listItems(({ tenants }) =>
          tenants.map(({ id, weight }) => ({ tenant: id, weight })),
        );
      case 'decisions':
        return this.#documents.flatMap(listDecisions);
      case 'instances':
        return this.#listInstances();
      case 'suspects':
        return this.#suspects?.list().map((suspect) => ({ ...suspect }));
      default:
        return undefined;
    }
  }

  get #documents(): readonly ServiceDocument[] {
    const documents = [...this.#config.activeConfiguration.documents.values()];
    return documents.sort((a, b) => (a.service.name < b.service.name ? -1 : 1));
  }

  #listServices(): readonly Row[] {
    const regressions = new Map(
      this.#config.regressions.map((item) => [item.service, item.reason]),
    );
    return this.#documents.map(({ service, revision, removed }) => ({
      service: service.name,
      state: removed ? 'removed' : 'active',
      revision,
      endpoints: service.endpoints.length,
      active: service.endpoints.filter(({ state }) => state === 'active').length,
      rules: service.rules.length,
      ...service.limits,
      platform: regressions.get(service.name) ?? 'in-step',
    }));
  }

  #listItems(list: (service: ServiceDocument['service']) => readonly object[]): readonly Row[] {
    return this.#documents.flatMap(({ service }) =>
      list(service).map((item) => ({ service: service.name, ...item })),
    );
  }

  async #listInstances(): Promise<readonly Row[]> {
    const states = await this.#fleet.listInstances();
    const newest = new Map<string, number>();
    for (const [service, revision] of states.flatMap((s) => Object.entries(s.revisions ?? {}))) {
      newest.set(service, Math.max(revision, newest.get(service) ?? 0));
    }
    return states.map(({ revisions, ...state }) => ({
      ...state,
      behind:
        revisions &&
        [...newest].filter(([service, revision]) => (revisions[service] ?? 0) < revision).length,
      revisions,
    }));
  }
}

function listDecisions({ service, history }: ServiceDocument): Row[] {
  return history.map(({ revision, author, commandId, atMs, text, superseded }) => ({
    service: service.name,
    revision,
    author,
    command: commandId,
    at: new Date(atMs).toISOString(),
    text,
    state: superseded ? 'superseded' : 'accepted',
  }));
}
