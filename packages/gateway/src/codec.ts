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
export interface CallMetadata {
  /** Undefined when the caller gives none. */
  readonly id: RequestId | undefined;
  /** Time for which the caller waits, in milliseconds; undefined when it does not say. */
  readonly timeoutMs: number | undefined;
}

/** What the head of an endpoint's answer means for the call it should belong to. */
export type ResponseClassification =
  /** The endpoint has answered this call. */
  | { readonly kind: 'answer'; readonly isSuccess: boolean }
  /** The endpoint states that it did not run this call. */
  | { readonly kind: 'not-run'; readonly reason: 'shed' | 'other-endpoint' }
  /** The answer of another call, or no answer that may be passed on. */
  | { readonly kind: 'invalid'; readonly message: string };

/** The head of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** What an answered liveness check tells. */
export interface ProbeResult {
  readonly isHealthy: boolean;
  /** Who answered; undefined when the endpoint does not say. */
  readonly id: EndpointId | undefined;
  readonly report: LoadReport | undefined;
}

/** The headers that callers and endpoints use. */
export abstract class HeaderCodec {
  /** Lower-case names of request headers that `writeTerms` replaces. */
  abstract readonly replacedRequestHeaders: ReadonlySet<string>;

  /** Lower-case names of answer headers that stay between endpoint and instance. */
  abstract readonly internalResponseHeaders: ReadonlySet<string>;

  /** @param headers - Headers of a caller's request. */
  abstract parseRequestHeaders(headers: IncomingHttpHeaders): CallMetadata;

  /**
   * Writes the headers that an attempt adds.
   *
   * @param endpoint - The endpoint that is meant.
   * @param remainingMs - Time that is left to the call, in milliseconds.
   * @returns Names and values by turns.
   */
  abstract buildAttemptHeaders(endpoint: EndpointId, remainingMs: number): string[];

  /**
   * Reads the head of an answer.
   *
   * @param head - Status and headers.
   * @param id - Id of the call that was sent on the connection.
   */
  abstract classifyResponse(head: ResponseHead, id: RequestId | undefined): ResponseClassification;

  /** @returns The load report in the headers of an answer, if there is one. */
  abstract parseLoadReport(headers: IncomingHttpHeaders): LoadReport | undefined;

  /** Reads the answer to a liveness check. */
  abstract parseProbeResponse(head: ResponseHead): ProbeResult;
}
