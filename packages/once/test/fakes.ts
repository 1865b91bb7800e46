import type { JournalStore, Stored } from '@dotterelpass/once';
import { ManualClock } from '@dotterelpass/values';
import type { Random } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';

/** Runs tasks in virtual time. */
export class Schedule {
  readonly clock = new ManualClock();

  #tasks: { at: number; run: () => void }[] = [];

  readonly sleep = async (ms: number): Promise<void> => {
    await new Promise<void>((resolve) => {
      this.#tasks.push({ at: this.clock.now() + ms, run: resolve });
    });
  };

  async run(untilMs: number): Promise<void> {
    for (;;) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      const next = Math.min(...this.#tasks.map(({ at }) => at));
      if (next > untilMs) break;
      this.clock.advance(Math.max(0, next - this.clock.now()));
      const due = this.#tasks.filter(({ at }) => at <= next);
      this.#tasks = this.#tasks.filter(({ at }) => at > next);
      due.forEach(({ run }) => run());
    }
    this.clock.advance(Math.max(0, untilMs - this.clock.now()));
  }
}

/** A store whose operations are late, lost before or after they take effect, and reordered. */
export class FaultyStore implements JournalStore {
  readonly values = new Map<string, Stored>();

  /** Share of operations with a long delay; half as many are lost. */
  faults = 0.3;

  #index = 0;

  constructor(
    readonly schedule: Schedule,
    readonly random: Random,
  ) {}

  async read(key: string, recurse: boolean) {
    return this.#perform(() =>
      [...this.values.values()].filter((one) =>
        recurse ? one.key.startsWith(key) : one.key === key,
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

  async #perform<T>(act: () => T) {
    const delay = () => this.random.next() * (this.random.next() < this.faults ? 400 : 5);
    const lost = { message: 'lost' };
    await this.schedule.sleep(delay());
    if (this.random.next() < this.faults / 2) {
      // The answer is lost; the operation may take effect much later, or never.
      if (this.random.next() < 0.7) void this.schedule.sleep(delay() * 3).then(act);
      await this.schedule.sleep(delay());
      return err(lost);
    }
    const result = act();
    await this.schedule.sleep(delay());
    return this.random.next() < this.faults / 4 ? err(lost) : ok(result);
  }
}
