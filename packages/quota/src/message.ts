import type { Result } from 'neverthrow';
import type { InstanceId, LimitKey } from '@dotterelpass/values';
import type { LimitSpec } from './limiter.js';

/** A question for tokens of one limit. */
export interface TokenQuestion extends LimitSpec {
  readonly wanted: number;
  /** How many of them are for requests whose callers have come back after a refusal. */
  readonly returning: number;
  /** Unused tokens that the instance gives back. */
  readonly returned: number;
  /** Requests that the instance has denied since its last question. */
  readonly denied: number;
}

/**
 * What an instance sends to a coordinator. It attaches to the listed groups and to no others; without
 * any, it only asks whether the coordinator responds.
 */
export interface QuotaRequest {
  /** Number of groups into which the instance divides the limits. */
  readonly groupCount: number;
  readonly groups: readonly number[];
  /**
   * Time for which another coordinator may still count the instance, in milliseconds, for each of the
   * groups; undefined when there is none.
   */
  readonly overlapsMs: readonly number[] | undefined;
  /**
   * The stamp of the last response. A coordinator that was paused receives old requests, which must
   * not make it count instances that have left it since.
   */
  readonly stamp: CoordinatorStamp | undefined;
  readonly questions: readonly TokenQuestion[];
}

/** A time on the clock of one process of a coordinator. */
export interface CoordinatorStamp {
  /** Identifies the process. */
  readonly epoch: number;
  readonly at: number;
}

/** Answer to a question for tokens. */
export interface TokenAnswer {
  readonly key: LimitKey;
  readonly granted: number;
  /** Time until a token is due, in milliseconds; 0 when all tokens were granted. */
  readonly dueMs: number;
  /** Time in which the callers that were denied can be served, in milliseconds. */
  readonly spanMs: number;
  /** Tokens left, and instances attached, for the log. */
  readonly tokens: number;
  readonly attached: number;
}

/** What a coordinator answers. */
export interface QuotaResponse {
  readonly stamp: CoordinatorStamp;
  /** Whether the coordinator counts the instance in the groups that it has listed. */
  readonly isCounted: boolean;
  /** Whether the coordinator stops; it grants nothing more. */
  readonly isLeaving: boolean;
  /** Number of instances that the coordinator knows. */
  readonly size: number;
  readonly answers: readonly TokenAnswer[];
}

/** Why a message got no answer. */
export interface QuotaFailure {
  /**
   * `gone` when no process listens at the address of the coordinator, so that it grants nothing more.
   * Without such evidence it may only be out of reach, and the message may have arrived.
   */
  readonly kind: 'gone' | 'unanswered';
  readonly message: string;
}

/** Carries messages to coordinators on other instances. */
export abstract class QuotaTransport {
  /**
   * Sends a message and waits for its answer.
   *
   * @param peer - The other instance.
   * @param message - The message.
   * @param timeoutMs - Maximum time until the answer, in milliseconds.
   * @returns The answer, or the reason why there is none.
   */
  abstract request(
    peer: InstanceId,
    message: QuotaRequest,
    timeoutMs: number,
  ): Promise<Result<QuotaResponse, QuotaFailure>>;
}
