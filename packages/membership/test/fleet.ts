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

/** Several detectors over a transport in memory that loses, cuts and delays messages. */
export class Fleet {
  readonly clock = new ManualClock();

  readonly detectors = new Map<string, FailureDetector>();

  /** Directions that carry nothing, like `a>b`. */
  readonly cuts = new Set<string>();

  readonly paused = new Set<string>();

  loss = 0;

  sent = new Map<string, number>();

  /** Most updates that a message carried so far, by kind. */
  readonly maxUpdates = new Map<Message['kind'], number>();

  readonly #random: Random;

  #deliveries: Delivery[] = [];

  constructor(seed: number) {
    this.#random = makeRandom(seed);
  }

  /** Starts or restarts an instance that knows the given names. */
  start(
    name: string,
    names: readonly string[],
    incarnation = `${this.clock.wall()}-${name}`,
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

  /** Starts the instances `n000`, `n001` and so on, which know the first three. */
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

  /** Cuts or heals both directions between two groups. */
  setCut(left: readonly string[], right: readonly string[], cut: boolean): void {
    for (const a of left) {
      for (const b of right) {
        [`${a}>${b}`, `${b}>${a}`].forEach((way) => {
          if (cut) this.cuts.add(way);
          else this.cuts.delete(way);
        });
      }
    }
  }

  run(ms: number): void {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      this.clock.advance(stepMs);
      // Timers go before messages, as in a process that comes back from a stall.
      this.detectors.forEach((detector, name) => {
        if (!this.paused.has(name)) detector.tick();
      });
      const due = this.#deliveries.filter(
        ({ at, to }) => at <= this.clock.now() && !this.paused.has(to),
      );
      const taken = new Set(due);
      this.#deliveries = this.#deliveries.filter((delivery) => !taken.has(delivery));
      due.forEach(({ from, to, message }) => {
        const answer = this.detectors.get(to)?.receive(message);
        if (answer) this.#post(to, from, answer);
      });
    }
  }

  /** @returns Names that an instance sees as live. */
  live(name: string): readonly string[] {
    return this.get(name).liveMembers.map(({ instance }) => instance);
  }

  /** @returns What an instance knows of another. */
  known(name: string, other: string): Member | undefined {
    return this.get(name).peers.find(({ instance }) => instance === other);
  }

  #post(from: string, to: string, message: Message): void {
    this.sent.set(from, (this.sent.get(from) ?? 0) + 1);
    const { kind, updates } = message;
    this.maxUpdates.set(kind, Math.max(this.maxUpdates.get(kind) ?? 0, updates.length));
    if (this.cuts.has(`${from}>${to}`) || this.#random.next() < this.loss) return;
    this.#deliveries.push({ at: this.clock.now() + delayMs, from, to, message });
  }
}
