import { ManualClock, makeRandom } from '@dotterelpass/values';
import type { Incarnation, InstanceId, Random } from '@dotterelpass/values';
import { FailureDetector } from '../src/index.js';
import type { Member, Message } from '../src/index.js';

interface Delivery {
  readonly at: number;
  readonly from: string;
  readonly to: string;
  readonly message: Message;
}

const stepMs = 10;
const delayMs = 2;

/** Several detectors on a transport in memory that delays messages and can drop them. */
export class Fleet {
  readonly clock = new ManualClock();

  readonly detectors = new Map<string, FailureDetector>();

  /** Links that drop all messages, one per direction, such as `a>b`. */
  readonly brokenLinks = new Set<string>();

  readonly paused = new Set<string>();

  lossRate = 0;

  sentCounts = new Map<string, number>();

  /** Largest number of updates in a message so far, by kind. */
  readonly maxUpdates = new Map<Message['kind'], number>();

  readonly #random: Random;

  #deliveries: Delivery[] = [];

  constructor(seed: number) {
    this.#random = makeRandom(seed);
  }

  /** Starts or restarts an instance with the given instances as candidates. */
  start(
    name: string,
    names: readonly string[],
    incarnation = `${this.clock.readWallTime()}-${name}`,
  ): void {
    const detector = new FailureDetector(
      {
        instance: name as InstanceId,
        incarnation: incarnation as Incarnation,
        address: `10.0.0.1:${name}`,
      },
      { send: (to, message) => this.#post(name, to.instance, message) },
      this.clock,
      makeRandom(Math.floor(this.#random.next() * 2 ** 31)),
    );
    detector.setCandidates(
      new Map(names.map((other) => [other as InstanceId, `10.0.0.1:${other}`])),
    );
    this.detectors.set(name, detector);
  }

  /** Starts the instances `n000`, `n001` and so on, with the first three as candidates. */
  startMany(count: number): readonly string[] {
    const names = Array.from({ length: count }, (_, n) => `n${String(n).padStart(3, '0')}`);
    names.forEach((name) => this.start(name, names.slice(0, 3)));
    return names;
  }

  kill(name: string): void {
    this.detectors.delete(name);
  }

  get(name: string): FailureDetector {
    return this.detectors.get(name) as FailureDetector;
  }

  /** Breaks or restores all links between two groups. */
  setPartition(left: readonly string[], right: readonly string[], isBroken: boolean): void {
    for (const a of left) {
      for (const b of right) {
        [`${a}>${b}`, `${b}>${a}`].forEach((link) => {
          if (isBroken) this.brokenLinks.add(link);
          else this.brokenLinks.delete(link);
        });
      }
    }
  }

  runFor(ms: number): void {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      this.clock.advance(stepMs);
      // Timers run before messages are read, as in a process that resumes after a stall.
      this.detectors.forEach((detector, name) => {
        if (!this.paused.has(name)) detector.tick();
      });
      const due = this.#deliveries.filter(
        ({ at, to }) => at <= this.clock.now() && !this.paused.has(to),
      );
      const delivered = new Set(due);
      this.#deliveries = this.#deliveries.filter((delivery) => !delivered.has(delivery));
      due.forEach(({ from, to, message }) => {
        const answer = this.detectors.get(to)?.receive(message);
        if (answer) this.#post(to, from, answer);
      });
    }
  }

  /** @returns The names of the members that an instance regards as live. */
  listLive(name: string): readonly string[] {
    return this.get(name).liveMembers.map(({ instance }) => instance);
  }

  /** @returns The entry of one instance in the table of another. */
  findPeer(name: string, other: string): Member | undefined {
    return this.get(name).peers.find(({ instance }) => instance === other);
  }

  #post(from: string, to: string, message: Message): void {
    this.sentCounts.set(from, (this.sentCounts.get(from) ?? 0) + 1);
    const { kind, updates } = message;
    this.maxUpdates.set(kind, Math.max(this.maxUpdates.get(kind) ?? 0, updates.length));
    if (this.brokenLinks.has(`${from}>${to}`) || this.#random.next() < this.lossRate) return;
    this.#deliveries.push({ at: this.clock.now() + delayMs, from, to, message });
  }
}
