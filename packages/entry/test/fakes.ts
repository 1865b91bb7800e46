import type { ConsulClient, PlatformError, ReadResult } from '@dotterelpass/store';
import type { Random } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Runs tasks that wait, one at a time in an order drawn from a seed. */
export class TaskScheduler {
  #waiting: (() => void)[] = [];

  constructor(readonly random: Random) {}

  /** Waits until the schedule picks this task. */
  async waitForTurn(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  /** Picks one waiting task and lets it run until it waits again. */
  async runNextTask(): Promise<boolean> {
    await new Promise(setImmediate);
    const [task] = this.#waiting.splice(Math.floor(this.random.next() * this.#waiting.length), 1);
    task?.();
    await new Promise(setImmediate);
    return task !== undefined;
  }
}

interface Value {
  readonly value: Buffer;
  readonly modifyIndex: number;
}

type State = ReadonlyMap<string, Value>;

/** Odds of the faults of a platform. */
export interface FaultProbabilities {
  /** An answer is lost; half of these writes take effect at a later time. */
  readonly loseResponse: number;
  /** A read that is not consistent shows an older state. */
  readonly staleRead: number;
}

/** A key-value store in memory, with lost answers, late effects, stale reads and backups. */
export class FakePlatform implements Pick<ConsulClient, 'read' | 'compareAndSwap'> {
  faults: FaultProbabilities = { loseResponse: 0, staleRead: 0 };

  #states: State[] = [new Map()];

  #index = 1;

  #restores = 0;

  /** Values that the platform accepted and forgot, or wrote after a restore they preceded. */
  readonly lostWrites: string[] = [];

  constructor(readonly scheduler: TaskScheduler) {}

  get state(): State {
    return this.#states.at(-1) as State;
  }

  async read(
    key: string,
    options: { recurse?: boolean; consistent?: boolean } = {},
  ): Promise<Result<ReadResult, PlatformError>> {
    await this.scheduler.waitForTurn();
    const { staleRead: stale, loseResponse: loseAnswer } = this.faults;
    const old = !options.consistent && this.#draw(stale) ? 1 + this.#pick(3) : 1;
    const state = this.#states.at(-Math.min(old, this.#states.length)) as State;
    const entries = [...state]
      .filter(([name]) => (options.recurse ? name.startsWith(key) : name === key))
      .map(([name, value]) => ({ key: name, ...value }));
    await this.scheduler.waitForTurn();
    if (this.#draw(loseAnswer)) return err(lostAnswer('no'));
    return ok({ entries, index: Math.max(1, ...entries.map(({ modifyIndex }) => modifyIndex)) });
  }

  async compareAndSwap(
    key: string,
    value: Buffer,
    modifyIndex: number,
  ): Promise<Result<boolean, PlatformError>> {
    const restores = this.#restores;
    const write = () => {
      const done = (this.state.get(key)?.modifyIndex ?? 0) === modifyIndex;
      if (!done) return false;
      this.#index += 1;
      this.#states.push(new Map(this.state).set(key, { value, modifyIndex: this.#index }));
      if (restores !== this.#restores) this.lostWrites.push(value.toString());
      return true;
    };
    await this.scheduler.waitForTurn();
    if (this.#draw(this.faults.loseResponse)) {
      if (this.#draw(0.5)) write();
      else void this.scheduler.waitForTurn().then(write);
      return err(lostAnswer('unknown'));
    }
    const done = write();
    await this.scheduler.waitForTurn();
    return ok(done);
  }

  /** Replaces the state by one of up to `depth` changes ago, as a restored backup does. */
  restore(depth: number): void {
    this.#restores += 1;
    this.lostWrites.push(...[...this.state.values()].map(({ value }) => value.toString()));
    this.#states.push(this.#states.at(-1 - Math.min(depth, this.#states.length - 1)) as State);
  }

  #draw(odds: number): boolean {
    return this.scheduler.random.next() < odds;
  }

  #pick(bound: number): number {
    return Math.floor(this.scheduler.random.next() * bound);
  }
}

function lostAnswer(applied: 'no' | 'unknown'): PlatformError {
  return { kind: 'timeout', message: 'the answer was lost', applied };
}
