import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, InstanceId, LimitKey, Random } from '@dotterelpass/values';
import { computeOverlapRate, computeUsableMs } from './bounds.js';
import type { QuotaBounds } from './bounds.js';
import type { CoordinatedGroup, QuotaCoordinator } from './coordinator.js';
import { computeGroup, selectCoordinators } from './groups.js';
import { InstanceLimit, tokenTtlMs } from './limit.js';
import type { AskedLimit, DenialCause, LimitCounts, Waiter } from './limit.js';
import { FleetLimiter } from './limiter.js';
import type { LimitSpec, QuotaDecision } from './limiter.js';
import { CoordinatorLink } from './link.js';
import type {
  QuotaFailure,
  QuotaRequest,
  QuotaResponse,
  QuotaTransport,
  TokenAnswer,
} from './message.js';

/** Minimum time between two messages to the same coordinator. */
const batchIntervalMs = 20;

/** Interval of the messages to a coordinator that should no longer count this instance. */
const detachIntervalMs = 250;

/** Interval of the checks, and time without a message after which an attachment is renewed. */
const tickIntervalMs = 250;
const renewIntervalMs = 900;

/** Maximum delay of the first attachment, so that instances do not send at the same moment. */
const startSpreadMs = 50;

/** Coordinators that may fail to answer for one request before the own share decides about it. */
const maxFailovers = 2;

/** What an instance decides about shared limits, for the log. */
export type QuotaEvent =
  | {
      readonly kind: 'failover';
      readonly groups: readonly number[];
      readonly from: InstanceId;
      /** Undefined when no coordinator responds, so that the own share is used. */
      readonly to: InstanceId | undefined;
      readonly reason: string;
      /** Time since the last response, in milliseconds; undefined when there was none. */
      readonly ageMs: number | undefined;
      readonly size: number;
    }
  | {
      readonly kind: 'denials-began';
      readonly limit: LimitSpec;
      readonly cause: DenialCause;
      readonly coordinator: InstanceId | undefined;
      /** Instances attached to the coordinator, and its tokens; undefined for the own share. */
      readonly attached: number | undefined;
      readonly tokens: number | undefined;
      readonly size: number;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'denials-ended';
      readonly limit: LimitSpec;
      readonly lastedMs: number;
      readonly denied: number;
    };

export interface QuotaClientOptions {
  readonly self: InstanceId;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: QuotaTransport;
  /** The coordinator of this instance, for limits that are assigned to it. */
  readonly coordinator: QuotaCoordinator;
  /** Fleet size to assume until the instances are known. */
  readonly assumedSize: number;
  getBounds(): QuotaBounds;
  /** Runs an action after a delay in milliseconds. */
  schedule(action: () => void, delayMs: number): void;
  onEvent(event: QuotaEvent): void;
}

/** A group of limits; instances attach to one coordinator for all of them. */
class LimitGroup {
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

interface Exchange {
  readonly request: QuotaRequest;
  /** Groups to which the message attaches. */
  readonly ids: readonly string[];
  readonly asked: readonly AskedLimit[];
  readonly sentAt: number;
}

/** What operators see of a limit. */
export interface LimitStatus extends LimitSpec, LimitCounts {
  readonly coordinator: InstanceId | undefined;
}

/** What operators see of the shared limits on one instance. */
export interface QuotaStatus {
  readonly isActive: boolean;
  readonly size: number;
  readonly groups: readonly {
    readonly group: number;
    readonly coordinator: InstanceId | undefined;
  }[];
  readonly coordinating: readonly CoordinatedGroup[];
  readonly limits: readonly LimitStatus[];
}

/** Takes tokens from the coordinators of the fleet, or from the own share while none responds. */
export class QuotaClient extends FleetLimiter {
  readonly #options: QuotaClientOptions;

  readonly #limits = new Map<LimitKey, InstanceLimit>();

  /** Limits with requests that wait or with unused tokens. */
  readonly #pending = new Set<InstanceLimit>();

  readonly #links = new Map<InstanceId, CoordinatorLink>();

  #groups: readonly LimitGroup[] = [];

  /** Names of the instances, to find changes. */
  #instances = '';

  #size: number;

  #isActive = false;

  /** Tells the timer of the present activation from those of earlier ones. */
  #activation = 0;

  readonly #totals = { granted: 0, denied: 0, failovers: 0, messages: 0 };

  constructor(options: QuotaClientOptions) {
    super();
    this.#options = options;
    this.#size = options.assumedSize;
  }

  /** Number of limits with a state here. */
  get limitCount(): number {
    return this.#limits.size;
  }

  /** Counts of all limits together, for metrics. */
  get totals(): Readonly<Record<'granted' | 'denied' | 'failovers' | 'messages', number>> {
    return this.#totals;
  }

  /**
   * Sets the instances of the fleet.
   *
   * @param instances - Names of all registered instances; this one is added.
   * @param size - Number of instances, including those that were lost a short time ago.
   */
  setInstances(instances: readonly InstanceId[], size: number): void {
    const { self, coordinator } = this.#options;
    const sorted = [...new Set([...instances, self])].sort();
    this.#size = Math.max(size, sorted.length);
    coordinator.setSize(this.#size);
    const names = sorted.join(' ');
    if (names === this.#instances) return;
    this.#instances = names;
    const previous = new Map(this.#groups.map(({ id, coordinator: before }) => [id, before]));
    const orders = selectCoordinators(sorted);
    this.#groups = orders.map((order, number) => {
      const group = new LimitGroup(number, `${number}/${orders.length}`, order);
      group.setCoordinator(previous.get(group.id));
      return group;
    });
    if (!this.#isActive) return;
    this.#updateCoordinators();
    this.#wakeWaiters();
  }

  /**
   * Checks whether a coordinator still responds.
   *
   * @param peer - An instance whose connection has closed.
   */
  notifyClosed(peer: InstanceId): void {
    const link = this.#links.get(peer);
    const isUsed = this.#groups.some(({ coordinator }) => coordinator === peer);
    if (link && isUsed) this.#sendSoon(link);
  }

  /** @param isActive - Whether any limit is configured; otherwise nothing is sent. */
  setActive(isActive: boolean): void {
    if (isActive === this.#isActive) return;
    this.#isActive = isActive;
    this.#activation += 1;
    const activation = this.#activation;
    const { schedule, random } = this.#options;
    if (isActive) schedule(() => this.#tick(activation), random.next() * startSpreadMs);
    else this.#groups.forEach((group) => group.setCoordinator(undefined));
    this.#wakeWaiters();
  }

  override async take(spec: LimitSpec, isReturning = false): Promise<QuotaDecision> {
    const limit = this.#getOrCreateLimit(spec);
    if (limit.takeToken()) {
      this.#totals.granted += 1;
      return { kind: 'granted' };
    }
    const { remainingDenialMs } = limit;
    if (remainingDenialMs > 0) return this.#deny(limit, 'not-due', remainingDenialMs);
    const link = this.#findLink(limit);
    if (!link) return this.#takeFromShare(limit);
    return new Promise((resolve) => {
      this.#addWaiter(limit, { resolve, failovers: 0, isReturning });
      this.#sendSoon(link);
    });
  }

  override giveBack(key: LimitKey): void {
    const limit = this.#limits.get(key);
    if (!limit) return;
    limit.returnToken();
    this.#pending.add(limit);
  }

  /** @returns The state for operators. */
  readStatus(): QuotaStatus {
    const { coordinator } = this.#options;
    const groups = this.#isActive ? this.#groups : [];
    return {
      isActive: this.#isActive,
      size: this.#size,
      groups: groups.map((group) => ({ group: group.number, coordinator: group.coordinator })),
      coordinating: this.#isActive ? coordinator.readStatus() : [],
      limits: [...this.#limits.values()].map((limit) => ({
        ...limit.spec,
        coordinator: this.#findGroup(limit)?.coordinator,
        ...limit.readCounts(),
      })),
    };
  }

  #getOrCreateLimit(spec: LimitSpec): InstanceLimit {
    const { clock, random } = this.#options;
    const limit = this.#limits.get(spec.key) ?? new InstanceLimit(clock, random, spec);
    this.#limits.set(spec.key, limit);
    limit.update(spec);
    return limit;
  }

  #addWaiter(limit: InstanceLimit, waiter: Waiter): void {
    limit.addWaiter(waiter);
    this.#pending.add(limit);
  }

  #findGroup({ spec }: InstanceLimit): LimitGroup | undefined {
    if (!this.#isActive || this.#groups.length === 0) return undefined;
    return this.#groups[computeGroup(spec.key, this.#groups.length)];
  }

  #findLink(limit: InstanceLimit): CoordinatorLink | undefined {
    const group = this.#findGroup(limit);
    if (group && group.coordinator === undefined) this.#updateCoordinators();
    return group?.coordinator === undefined ? undefined : this.#getOrCreateLink(group.coordinator);
  }

  #getOrCreateLink(peer: InstanceId): CoordinatorLink {
    const link = this.#links.get(peer) ?? new CoordinatorLink(peer);
    this.#links.set(peer, link);
    return link;
  }

  #takeFromShare(limit: InstanceLimit): QuotaDecision {
    const { spec } = limit;
    const group = this.#findGroup(limit);
    const bounds = this.#options.getBounds();
    const isOverlapping = group !== undefined && this.#computeOverlapMs(group, undefined) > 0;
    const rate = isOverlapping ? computeOverlapRate(spec, bounds) : spec.ratePerSecond;
    const usableMs = computeUsableMs(spec, bounds);
    const decision = limit.takeFromShare(rate / this.#size, usableMs);
    if (decision.kind === 'granted') this.#totals.granted += 1;
    else this.#recordDenial(limit, 'own-share', decision.retryAfterMs);
    return decision;
  }

  #deny(
    limit: InstanceLimit,
    cause: DenialCause,
    dueMs: number,
    answer?: TokenAnswer,
  ): QuotaDecision {
    const retryAfterMs = limit.drawRetryAfterMs(dueMs);
    this.#recordDenial(limit, cause, retryAfterMs, answer);
    return { kind: 'denied', retryAfterMs };
  }

  #recordDenial(
    limit: InstanceLimit,
    cause: DenialCause,
    retryAfterMs: number,
    answer?: TokenAnswer,
  ): void {
    this.#totals.denied += 1;
    if (!limit.recordDenial(cause)) return;
    this.#options.onEvent({
      kind: 'denials-began',
      limit: limit.spec,
      cause,
      coordinator: this.#findGroup(limit)?.coordinator,
      attached: answer?.attached,
      tokens: answer?.tokens,
      size: this.#size,
      retryAfterMs,
    });
  }

  /** Renews attachments, looks for coordinators that respond again, and drops unused limits. */
  #tick(activation: number): void {
    if (activation !== this.#activation) return;
    const { schedule } = this.#options;
    this.#updateCoordinators();
    this.#groups.forEach((group) => this.#checkCoordinators(group));
    this.#wakeWaiters();
    this.#limits.forEach((limit, key) => this.#maintainLimit(limit, key));
    schedule(() => this.#tick(activation), tickIntervalMs);
  }

  /** Sends a message to the coordinator of a group, and to those before it, if one is due. */
  #checkCoordinators({ order, coordinator }: LimitGroup): void {
    const end = coordinator === undefined ? order.length : order.indexOf(coordinator) + 1;
    order.slice(0, end).forEach((peer) => this.#renew(this.#getOrCreateLink(peer)));
  }

  #renew(link: CoordinatorLink): void {
    if (this.#options.clock.now() - link.sentAt >= renewIntervalMs) this.#sendSoon(link);
  }

  /** Moves the requests on that wait for a coordinator which is no longer used. */
  #wakeWaiters(): void {
    this.#pending.forEach((limit) => {
      if (!limit.hasWaiters) return;
      const link = this.#findLink(limit);
      if (link) this.#sendSoon(link);
      else limit.removeWaiters().forEach(({ resolve }) => resolve(this.#takeFromShare(limit)));
    });
  }

  #maintainLimit(limit: InstanceLimit, key: LimitKey): void {
    const period = limit.finishDenials();
    if (period) this.#options.onEvent({ kind: 'denials-ended', limit: limit.spec, ...period });
    if (!limit.isUnused) return;
    this.#limits.delete(key);
    this.#pending.delete(limit);
  }

  /** Assigns each group to the first coordinator that is not known to be lost. */
  #updateCoordinators(): void {
    this.#groups.forEach((group) => {
      const before = group.coordinator;
      const next = group.order.find((peer) => !this.#getOrCreateLink(peer).isDown);
      if (next === before) return;
      group.setCoordinator(next);
      [before, next].forEach((peer) => {
        const link = peer === undefined ? undefined : this.#links.get(peer);
        if (link) this.#sendSoon(link);
      });
    });
    this.#detachFromReplaced();
  }

  /**
   * Tells coordinators that are no longer used not to count this instance any more. One that has only
   * stalled answers soon, which ends the overlap.
   */
  #detachFromReplaced(): void {
    const now = this.#options.clock.now();
    const candidates = new Set(this.#groups.flatMap(({ order }) => order));
    const used = new Map(this.#groups.map(({ id, coordinator }) => [id, coordinator]));
    this.#links.forEach((link, peer) => {
      const mayBeCounted = link.findCountedUntil((id) => used.get(id) !== peer) > now;
      if (mayBeCounted && now - link.sentAt >= detachIntervalMs) this.#sendSoon(link);
      else if (!mayBeCounted && !candidates.has(peer) && !link.isBusy) this.#links.delete(peer);
    });
  }

  #sendSoon(link: CoordinatorLink): void {
    link.setDue();
    this.#flush(link);
  }

  /** Sends the message that is due to a coordinator, or schedules it. */
  #flush(link: CoordinatorLink): void {
    if (!this.#isActive || !link.isDue || link.isBusy || link.isScheduled) return;
    const { clock, schedule, self } = this.#options;
    const waitMs = link.peer === self ? 0 : link.sentAt + batchIntervalMs - clock.now();
    if (waitMs <= 0) {
      void this.#exchange(link);
      return;
    }
    link.setScheduled(true);
    schedule(() => {
      link.setScheduled(false);
      this.#flush(link);
    }, waitMs);
  }

  async #exchange(link: CoordinatorLink): Promise<void> {
    const { transport, clock, self, coordinator } = this.#options;
    const now = clock.now();
    if (link.peer === self) link.renewStamp(coordinator.readStamp(), now);
    const exchange = this.#buildExchange(link);
    link.recordSent(exchange.ids, now);
    let result: Result<QuotaResponse, QuotaFailure>;
    if (link.peer === self) result = ok(coordinator.handleRequest(self, exchange.request));
    else {
      this.#totals.messages += 1;
      result = await transport.request(link.peer, exchange.request, link.timeoutMs);
    }
    if (result.isErr()) {
      link.recordFailure(result.error);
      this.#failOver(link, exchange, result.error.message);
    } else if (result.value.isLeaving) {
      link.recordResponse(result.value, exchange.ids, false, clock.now());
      this.#failOver(link, exchange, 'the coordinator stops');
    } else this.#acceptResponse(link, exchange, result.value);
    this.#flush(link);
  }

  #buildExchange(link: CoordinatorLink): Exchange {
    const groups = this.#groups.filter(({ coordinator }) => coordinator === link.peer);
    const numbers = new Set(groups.map(({ number }) => number));
    const asked = [...this.#pending].flatMap((limit) => {
      if (!numbers.has(computeGroup(limit.spec.key, this.#groups.length))) return [];
      this.#pending.delete(limit);
      const question = limit.buildQuestion();
      return question ? [question] : [];
    });
    const overlapsMs = groups.map((group) => this.#computeOverlapMs(group, link));
    const request: QuotaRequest = {
      groupCount: this.#groups.length,
      groups: [...numbers],
      overlapsMs: overlapsMs.some((ms) => ms > 0) ? overlapsMs : undefined,
      stamp: link.stamp,
      questions: asked.map(({ question }) => question),
    };
    const ids = groups.map(({ id }) => id);
    return { request, ids, asked, sentAt: this.#options.clock.now() };
  }

  /**
   * Computes the time for which other coordinators may count this instance in a group. After a change
   * of the number of groups, any group of another division may contain the same limits.
   */
  #computeOverlapMs({ id }: LimitGroup, link: CoordinatorLink | undefined): number {
    const now = this.#options.clock.now();
    const division = id.slice(id.indexOf('/'));
    const others = [...this.#links.values()].filter((other) => other !== link);
    const times = others.map((other) =>
      other.findCountedUntil((counted) => counted === id || !counted.endsWith(division)),
    );
    return Math.max(0, ...times.map((until) => until - now));
  }

  #acceptResponse(link: CoordinatorLink, exchange: Exchange, response: QuotaResponse): void {
    const isNeeded = this.#groups.some(
      ({ coordinator, order }) => coordinator === undefined && order.includes(link.peer),
    );
    const wasDown = link.isDown;
    const hasDetached = link.recordResponse(
      response,
      exchange.ids,
      isNeeded,
      this.#options.clock.now(),
    );
    exchange.asked.forEach((asked) => this.#settleWaiters(asked, response, exchange.sentAt));
    if (link.isDown !== wasDown) this.#updateCoordinators();
    // With the stamp of this response, the next message attaches.
    if (!response.isCounted) this.#sendSoon(link);
    // The others can now count this instance without an overlap.
    if (hasDetached) {
      this.#groups.forEach(({ coordinator }) => {
        const other = coordinator === undefined ? undefined : this.#links.get(coordinator);
        if (other && other !== link) this.#sendSoon(other);
      });
    }
  }

  #settleWaiters({ limit, waiters }: AskedLimit, response: QuotaResponse, sentAt: number): void {
    const answer = response.answers.find(({ key }) => key === limit.spec.key);
    // A response that waited while this process was paused brings tokens that have expired.
    if (!answer || this.#options.clock.now() >= sentAt + tokenTtlMs) {
      waiters.forEach((waiter) => this.#retry(limit, waiter));
      return;
    }
    waiters.slice(0, answer.granted).forEach(({ resolve }) => {
      limit.recordGrant();
      this.#totals.granted += 1;
      resolve({ kind: 'granted' });
    });
    const refused = waiters.slice(answer.granted);
    if (refused.length === 0) return;
    limit.setDenial(answer);
    refused.forEach(({ resolve }) =>
      resolve(this.#deny(limit, 'coordinator', answer.dueMs, answer)),
    );
    // Those that came since the question are in the same position.
    limit
      .removeWaiters()
      .forEach(({ resolve }) => resolve(this.#deny(limit, 'not-due', limit.remainingDenialMs)));
  }

  /** Asks again for a request whose question has not been answered. */
  #retry(limit: InstanceLimit, { resolve, failovers, isReturning }: Waiter): void {
    const link = failovers >= maxFailovers ? undefined : this.#findLink(limit);
    if (!link) {
      resolve(this.#takeFromShare(limit));
      return;
    }
    this.#addWaiter(limit, { resolve, failovers: failovers + 1, isReturning });
    link.setDue();
  }

  #failOver(link: CoordinatorLink, { asked }: Exchange, reason: string): void {
    const { clock, onEvent } = this.#options;
    const groups = this.#groups.filter(({ coordinator }) => coordinator === link.peer);
    this.#updateCoordinators();
    if (groups.length > 0) {
      this.#totals.failovers += 1;
      onEvent({
        kind: 'failover',
        groups: groups.map(({ number }) => number),
        from: link.peer,
        to: groups[0]?.coordinator,
        reason,
        ageMs: link.answeredAt === -Infinity ? undefined : clock.now() - link.answeredAt,
        size: this.#size,
      });
    }
    asked.forEach(({ limit, waiters }) => waiters.forEach((waiter) => this.#retry(limit, waiter)));
    this.#wakeWaiters();
  }
}
