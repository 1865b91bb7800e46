import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Clock, Incarnation, InstanceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** The signed content of a ticket. */
export interface Ticket {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  /** Numbers the tickets of one incarnation from 1. */
  readonly sequence: number;
  /** Time of issue by the clock of the issuer, in milliseconds since 1970. */
  readonly issuedAtMs: number;
}

/** Why a text is rejected as a ticket. */
export type TicketError = 'malformed' | 'forged';

/** Every ticket starts with this text; keys that callers choose themselves must not. */
export const ticketPrefix = 't1.';

const ticketPattern =
  /^t1\.([a-z0-9-]{1,64})\.([\da-f-]{1,64})\.(\d{1,15})\.(\d{1,15})\.([\w-]{43})$/;

/** Issues the one-time tickets of one incarnation and verifies tickets. */
export class TicketIssuer {
  readonly #instance: InstanceId;

  readonly #incarnation: Incarnation;

  readonly #key: Buffer;

  readonly #clock: Clock;

  /**
   * Wall-clock time at monotonic time zero. Ticket ages use the monotonic clock, so that setting
   * the wall clock back does not make expired tickets valid again.
   */
  readonly #wallOffsetMs: number;

  readonly #validMs: number;

  #sequence = 0;

  /**
   * @param instance - The issuing instance.
   * @param incarnation - Its current incarnation; only this incarnation grants its tickets.
   * @param key - HMAC key, the same on all instances.
   * @param clock - Source of time.
   * @param validMs - How long a ticket can be used after it was issued.
   */
  constructor(
    instance: InstanceId,
    incarnation: Incarnation,
    key: Buffer,
    clock: Clock,
    validMs = 3_600_000,
  ) {
    if (key.length < 16) throw new RangeError(`ticket key of ${key.length} bytes is below 16`);
    this.#instance = instance;
    this.#incarnation = incarnation;
    this.#key = key;
    this.#clock = clock;
    this.#wallOffsetMs = clock.readWallTime() - clock.now();
    this.#validMs = validMs;
  }

  /** @returns A new ticket. */
  issue(): string {
    this.#sequence += 1;
    const issuedAtMs = Math.floor(this.#readTimeMs());
    const text = `${ticketPrefix}${this.#instance}.${this.#incarnation}.${this.#sequence}.${issuedAtMs}`;
    return `${text}.${this.#sign(text).toString('base64url')}`;
  }

  /**
   * Parses a ticket of any instance and verifies its signature.
   *
   * @param text - The key that the caller sent.
   * @returns The ticket, or why the text is not a valid ticket.
   */
  verify(text: string): Result<Ticket, TicketError> {
    const groups = ticketPattern.exec(text);
    if (!groups) return err('malformed');
    const [, instance, incarnation, sequence, issuedAtMs, signature] =
      groups as unknown as string[];
    const given = Buffer.from(signature as string, 'base64url');
    const expected = this.#sign(text.slice(0, text.lastIndexOf('.')));
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) return err('forged');
    return ok({
      instance: instance as InstanceId,
      incarnation: incarnation as Incarnation,
      sequence: Number(sequence),
      issuedAtMs: Number(issuedAtMs),
    });
  }

  /** @returns Whether this incarnation issued the ticket; no other incarnation may grant it. */
  isOwn(ticket: Ticket): boolean {
    return ticket.instance === this.#instance && ticket.incarnation === this.#incarnation;
  }

  /** @returns Whether a ticket of this incarnation has expired. */
  isExpired(ticket: Ticket): boolean {
    return this.#readTimeMs() - ticket.issuedAtMs >= this.#validMs;
  }

  #readTimeMs(): number {
    return this.#wallOffsetMs + this.#clock.now();
  }

  #sign(text: string): Buffer {
    return createHmac('sha256', this.#key).update(text).digest();
  }
}
