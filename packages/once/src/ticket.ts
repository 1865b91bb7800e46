import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Clock, Incarnation, InstanceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** What a ticket says about itself. */
export interface Ticket {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  /** Counts the tickets of one incarnation from 1. */
  readonly sequence: number;
  /** Time of issue by the issuer's clock, in milliseconds since 1970. */
  readonly mintedMs: number;
}

/** Why a text is not a ticket that may be used. */
export type TicketFault = 'malformed' | 'forged';

/** Every ticket starts with this text; callers' own keys must not. */
export const ticketPrefix = 't1.';

const form = /^t1\.([a-z0-9-]{1,64})\.([\da-f-]{1,64})\.(\d{1,15})\.(\d{1,15})\.([\w-]{43})$/;

/** Issues and checks one-time tickets of one incarnation. */
export class TicketIssuer {
  readonly #instance: InstanceId;

  readonly #incarnation: Incarnation;

  readonly #key: Buffer;

  readonly #clock: Clock;

  /** Wall time at monotonic time zero: a wall clock set back must not renew old tickets. */
  readonly #originMs: number;

  readonly #validMs: number;

  #sequence = 0;

  /**
   * @param instance - The issuing instance.
   * @param incarnation - Its present run; only this run grants its tickets.
   * @param key - HMAC key, the same on all instances.
   * @param clock - Source of time.
   * @param validMs - A ticket is granted for this long after it was issued.
   */
  constructor(
    instance: InstanceId,
    incarnation: Incarnation,
    key: Buffer,
    clock: Clock,
    validMs = 3_600_000,
  ) {
    if (key.length < 16) throw new RangeError(`a ticket key of ${key.length} bytes is too short`);
    this.#instance = instance;
    this.#incarnation = incarnation;
    this.#key = key;
    this.#clock = clock;
    this.#originMs = clock.wall() - clock.now();
    this.#validMs = validMs;
  }

  /** @returns A new ticket. */
  issue(): string {
    this.#sequence += 1;
    const mintedMs = Math.floor(this.#readMs());
    const text = `${ticketPrefix}${this.#instance}.${this.#incarnation}.${this.#sequence}.${mintedMs}`;
    return `${text}.${this.#sign(text).toString('base64url')}`;
  }

  /**
   * Reads a ticket of any instance and checks its signature.
   *
   * @param text - What the caller sent as its key.
   * @returns The ticket, or why it is none.
   */
  verify(text: string): Result<Ticket, TicketFault> {
    const parts = form.exec(text);
    if (!parts) return err('malformed');
    const [, instance, incarnation, sequence, mintedMs, signature] = parts as unknown as string[];
    const given = Buffer.from(signature as string, 'base64url');
    const expected = this.#sign(text.slice(0, text.lastIndexOf('.')));
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) return err('forged');
    return ok({
      instance: instance as InstanceId,
      incarnation: incarnation as Incarnation,
      sequence: Number(sequence),
      mintedMs: Number(mintedMs),
    });
  }

  /** @returns Whether this incarnation issued the ticket; no other one may grant it. */
  isOwn(ticket: Ticket): boolean {
    return ticket.instance === this.#instance && ticket.incarnation === this.#incarnation;
  }

  /** @returns Whether the time of an own ticket has passed. */
  isExpired(ticket: Ticket): boolean {
    return this.#readMs() - ticket.mintedMs >= this.#validMs;
  }

  #readMs(): number {
    return this.#originMs + this.#clock.now();
  }

  #sign(text: string): Buffer {
    return createHmac('sha256', this.#key).update(text).digest();
  }
}
