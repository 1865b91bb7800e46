import type { IncomingHttpHeaders } from 'node:http';
import type { EndpointId, RequestId } from '@dotterelpass/values';

/** What an endpoint says of its load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How many times longer work takes there at present than usual. */
  readonly slowdown: number;
}

/** What a caller says of its call beside method, target and body. */
export interface CallTerms {
  /** Undefined when the caller gives none. */
  readonly id: RequestId | undefined;
  /** Time for which the caller waits, in milliseconds; undefined when it does not say. */
  readonly patienceMs: number | undefined;
}

/** What the head of an endpoint's answer means for the call it should belong to. */
export type Reading =
  /** The endpoint has answered this call. */
  | { readonly kind: 'answer'; readonly isSuccess: boolean }
  /** The endpoint states that it did not run this call. */
  | { readonly kind: 'not-run'; readonly reason: 'shed' | 'other-endpoint' }
  /** The answer of another call, or no answer that may be passed on. */
  | { readonly kind: 'invalid'; readonly message: string };

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** What an answered liveness check tells. */
export interface HealthReading {
  readonly isHealthy: boolean;
  /** Who answered; undefined when the endpoint does not say. */
  readonly id: EndpointId | undefined;
  readonly report: LoadReport | undefined;
}

/** The headers that callers and endpoints use. */
export abstract class Dialect {
  /** Lower-case names of request headers that `writeTerms` replaces. */
  abstract readonly replaced: ReadonlySet<string>;

  /** Lower-case names of answer headers that stay between endpoint and instance. */
  abstract readonly internal: ReadonlySet<string>;

  /** @param headers - Headers of a caller's request. */
  abstract readTerms(headers: IncomingHttpHeaders): CallTerms;

  /**
   * Writes the headers that an attempt adds.
   *
   * @param endpoint - The endpoint that is meant.
   * @param remainingMs - Time that is left to the call, in milliseconds.
   * @returns Names and values by turns.
   */
  abstract writeTerms(endpoint: EndpointId, remainingMs: number): string[];

  /**
   * Reads the head of an answer.
   *
   * @param head - Status and headers.
   * @param id - Id of the call that was sent on the connection.
   */
  abstract readAnswer(head: AnswerHead, id: RequestId | undefined): Reading;

  /** @returns The load report in the headers of an answer, if there is one. */
  abstract readReport(headers: IncomingHttpHeaders): LoadReport | undefined;

  /** Reads the answer to a liveness check. */
  abstract readHealth(head: AnswerHead): HealthReading;
}
