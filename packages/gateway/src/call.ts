import type { IncomingMessage } from 'node:http';
import type { WaitEstimate } from '@dotterelpass/fairness';
import type { RequestBody, RequestDigest, IncomingCall } from '@dotterelpass/proxy';
import type {
  ClassName,
  EndpointId,
  InstanceId,
  RequestId,
  ServiceId,
  Verdict,
} from '@dotterelpass/values';
import type { Workspace } from '@dotterelpass/workspaces';
import type { Route } from './catalog.js';
import type { RunEnding } from './crashes.js';
import type { AttemptEnding } from './endpoint.js';

/** A call in progress. */
export interface Call {
  readonly incoming: IncomingCall;
  /** Request id chosen by the caller; endpoints repeat it in their responses. */
  readonly id: RequestId | undefined;
  readonly method: string;
  readonly route: Route;
  readonly service: ServiceId;
  readonly className: ClassName;
  /** Undefined when the configuration asks for no keys, and on public routes without a key. */
  readonly workspace?: Workspace | undefined;
  /** Whether the configuration asks for keys, which are then not sent on. */
  readonly hidesCredentials?: boolean;
  /** Whether the service also receives calls of a less urgent priority. */
  readonly isUrgent: boolean;
  /** Whether the service also receives calls of a more urgent priority. */
  readonly isDeferrable: boolean;
  readonly body: RequestBody;
  /** The instance that has handed the call over; undefined for a call of a caller. */
  readonly handedOverBy: string | undefined;
  /** Whether the caller seems to have come back after a refusal. */
  readonly isReturning: boolean;
  /** Monotonic time at which the target latency ends, in milliseconds. */
  readonly targetDeadlineAt: number;
  /** Monotonic time by which the caller must get its response, in milliseconds. */
  readonly deadlineAt: number;
  /** Digest of method, host, path, query and body: the fingerprint of the request. */
  readonly digest: RequestDigest;
}

/** One attempt, for the log. */
export interface AttemptRecord {
  readonly endpoint: EndpointId;
  readonly expectedMs: number;
  readonly reportAgeMs: number;
  readonly load: number;
  /** Factor by which work took longer there than usual, from its last load report. */
  readonly slowdown: number;
  outcome: string;
  ms: number;
}

/** One hand-over to another instance, for the log. */
export interface HandoverRecord {
  readonly peer: InstanceId;
  readonly outcome: string;
  readonly ms: number;
}

/** What was tried for one call, for the log. */
export interface CallTrace {
  readonly attempts: AttemptRecord[];
  readonly handovers: HandoverRecord[];
}

/** The limit that set the deadline of a call. */
export type TimeLimit = 'route-timeout' | 'caller-timeout';

/** What a call waited for when its deadline passed. */
export type TimeoutPhase =
  'request-body' | 'earlier-calls' | 'connection' | 'response-head' | 'response-body';

/** What forbade a further attempt of a call that failed. */
export type RetryBlock =
  | 'caller-left'
  /** The call may run once, and ran or may have run. */
  | 'may-have-run'
  /** The body is too large to be kept, and an attempt has sent a part of it. */
  | 'streamed-body'
  /** `maxAttempts` of the route. */
  | 'attempts-used'
  /** Too many attempts did not reach their endpoint. */
  | 'endpoints-unreachable'
  /** The time until the deadline is too short for an attempt. */
  | 'time-left'
  | 'retry-budget'
  /** No reachable endpoint is left that was not tried. */
  | 'no-endpoint'
  /** No endpoint that was not tried could answer in time. */
  | 'overload'
  /** All endpoints that were not tried ask instances to wait. */
  | 'backpressure';

/** Result of a call after all of its attempts. */
export type CallResult =
  | {
      readonly kind: 'answer';
      readonly response: IncomingMessage;
      /** Undefined when the body is too large to be buffered. */
      readonly bufferedBody: Buffer | undefined;
      readonly isSuccess: boolean;
      /** Why a status that may be retried was not. */
      readonly retryBlock?: RetryBlock;
      /** Ends the attempt, unless the body is buffered: it has ended then. */
      finish(ending: AttemptEnding, run: RunEnding): void;
    }
  | {
      readonly kind: 'failed';
      readonly verdict: Verdict;
      readonly reason:
        | 'no-endpoint'
        /** The failure domains of all endpoints are evacuated. */
        | 'evacuated'
        | 'overload'
        | 'backpressure'
        /** The rate limit of the workspace. */
        | 'quota'
        | 'shed'
        | 'timeout'
        | 'reset'
        | 'invalid'
        | 'cancelled';
      readonly message: string;
      /** Time after which the caller may send the call again, in milliseconds. */
      readonly retryAfterMs?: number;
      /** Present when the deadline ended the call. */
      readonly timedOutIn?: TimeoutPhase;
      /** Present when an attempt was made. */
      readonly retryBlock?: RetryBlock;
      /** Present when the call was refused for lack of capacity: what that was decided on. */
      readonly wait?: WaitEstimate;
    };

/** Result of a call that an endpoint answered. */
export type CallResponse = Extract<CallResult, { kind: 'answer' }>;

/** Result of a call that no endpoint answered. */
export type CallFailure = Extract<CallResult, { kind: 'failed' }>;

/** @returns The result of a call whose caller has disconnected. */
export function createCancelledFailure(): CallFailure {
  return {
    kind: 'failed',
    verdict: 'may-have-run',
    reason: 'cancelled',
    message: 'caller disconnected',
  };
}

/**
 * Ends the use of a response that does not reach the caller. An unread body would keep its
 * connection, and its slot at the endpoint, until the endpoint gives it up.
 *
 * @param answer - The response.
 * @param ending - Outcome of its attempt.
 */
export function discardAnswer(
  { response, bufferedBody, finish }: CallResponse,
  ending: AttemptEnding,
): void {
  if (bufferedBody === undefined) response.destroy();
  finish(ending, 'abandoned');
}

/** Combines the verdicts of two attempts: a call is `not-run` only when all its attempts are. */
export function combineVerdicts(a: Verdict, b: Verdict): Verdict {
  if (a === 'not-run') return b;
  return b === 'not-run' ? a : 'may-have-run';
}
