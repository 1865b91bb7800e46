import type { IncomingMessage } from 'node:http';
import type { RequestBody, IncomingCall } from '@dotterelpass/proxy';
import type { ClassName, EndpointId, RequestId, ServiceId, Verdict } from '@dotterelpass/values';
import type { Route } from './catalog.js';
import type { AttemptEnding } from './endpoint.js';

/** A call on its way. */
export interface Call {
  readonly incoming: IncomingCall;
  /** The caller's own id of the call, which answers repeat. */
  readonly id: RequestId | undefined;
  readonly method: string;
  readonly route: Route;
  readonly service: ServiceId;
  readonly className: ClassName;
  /** Whether the service also has calls that are less urgent. */
  readonly isUrgent: boolean;
  readonly body: RequestBody;
  /** Monotonic time up to which an answer is worth most, in milliseconds. */
  readonly targetDeadlineAt: number;
  /** Monotonic time at which the caller must have its answer, in milliseconds. */
  readonly deadlineAt: number;
  /** SHA-256 of method, path, query and body. */
  readonly fingerprint: string;
}

/** One attempt, for the log. */
export interface AttemptRecord {
  readonly endpoint: EndpointId;
  readonly expectedMs: number;
  readonly reportAgeMs: number;
  readonly load: number;
  /** How many times longer work took there than usual, by its last report. */
  readonly slowdown: number;
  outcome: string;
  ms: number;
}

/** How the attempts of a call ended. */
export type CallResult =
  | {
      readonly kind: 'answer';
      readonly answer: IncomingMessage;
      /** Undefined when the body is too large to be read ahead. */
      readonly bufferedBody: Buffer | undefined;
      readonly isSuccess: boolean;
      finish(ending: AttemptEnding): void;
    }
  | {
      readonly kind: 'failed';
      readonly verdict: Verdict;
      readonly reason:
        'no-endpoint' | 'overload' | 'shed' | 'timeout' | 'reset' | 'invalid' | 'cancelled';
      readonly message: string;
    };

/** An endpoint's answer. */
export type CallResponse = Extract<CallResult, { kind: 'answer' }>;

/** No answer. */
export type CallFailure = Extract<CallResult, { kind: 'failed' }>;

/** @returns The end of a call whose caller has left. */
export function createCancelledFailure(): CallFailure {
  return { kind: 'failed', verdict: 'may-have-run', reason: 'cancelled', message: 'caller left' };
}

/** A call is `not-run` only when each of its attempts was. */
export function combineVerdicts(a: Verdict, b: Verdict): Verdict {
  if (a === 'not-run') return b;
  return b === 'not-run' ? a : 'may-have-run';
}
