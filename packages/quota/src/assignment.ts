import type { Clock, InstanceId, LimitKey } from '@dotterelpass/values';
import { computeGroup, selectCoordinators } from './groups.js';
import { CoordinatorLink } from './link.js';

/** A group of limits; instances attach to one coordinator for all of them. */
export class LimitGroup {
  readonly number: number;

  /** Tells groups with the same number apart when the number of groups changes. */
  readonly id: string;

  readonly order: readonly InstanceId[];

  /** Undefined while no coordinator responds. */
  coordinator: InstanceId | undefined;

  constructor(number: number, id: string, order: readonly InstanceId[]) {
    this.number = number;
    this.id = id;
    this.order = order;
  }

  setCoordinator(coordinator: InstanceId | undefined): void {
    this.coordinator = coordinator;
  }
}

/** Which coordinator each group of limits has on this instance, and the links to the coordinators. */
export class CoordinatorAssignment {
  readonly #clock: Clock;

  readonly #links = new Map<InstanceId, CoordinatorLink>();

  #groups: readonly LimitGroup[] = [];

  /** Names of the instances, to find changes. */
  #instances = '';

  /** @param clock - Source of time. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get groups(): readonly LimitGroup[] {
    return this.#groups;
  }

  /**
   * Divides the limits into groups, which keep their coordinators while their number stays.
   *
   * @param instances - Names of all instances, sorted.
   * @returns Whether the instances have changed.
   */
  setInstances(instances: readonly InstanceId[]): boolean {
    const names = instances.join(' ');
    if (names === this.#instances) return false;
    this.#instances = names;
    const previous = new Map(this.#groups.map(({ id, coordinator }) => [id, coordinator]));
    const orders = selectCoordinators(instances);
    this.#groups = orders.map((order, number) => {
      const group = new LimitGroup(number, `${number}/${orders.length}`, order);
      group.setCoordinator(previous.get(group.id));
      return group;
    });
    return true;
  }

  /** Takes the coordinators of all groups away. */
  clear(): void {
    this.#groups.forEach((group) => group.setCoordinator(undefined));
  }

  findGroup(key: LimitKey): LimitGroup | undefined {
    if (this.#groups.length === 0) return undefined;
    return this.#groups[computeGroup(key, this.#groups.length)];
  }

  /** Lists the groups whose coordinator is a peer. */
  listGroups(peer: InstanceId): readonly LimitGroup[] {
    return this.#groups.filter(({ coordinator }) => coordinator === peer);
  }

  /** Whether a group without a coordinator could have a peer. */
  isNeeded(peer: InstanceId): boolean {
    return this.#groups.some(
      ({ coordinator, order }) => coordinator === undefined && order.includes(peer),
    );
  }

  findLink(peer: InstanceId | undefined): CoordinatorLink | undefined {
    return peer === undefined ? undefined : this.#links.get(peer);
  }

  getOrCreateLink(peer: InstanceId): CoordinatorLink {
    const link = this.#links.get(peer) ?? new CoordinatorLink(peer);
    this.#links.set(peer, link);
    return link;
  }

  /**
   * Assigns each group to the first coordinator that is not known to be lost.
   *
   * @param onChange - Called for the coordinator that a group has left, and for its new one.
   */
  assign(onChange: (link: CoordinatorLink) => void): void {
    this.#groups.forEach((group) => {
      const before = group.coordinator;
      const next = group.order.find((peer) => !this.getOrCreateLink(peer).isDown);
      if (next === before) return;
      group.setCoordinator(next);
      [before, next].forEach((peer) => {
        const link = this.findLink(peer);
        if (link) onChange(link);
      });
    });
  }

  /**
   * Finds coordinators that may still count this instance in a group for which it uses another one,
   * and drops the links that are of no use any more.
   *
   * @param onCounted - Called for each such coordinator.
   */
  reviewReplaced(onCounted: (link: CoordinatorLink) => void): void {
    const now = this.#clock.now();
    const candidates = new Set(this.#groups.flatMap(({ order }) => order));
    const used = new Map(this.#groups.map(({ id, coordinator }) => [id, coordinator]));
    this.#links.forEach((link, peer) => {
      const mayBeCounted = link.findCountedUntil((id) => used.get(id) !== peer) > now;
      if (mayBeCounted) onCounted(link);
      else if (!candidates.has(peer) && !link.isBusy) this.#links.delete(peer);
    });
  }

  /**
   * Computes the time for which other coordinators may count this instance in a group. After a change
   * of the number of groups, any group of another division may contain the same limits.
   *
   * @param group - The group.
   * @param link - Coordinator that is left out, if any.
   * @returns Milliseconds; 0 when there is no overlap.
   */
  computeOverlapMs({ id }: LimitGroup, link?: CoordinatorLink): number {
    const now = this.#clock.now();
    const division = id.slice(id.indexOf('/'));
    const others = [...this.#links.values()].filter((other) => other !== link);
    const times = others.map((other) =>
      other.findCountedUntil((counted) => counted === id || !counted.endsWith(division)),
    );
    return Math.max(0, ...times.map((until) => until - now));
  }
}
