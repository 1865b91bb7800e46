import type { IncomingHttpHeaders } from 'node:http';
import type { BackpressureSignal } from '@dotterelpass/backpressure';
import type { EndpointId, RequestId, WorkspaceId } from '@dotterelpass/values';
import type { Credential } from '@dotterelpass/workspaces';

/** Load of an endpoint, as reported by itself. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Factor by which work currently takes longer there than usual. */
  readonly slowdown: number;
}

/** What a caller states in request headers about its call. */
export interface CallMetadata {
  /** Undefined when the caller sends none. */
  readonly id: RequestId | undefined;
  /** Time that the caller waits for a response, in milliseconds; undefined when not stated. */
  readonly timeoutMs: number | undefined;
}

/** Meaning of a response head for the call that was sent on the connection. */
export type ResponseClassification =
  /** The endpoint answered this call. */
  | { readonly kind: 'answer'; readonly isSuccess: boolean }
  /** The endpoint states that it did not run this call. */
  | { readonly kind: 'not-run'; readonly reason: 'shed' | 'other-endpoint' }
  /** The response belongs to another call or must not be passed to the caller. */
  | { readonly kind: 'invalid'; readonly message: string };

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Whether the connection has carried an earlier request, whose answer this may be once more. */
  readonly isReused: boolean;
}

/** What a response asks for. */
export interface ParsedBackpressure {
  readonly signal: BackpressureSignal;
  /** A header that could not be parsed; the signal does not contain it. */
  readonly malformed: string | undefined;
}

/** Content of the response to a health probe. */
export interface ProbeResult {
  readonly isHealthy: boolean;
  /** Id of the endpoint that responded; undefined when the response does not contain it. */
  readonly id: EndpointId | undefined;
  readonly report: LoadReport | undefined;
  /** Time for which the endpoint is still cold, in milliseconds; undefined when it states none. */
  readonly warmupMs?: number | undefined;
}

/** Reads and writes the headers that callers and endpoints use. */
export abstract class HeaderCodec {
  /** Lower-case names of the request headers that `buildAttemptHeaders` replaces. */
  abstract readonly replacedRequestHeaders: ReadonlySet<string>;

  /**
   * Lower-case names of the request headers with a caller's key or workspace. Endpoints do not get
   * them from callers when the configuration has workspaces.
   */
  abstract readonly credentialHeaders: ReadonlySet<string>;

  /** Value of `WWW-Authenticate` in the refusal of a request without a valid key. */
  abstract readonly challenge: string;

  /** Lower-case names of the response headers that are not passed to callers. */
  abstract readonly internalResponseHeaders: ReadonlySet<string>;

  /**
   * Parses what a caller states about its call.
   *
   * @param headers - Headers of the caller's request.
   */
  abstract parseRequestHeaders(headers: IncomingHttpHeaders): CallMetadata;

  /** Parses the key that a caller states. */
  abstract parseCredential(headers: IncomingHttpHeaders): Credential;

  /**
   * Builds the headers that tell an endpoint the workspace of a call.
   *
   * @returns Alternating names and values.
   */
  abstract buildWorkspaceHeaders(workspace: WorkspaceId): string[];

  /**
   * Builds the headers that tell another instance how long the caller waits.
   *
   * @param remainingMs - Time until the deadline of the call, in milliseconds.
   * @returns Alternating names and values.
   */
  abstract buildTimeoutHeaders(remainingMs: number): string[];

  /**
   * Builds the headers that are added to the request of an attempt.
   *
   * @param endpoint - The endpoint that the attempt is sent to.
   * @param remainingMs - Time until the deadline of the call, in milliseconds.
   * @returns Alternating names and values.
   */
  abstract buildAttemptHeaders(endpoint: EndpointId, remainingMs: number): string[];

  /**
   * Determines what a response means for the call that was sent on its connection.
   *
   * @param head - Status and headers.
   * @param id - Id of the call that was sent on the connection.
   */
  abstract classifyResponse(head: ResponseHead, id: RequestId | undefined): ResponseClassification;

  /** @returns The load report in the headers of a response, if there is one. */
  abstract parseLoadReport(headers: IncomingHttpHeaders): LoadReport | undefined;

  /** Parses what a response asks for. */
  abstract parseBackpressure(head: ResponseHead): ParsedBackpressure;

  /** @returns Whether a response states which call it belongs to; one to a probe does not. */
  abstract hasRequestId(headers: IncomingHttpHeaders): boolean;

  /** Parses the response to a health probe. */
  abstract parseProbeResponse(head: ResponseHead): ProbeResult;
}
