import type { ConsulClient, PlatformError, ReadResult } from '@dotterelpass/store';
import type { Random } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** Runs asynchronous tasks one at a time, in a random order that depends only on the seed. */
export class TaskScheduler {
  #waiting: (() => void)[] = [];

  constructor(readonly random: Random) {}

  /** Waits until the scheduler picks this task. */
  async waitForTurn(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  /**
   * Picks one waiting task and runs it until it waits again.
   *
   * @returns Whether a task was waiting.
   */
  async runNextTask(): Promise<boolean> {
    await new Promise(setImmediate);
    const [task] = this.#waiting.splice(Math.floor(this.random.next() * this.#waiting.length), 1);
    task?.();
    await new Promise(setImmediate);
    return task !== undefined;
  }
}

interface StoredValue {
  readonly value: Buffer;
  readonly modifyIndex: number;
}

type State = ReadonlyMap<string, StoredValue>;

/** Probabilities of the faults of a platform. */
export interface FaultProbabilities {
  /** A response is lost. Half of the writes concerned take effect later. */
  readonly loseResponse: number;
  /** A read that is not consistent returns an older state. */
  readonly staleRead: number;
}

/** An in-memory key-value store with lost responses, delayed writes, stale reads and restores. */
export class FakePlatform implements Pick<ConsulClient, 'read' | 'compareAndSwap'> {
  faults: FaultProbabilities = { loseResponse: 0, staleRead: 0 };

  #states: State[] = [new Map()];

  #index = 1;

  #restores = 0;

  /** Values lost in a restore, and values of writes sent before a restore and applied after it. */
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
    const { staleRead, loseResponse } = this.faults;
    const age = !options.consistent && this.#drawFault(staleRead) ? 1 + this.#drawInteger(3) : 1;
    const state = this.#states.at(-Math.min(age, this.#states.length)) as State;
    const entries = [...state]
      .filter(([name]) => (options.recurse ? name.startsWith(key) : name === key))
      .map(([name, value]) => ({ key: name, ...value }));
    await this.scheduler.waitForTurn();
    if (this.#drawFault(loseResponse)) return err(makeTimeoutError('no'));
    return ok({ entries, index: Math.max(1, ...entries.map(({ modifyIndex }) => modifyIndex)) });
  }

  async compareAndSwap(
    key: string,
    value: Buffer,
    modifyIndex: number,
  ): Promise<Result<boolean, PlatformError>> {
    const restores = this.#restores;
    const write = () => {
      const written = (this.state.get(key)?.modifyIndex ?? 0) === modifyIndex;
      if (!written) return false;
      this.#index += 1;
      this.#states.push(new Map(this.state).set(key, { value, modifyIndex: this.#index }));
      if (restores !== this.#restores) this.lostWrites.push(value.toString());
      return true;
    };
    await this.scheduler.waitForTurn();
    if (this.#drawFault(this.faults.loseResponse)) {
      if (this.#drawFault(0.5)) write();
      else void this.scheduler.waitForTurn().then(write);
      return err(makeTimeoutError('unknown'));
    }
    const written = write();
    await this.scheduler.waitForTurn();
    return ok(written);
  }

  /** Replaces the state by that of up to `depth` changes ago, like the restore of a backup. */
  restore(depth: number): void {
    this.#restores += 1;
    this.lostWrites.push(...[...this.state.values()].map(({ value }) => value.toString()));
    this.#states.push(this.#states.at(-1 - Math.min(depth, this.#states.length - 1)) as State);
  }

  #drawFault(probability: number): boolean {
    return this.scheduler.random.next() < probability;
  }

  #drawInteger(bound: number): number {
    return Math.floor(this.scheduler.random.next() * bound);
  }
}

function makeTimeoutError(applied: 'no' | 'unknown'): PlatformError {
  return { kind: 'timeout', message: 'the response was lost', applied };
}
