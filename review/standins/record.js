import { performance } from 'node:perf_hooks';
import { writeFileSync } from 'node:fs';

/** The record of a script: what was sent, answered and run, and the verdict. */
export class Record {
  #lines = [];

  #startedAt = performance.now();

  /** Time since the start of the script, in seconds. */
  format(at) {
    return ((at - this.#startedAt) / 1000).toFixed(3).padStart(8);
  }

  add(at, text) {
    this.#lines.push({ at, text });
  }

  addNow(text) {
    this.add(performance.now(), text);
  }

  addAttempts(attempts) {
    attempts.forEach((attempt) => {
      const { id, kind, method, path, machine, lifetime, status = '-', end } = attempt;
      const target = `${machine}, lifetime ${lifetime}`;
      this.add(attempt.sentAt, `sent      ${id} ${kind} ${method} ${path} to ${target}`);
      const signed = attempt.signature === undefined ? 'unsigned' : 'signed';
      this.add(
        attempt.endedAt,
        `${end.padEnd(9)} ${id} status ${status} ${signed}, ${attempt.receivedBytes} bytes`,
      );
    });
  }

  addRuns(runs) {
    runs.forEach(({ at, attempt, worker, crashed }) => {
      this.add(at, `run       ${attempt} by ${worker}${crashed ? ', which crashes' : ''}`);
    });
  }

  /** Writes the lines in the order of their times, and then the verdict. */
  write(path, verdict) {
    const lines = [...this.#lines].sort((a, b) => a.at - b.at);
    const text = lines.map((line) => `${this.format(line.at)} ${line.text}`);
    writeFileSync(path, `${[...text, '', ...verdict].join('\n')}\n`);
  }
}
