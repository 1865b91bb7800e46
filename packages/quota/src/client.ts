import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, InstanceId, LimitKey, Random } from '@dotterelpass/values';
import { computeOverlapRate, computeUsableMs } from './bounds.js';
import type { QuotaBounds } from './bounds.js';
import { CoordinatorAssignment } from './assignment.js';
import type { LimitGroup } from './assignment.js';
import type { QuotaCoordinator } from './coordinator.js';
import { InstanceLimit, tokenTtlMs } from './limit.js';
import type { AskedLimit, DenialCause, Waiter } from './limit.js';
import { FleetLimiter } from './limiter.js';
import type { LimitSpec, QuotaDecision } from './limiter.js';
import type { CoordinatorLink } from './link.js';
import type {
  QuotaFailure,
  QuotaRequest,
  QuotaResponse,
  QuotaTransport,
  TokenAnswer,
} from './message.js';
import type { QuotaEvent, QuotaStatus } from './status.js';

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

interface Exchange {
  readonly request: QuotaRequest;
  /** Groups to which the message attaches. */
  readonly ids: readonly string[];
  readonly asked: readonly AskedLimit[];
  readonly sentAt: number;
}

/** Takes tokens from the coordinators of the fleet, or from the own share while none responds. */
export class QuotaClient extends FleetLimiter {
  readonly #options: QuotaClientOptions;

  readonly #limits = new Map<LimitKey, InstanceLimit>();

  /** Limits with requests that wait or with unused tokens. */
  readonly #pending = new Set<InstanceLimit>();

  readonly #assignment: CoordinatorAssignment;

  #size: number;

  #isActive = false;

  /** Tells the timer of the present activation from those of earlier ones. */
  #activation = 0;

  readonly #totals = { granted: 0, denied: 0, failovers: 0, messages: 0 };

  constructor(options: QuotaClientOptions) {
    super();
    this.#options = options;
    this.#size = options.assumedSize;
    this.#assignment = new CoordinatorAssignment(options.clock);
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
    const hasChanged = this.#assignment.setInstances(sorted);
    if (!hasChanged || !this.#isActive) return;
    this.#updateCoordinators();
    this.#wakeWaiters();
  }

  /**
   * Checks whether a coordinator still responds.
   *
   * @param peer - An instance whose connection has closed.
   */
  notifyClosed(peer: InstanceId): void {
    const link = this.#assignment.findLink(peer);
    if (link && this.#assignment.listGroups(peer).length > 0) this.#sendSoon(link);
  }

  /** @param isActive - Whether any limit is configured; otherwise nothing is sent. */
  setActive(isActive: boolean): void {
    if (isActive === this.#isActive) return;
    this.#isActive = isActive;
    this.#activation += 1;
    const activation = this.#activation;
    const { schedule, random } = this.#options;
    if (isActive) schedule(() => this.#tick(activation), random.next() * startSpreadMs);
    else this.#assignment.clear();
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
    const groups = this.#isActive ? this.#assignment.groups : [];
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
    return this.#isActive ? this.#assignment.findGroup(spec.key) : undefined;
  }

  #findLink(limit: InstanceLimit): CoordinatorLink | undefined {
    const group = this.#findGroup(limit);
    if (group && group.coordinator === undefined) this.#updateCoordinators();
    if (group?.coordinator === undefined) return undefined;
    return this.#assignment.getOrCreateLink(group.coordinator);
  }

  #takeFromShare(limit: InstanceLimit): QuotaDecision {
    const { spec } = limit;
    const group = this.#findGroup(limit);
    const bounds = this.#options.getBounds();
    const overlapMs = group === undefined ? 0 : this.#assignment.computeOverlapMs(group);
    const rate = overlapMs > 0 ? computeOverlapRate(spec, bounds) : spec.ratePerSecond;
    if (rate === 0) return this.#deny(limit, 'own-share', overlapMs);
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
    this.#assignment.groups.forEach((group) => this.#checkCoordinators(group));
    this.#wakeWaiters();
    this.#limits.forEach((limit, key) => this.#maintainLimit(limit, key));
    schedule(() => this.#tick(activation), tickIntervalMs);
  }

  /** Sends a message to the coordinator of a group, and to those before it, if one is due. */
  #checkCoordinators({ order, coordinator }: LimitGroup): void {
    const end = coordinator === undefined ? order.length : order.indexOf(coordinator) + 1;
    order.slice(0, end).forEach((peer) => this.#renew(this.#assignment.getOrCreateLink(peer)));
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

  #updateCoordinators(): void {
    this.#assignment.assign((link) => this.#sendSoon(link));
    this.#detachFromReplaced();
  }

  /**
   * Tells coordinators that are no longer used not to count this instance any more. One that has only
   * stalled answers soon, which ends the overlap.
   */
  #detachFromReplaced(): void {
    const now = this.#options.clock.now();
    this.#assignment.reviewReplaced((link) => {
      if (now - link.sentAt >= detachIntervalMs) this.#sendSoon(link);
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
    const groups = this.#assignment.listGroups(link.peer);
    const numbers = new Set(groups.map(({ number }) => number));
    const asked = [...this.#pending].flatMap((limit) => {
      const group = this.#assignment.findGroup(limit.spec.key);
      if (!group || !numbers.has(group.number)) return [];
      this.#pending.delete(limit);
      const question = limit.buildQuestion();
      return question ? [question] : [];
    });
    const overlapsMs = groups.map((group) => this.#assignment.computeOverlapMs(group, link));
    const request: QuotaRequest = {
      groupCount: this.#assignment.groups.length,
      groups: [...numbers],
      overlapsMs: overlapsMs.some((ms) => ms > 0) ? overlapsMs : undefined,
      stamp: link.stamp,
      questions: asked.map(({ question }) => question),
    };
    const ids = groups.map(({ id }) => id);
    return { request, ids, asked, sentAt: this.#options.clock.now() };
  }

  #acceptResponse(link: CoordinatorLink, exchange: Exchange, response: QuotaResponse): void {
    const isNeeded = this.#assignment.isNeeded(link.peer);
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
      this.#assignment.groups.forEach(({ coordinator }) => {
        const other = this.#assignment.findLink(coordinator);
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
    const groups = this.#assignment.listGroups(link.peer);
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
