import type { IncomingMessage } from 'node:http';
import type { WaitEstimate } from '@dotterelpass/fairness';
import type { IncomingCall, Refusal } from '@dotterelpass/proxy';
import type { LogFields, Logger, Metrics } from '@dotterelpass/telemetry';
import type { Call, CallTrace, RetryBlock, TimeLimit, TimeoutPhase } from './call.js';
import { getCallClass } from './catalog.js';
import type { HeaderCodec } from './codec.js';
import type { RecentFailures } from './failures.js';

/** What ended a call, for the log. */
export interface FailureCause {
  readonly timedOutIn?: TimeoutPhase | undefined;
  readonly retryBlock?: RetryBlock | undefined;
  /** Inputs of a refusal for lack of capacity. */
  readonly wait?: WaitEstimate | undefined;
}

/** Outcome of a call, for the log and the metrics. */
export interface CallOutcome extends FailureCause {
  readonly status: number;
  readonly verdict: 'not-run' | 'may-have-run' | 'ran';
  readonly reason: string;
}

/** Properties of a call that only its log line shows. */
export interface LoggedTiming {
  readonly configVersion: number;
  /** The timeout that the caller states, in milliseconds. */
  readonly patienceMs: number | undefined;
  /** Estimated time since the first attempt of the caller, in milliseconds. */
  readonly waitedMs: number;
  /** Present when another instance has handed the call over. */
  readonly handedOverBy?: string;
  /** Present when the deadline ended the call. */
  readonly timeLimit?: TimeLimit;
}

type RecordedCall = Pick<Call, 'id' | 'route' | 'workspace'>;

export interface CallRecorderOptions {
  readonly headerCodec: HeaderCodec;
  readonly recentFailures: RecentFailures;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Records what became of the requests of callers, in the log and the metrics. */
export class CallRecorder {
  readonly #options: CallRecorderOptions;

  constructor(options: CallRecorderOptions) {
    this.#options = options;
  }

  /**
   * Records a request that is refused before it is sent to an endpoint. Without this record, nothing
   * shows which rejections that callers report are this instance's own.
   *
   * @param refusal - The refusal.
   * @param request - The request; undefined for input that could not be parsed.
   * @param details - Further fields of the log line.
   */
  recordRefusal(
    { status, verdict, message }: Refusal,
    request: IncomingMessage | undefined,
    details: LogFields = {},
  ): void {
    const { log, metrics, headerCodec } = this.#options;
    metrics.recordEvent(`refused-${status}`);
    log.info('request-failed', {
      requestId: request && headerCodec.parseRequestHeaders(request.headers).id,
      status,
      verdict,
      reason: message,
      ...details,
    });
  }

  /**
   * Records how a call has ended.
   *
   * @param call - Whose call it is, and its route.
   * @param ms - Time since the call was received, in milliseconds.
   * @param trace - What was tried.
   */
  recordOutcome(
    { target, callsAhead }: IncomingCall,
    { id, route, workspace }: RecordedCall,
    timing: LoggedTiming,
    { status, verdict, reason, timedOutIn, retryBlock, wait }: CallOutcome,
    ms: number,
    { attempts, handovers }: CallTrace,
  ): void {
    const { log, metrics, recentFailures } = this.#options;
    const [first] = route.targets;
    metrics.recordCall({
      service: first?.service ?? 'none',
      tenant: workspace?.name ?? target.host,
      class: getCallClass({ route, workspace }),
      seconds: ms / 1000,
      verdict,
      status,
    });
    const fields = {
      requestId: id,
      route: route.name,
      ...(workspace ? { workspace: workspace.name } : {}),
      ...timing,
      status,
      verdict,
      reason,
      ...(timedOutIn === undefined ? {} : { timedOutIn }),
      ...(retryBlock === undefined ? {} : { retryBlock }),
      ...(wait === undefined ? {} : { wait }),
      ms: Math.round(ms),
      ...(callsAhead > 0 ? { callsAhead } : {}),
      attempts,
      ...(handovers.length > 0 ? { handovers } : {}),
    };
    if (reason === 'served') log.info('request', fields);
    else {
      log.info('request-failed', fields);
      if (id !== undefined) recentFailures.add(id, fields);
    }
  }
}
