import type { JournalStore, StoreEntry } from '@dotterelpass/once';
import { ManualClock } from '@dotterelpass/values';
import type { Random } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';

/** Runs asynchronous tasks in virtual time. */
export class Schedule {
  readonly clock = new ManualClock();

  #tasks: { at: number; start: () => void }[] = [];

  readonly sleep = async (ms: number): Promise<void> => {
    await new Promise<void>((resolve) => {
      this.#tasks.push({ at: this.clock.now() + ms, start: resolve });
    });
  };

  async runUntil(endMs: number): Promise<void> {
    for (;;) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      const next = Math.min(...this.#tasks.map(({ at }) => at));
      if (next > endMs) break;
      this.clock.advance(Math.max(0, next - this.clock.now()));
      const due = this.#tasks.filter(({ at }) => at <= next);
      this.#tasks = this.#tasks.filter(({ at }) => at > next);
      due.forEach(({ start }) => start());
    }
    this.clock.advance(Math.max(0, endMs - this.clock.now()));
  }
}

/** A store that delays and reorders operations, and loses them before or after they take effect. */
export class FaultyStore implements JournalStore {
  readonly values = new Map<string, StoreEntry>();

  /** Share of operations with a long delay. Half as many are lost. */
  faultRate = 0.3;

  #index = 0;

  constructor(
    readonly schedule: Schedule,
    readonly random: Random,
  ) {}

  async read(key: string, recurse: boolean) {
    return this.#perform(() =>
      [...this.values.values()].filter((entry) =>
        recurse ? entry.key.startsWith(key) : entry.key === key,
      ),
    );
  }

  async compareAndSwap(key: string, value: Buffer, index: number) {
    return this.#perform(() => {
      if ((this.values.get(key)?.modifyIndex ?? 0) !== index) return false;
      this.#index += 1;
      this.values.set(key, { key, value, modifyIndex: this.#index });
      return true;
    });
  }

  async remove(key: string) {
    return this.#perform(() => this.values.delete(key));
  }

  async #perform<T>(operation: () => T) {
    const delay = () => this.random.next() * (this.random.next() < this.faultRate ? 400 : 5);
    const lost = { message: 'the answer was lost' };
    await this.schedule.sleep(delay());
    if (this.random.next() < this.faultRate / 2) {
      // The answer is lost; the operation takes effect much later or never.
      if (this.random.next() < 0.7) void this.schedule.sleep(delay() * 3).then(operation);
      await this.schedule.sleep(delay());
      return err(lost);
    }
    const result = operation();
    await this.schedule.sleep(delay());
    return this.random.next() < this.faultRate / 4 ? err(lost) : ok(result);
  }
}
