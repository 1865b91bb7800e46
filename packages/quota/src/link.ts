import type { InstanceId } from '@dotterelpass/values';
import { attachmentTtlMs } from './bounds.js';
import type { CoordinatorStamp, QuotaFailure, QuotaResponse } from './message.js';

/** Time limit of an exchange after which the next coordinator is used. */
const answerTimeoutMs = 200;

/** The same before the first answer of a coordinator: a connection may have to be opened. */
const firstAnswerTimeoutMs = 400;

/**
 * Responses in a row after which a coordinator that was lost is used again, about one a second. Each
 * change of the coordinator costs a part of the tolerance, so one that responds only now and then, as
 * on a slow instance, stays unused.
 */
const returnResponses = 10;

/** What an instance knows of one coordinator. */
export class CoordinatorLink {
  readonly peer: InstanceId;

  #isBusy = false;

  #isDue = false;

  #isScheduled = false;

  #sentAt = -Infinity;

  #answeredAt = -Infinity;

  /** Groups for which the coordinator may count this instance, and until when. */
  readonly #countedUntil = new Map<string, number>();

  #stamp: CoordinatorStamp | undefined;

  #isDown = false;

  #responses = 0;

  constructor(peer: InstanceId) {
    this.peer = peer;
  }

  /** Whether an exchange is in flight. */
  get isBusy(): boolean {
    return this.#isBusy;
  }

  /** Whether a message is to be sent as soon as the pace allows it. */
  get isDue(): boolean {
    return this.#isDue;
  }

  setDue(): void {
    this.#isDue = true;
  }

  /** Whether a timer will send the next message. */
  get isScheduled(): boolean {
    return this.#isScheduled;
  }

  setScheduled(isScheduled: boolean): void {
    this.#isScheduled = isScheduled;
  }

  /** Monotonic time of the last message, in milliseconds. */
  get sentAt(): number {
    return this.#sentAt;
  }

  /** Monotonic time of the last response, in milliseconds. */
  get answeredAt(): number {
    return this.#answeredAt;
  }

  /** Whether the coordinator has not responded, and has not proved since that it does again. */
  get isDown(): boolean {
    return this.#isDown;
  }

  get stamp(): CoordinatorStamp | undefined {
    return this.#stamp;
  }

  get timeoutMs(): number {
    return this.#answeredAt === -Infinity ? firstAnswerTimeoutMs : answerTimeoutMs;
  }

  /** Sets the stamp of the coordinator of this instance itself, which is always at hand. */
  renewStamp(stamp: CoordinatorStamp, now: number): void {
    this.#stamp = stamp;
    this.#answeredAt = now;
  }

  /**
   * Records a message that is sent now and, if it has a stamp, attaches this instance.
   *
   * @param ids - Groups to which the message attaches.
   */
  recordSent(ids: readonly string[], now: number): void {
    this.#isDue = false;
    this.#isBusy = true;
    this.#sentAt = now;
    if (this.#stamp === undefined) return;
    // The stamp is no later than the response that brought it.
    const until = this.#answeredAt + attachmentTtlMs;
    ids.forEach((id) => this.#countedUntil.set(id, until));
  }

  /**
   * Records a response.
   *
   * @param ids - Groups of the message to which it responds.
   * @param mayReturn - Whether a lost coordinator is used again at once, for lack of another one.
   * @returns Whether the coordinator counted this instance in a group and no longer does.
   */
  recordResponse(
    { stamp, isLeaving }: QuotaResponse,
    ids: readonly string[],
    mayReturn: boolean,
    now: number,
  ): boolean {
    this.#isBusy = false;
    const hasCounted = this.#countedUntil.size;
    if (stamp.epoch !== this.#stamp?.epoch || isLeaving) this.#countedUntil.clear();
    // An accepted message detaches from all groups that it does not list.
    [...this.#countedUntil.keys()]
      .filter((id) => !ids.includes(id))
      .forEach((id) => this.#countedUntil.delete(id));
    const isFirst = this.#answeredAt === -Infinity;
    this.#stamp = stamp;
    this.#answeredAt = now;
    this.#responses = isLeaving ? 0 : this.#responses + 1;
    if (isLeaving) this.#isDown = true;
    else if (mayReturn || isFirst || this.#responses >= returnResponses) this.#isDown = false;
    return this.#countedUntil.size < hasCounted;
  }

  /** Records that the coordinator has not responded. */
  recordFailure({ kind }: QuotaFailure): void {
    this.#isBusy = false;
    if (kind === 'gone') this.#countedUntil.clear();
    this.#isDown = true;
    this.#responses = 0;
  }

  /** @returns The time until which the coordinator may count this instance in one of the groups. */
  findCountedUntil(matches: (id: string) => boolean): number {
    const times = [...this.#countedUntil].filter(([id]) => matches(id)).map(([, until]) => until);
    return Math.max(-Infinity, ...times);
  }
}
