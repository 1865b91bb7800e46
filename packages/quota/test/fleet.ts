import { encode } from 'cbor-x';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { ManualClock, makeRandom } from '@dotterelpass/values';
import type { InstanceId, Random } from '@dotterelpass/values';
import { QuotaClient, QuotaCoordinator, QuotaTransport, defaultQuotaBounds } from '../src/index.js';
import type {
  LimitSpec,
  QuotaBounds,
  QuotaDecision,
  QuotaEvent,
  QuotaFailure,
  QuotaRequest,
  QuotaResponse,
} from '../src/index.js';

/** Transfer times between instances, in milliseconds. */
const minLatencyMs = 1;
const maxLatencyMs = 3;

interface TimedAction {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

/** Actions by their times; those of the same millisecond run in the order of their scheduling. */
class Schedule {
  readonly #byTime = new Map<number, TimedAction[]>();

  #order = 0;

  add(at: number, action: () => void): void {
    const slot = Math.ceil(at);
    const actions = this.#byTime.get(slot) ?? [];
    this.#byTime.set(slot, actions);
    this.#order += 1;
    actions.push({ at: slot, order: this.#order, action });
  }

  remove(at: number): readonly TimedAction[] {
    const actions = this.#byTime.get(at) ?? [];
    this.#byTime.delete(at);
    return actions;
  }
}

/** One simulated instance. */
export interface SimulatedInstance {
  readonly id: InstanceId;
  readonly domain: number;
  readonly client: QuotaClient;
  readonly coordinator: QuotaCoordinator;
  isAlive: boolean;
  pausedUntil: number;
}

export interface Grant {
  readonly at: number;
  readonly instance: number;
}

export interface Denial extends Grant {
  readonly retryAfterMs: number;
}

class SimulatedTransport extends QuotaTransport {
  readonly #fleet: SimulatedFleet;

  readonly #from: InstanceId;

  constructor(fleet: SimulatedFleet, from: InstanceId) {
    super();
    this.#fleet = fleet;
    this.#from = from;
  }

  override async request(
    peer: InstanceId,
    message: QuotaRequest,
    timeoutMs: number,
  ): Promise<Result<QuotaResponse, QuotaFailure>> {
    return this.#fleet.deliver(this.#from, peer, message, timeoutMs);
  }
}

/** A fleet with a manual clock and messages in memory. */
export class SimulatedFleet {
  readonly clock = new ManualClock();

  readonly instances: SimulatedInstance[] = [];

  readonly events: QuotaEvent[] = [];

  /** Messages and their bytes, requests and responses together. */
  readonly sent = { messages: 0, bytes: 0 };

  /** Whether bytes are counted, which costs time. */
  measuresBytes = false;

  grants: Grant[] = [];

  denials: Denial[] = [];

  /** Whether two instances can reach each other. */
  canReach: (a: SimulatedInstance, b: SimulatedInstance) => boolean = () => true;

  readonly random: Random;

  readonly #byId = new Map<InstanceId, SimulatedInstance>();

  readonly #schedule = new Schedule();

  readonly #seed: number;

  readonly #bounds: QuotaBounds;

  #started = 0;

  constructor(count: number, seed: number, domains = 3, bounds = defaultQuotaBounds) {
    this.random = makeRandom(seed);
    this.#seed = seed;
    this.#bounds = bounds;
    for (let index = 0; index < count; index++) {
      this.instances.push(this.#create(`instance-${index}` as InstanceId, index % domains));
    }
    this.setMembers(count);
    this.instances.forEach(({ client }) => client.setActive(true));
  }

  /** Lets all live instances know the live ones, and the size of the fleet. */
  setMembers(size: number): void {
    const names = this.instances.filter(({ isAlive }) => isAlive).map(({ id }) => id);
    this.instances.forEach(({ client, isAlive }) => {
      if (isAlive) client.setInstances(names, size);
    });
  }

  kill(index: number): void {
    const instance = this.#get(index);
    instance.isAlive = false;
    this.instances.forEach((other) => {
      if (!this.#areConnected(other, other) || !this.canReach(other, instance)) return;
      this.#runOn(other, this.#drawLatencyMs(), () => other.client.notifyClosed(instance.id));
    });
  }

  /** Starts a new process in place of a killed one. */
  restart(index: number, size: number): void {
    const { id, domain } = this.#get(index);
    const instance = this.#create(id, domain);
    this.instances[index] = instance;
    instance.client.setInstances(
      this.instances.map((other) => other.id),
      size,
    );
    instance.client.setActive(true);
  }

  pause(index: number, ms: number): void {
    this.#get(index).pausedUntil = this.clock.now() + ms;
  }

  /** Indices of the instances that coordinate groups to which others are attached. */
  listCoordinators(): readonly number[] {
    const names = new Set(
      this.instances[0]?.client.readStatus().groups.map(({ coordinator }) => coordinator),
    );
    return [...this.instances.keys()].filter((index) => names.has(this.instances[index]?.id));
  }

  /** Sends a request under a limit on an instance and records the outcome. */
  async take(index: number, limit: LimitSpec): Promise<QuotaDecision | undefined> {
    const instance = this.#get(index);
    const { isAlive, pausedUntil } = instance;
    if (!isAlive || pausedUntil > this.clock.now()) return undefined;
    const decision = await instance.client.take(limit);
    if (!instance.isAlive) return undefined;
    const at = this.clock.now();
    if (decision.kind === 'granted') this.grants.push({ at, instance: index });
    else {
      this.denials.push({ at, instance: index, retryAfterMs: decision.retryAfterMs });
    }
    return decision;
  }

  /**
   * Advances the clock.
   *
   * @param ms - Whole milliseconds.
   * @param act - Called each millisecond with the time.
   */
  async run(ms: number, act: (now: number) => void = () => undefined): Promise<void> {
    for (let step = 0; step < ms; step++) {
      this.clock.advance(1);
      const now = this.clock.now();
      const actions = this.#schedule.remove(now);
      actions.forEach(({ action }) => action());
      act(now);
      // Lets the promises of this millisecond settle.
      await new Promise(setImmediate);
    }
  }

  at(delayMs: number, action: () => void): void {
    this.#schedule.add(Math.max(this.clock.now() + 1, this.clock.now() + delayMs), action);
  }

  async deliver(
    fromId: InstanceId,
    toId: InstanceId,
    message: QuotaRequest,
    timeoutMs: number,
  ): Promise<Result<QuotaResponse, QuotaFailure>> {
    const from = this.#byId.get(fromId);
    const to = this.#byId.get(toId);
    if (!from || !to) return err({ kind: 'unanswered', message: 'no such instance' });
    this.#count({ type: 'quota', id: 123_456, from: fromId, incarnation: '1', body: message });
    return new Promise((resolve) => {
      this.#runOn(from, timeoutMs, () =>
        resolve(err({ kind: 'unanswered', message: `no response within ${timeoutMs} ms` })),
      );
      this.at(this.#drawLatencyMs(), () => {
        const target = this.#byId.get(toId);
        if (!target || !this.canReach(from, target)) return;
        if (!target.isAlive) {
          resolve(err({ kind: 'gone', message: 'connection refused' }));
          return;
        }
        this.#runOn(target, 0, () => {
          const response = target.coordinator.handleRequest(fromId, message);
          const body = { ...response };
          this.#count({ type: 'quota-answer', re: 123_456, from: toId, incarnation: '1', body });
          this.#runOn(from, this.#drawLatencyMs(), () => {
            if (this.#areConnected(from, target)) resolve(ok(response));
          });
        });
      });
    });
  }

  #create(id: InstanceId, domain: number): SimulatedInstance {
    this.#started += 1;
    const random = makeRandom(this.#seed * 10_007 + this.#started);
    const { clock } = this;
    const getBounds = () => this.#bounds;
    const coordinator = new QuotaCoordinator({ clock, random, getBounds });
    const client: QuotaClient = new QuotaClient({
      self: id,
      clock,
      random,
      coordinator,
      transport: new SimulatedTransport(this, id),
      assumedSize: 8,
      getBounds,
      schedule: (action, delayMs) => {
        const instance = this.#byId.get(id);
        if (instance?.client === client) this.#runOn(instance, delayMs, action);
      },
      onEvent: (event) => this.events.push(event),
    });
    const instance = { id, domain, client, coordinator, isAlive: true, pausedUntil: 0 };
    this.#byId.set(id, instance);
    return instance;
  }

  #get(index: number): SimulatedInstance {
    const instance = this.instances[index];
    if (!instance) throw new RangeError(`no instance ${index}`);
    return instance;
  }

  /** Runs an action on an instance, once it is not paused. */
  #runOn(instance: SimulatedInstance, delayMs: number, action: () => void): void {
    this.at(delayMs, () => {
      if (!instance.isAlive) return;
      const restMs = instance.pausedUntil - this.clock.now();
      if (restMs > 0) this.#runOn(instance, restMs, action);
      else action();
    });
  }

  #areConnected(a: SimulatedInstance, b: SimulatedInstance): boolean {
    return a.isAlive && b.isAlive && this.canReach(a, b);
  }

  #drawLatencyMs(): number {
    return minLatencyMs + (maxLatencyMs - minLatencyMs) * this.random.next();
  }

  #count(message: object): void {
    this.sent.messages += 1;
    if (this.measuresBytes) this.sent.bytes += encode(message).length;
  }
}

/** Sends requests at a steady rate, spread over instances by `pick`. */
export function makeDemand(
  fleet: SimulatedFleet,
  limit: () => LimitSpec,
  perSecond: number,
  pick: (now: number) => number,
): (now: number) => void {
  let due = 0;
  return (now) => {
    due += perSecond / 1000;
    for (; due >= 1; due--) void fleet.take(pick(now), limit());
  };
}

/** Finds the largest number of grants in any window, and the smallest in those of a period. */
export function countWindows(
  grants: readonly Grant[],
  windowMs: number,
  fromMs: number,
  toMs: number,
): { readonly max: number; readonly min: number } {
  const times = grants.map(({ at }) => at);
  let max = 0;
  for (let first = 0, end = 0; first < times.length; first++) {
    while (end < times.length && (times[end] ?? 0) < (times[first] ?? 0) + windowMs) end += 1;
    max = Math.max(max, end - first);
  }
  let min = Infinity;
  for (let start = fromMs; start + windowMs <= toMs; start += 100) {
    min = Math.min(min, times.filter((at) => at >= start && at < start + windowMs).length);
  }
  return { max, min };
}
