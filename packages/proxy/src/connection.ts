import type { ServerResponse } from 'node:http';
import { readAheadBytes, ResponseBacklog } from './backlog.js';
import type { ResponseTurn } from './backlog.js';
import type { Cancellation } from './cancellation.js';

/** A call whose response is not complete. */
export interface PendingCall {
  readonly cancellation: Cancellation;
  readonly turn: ResponseTurn;
}

/** A call that is handled later, because too many bytes of responses wait already. */
interface HeldCall {
  readonly turn: ResponseTurn;
  start(): void;
}

/** A connection of a caller. */
export class CallerConnection {
  /** Header limit of the connection; Node keeps the one with which a connection was opened. */
  readonly maxHeaderBytes: number;

  /** Calls whose response is not complete, oldest first. */
  readonly calls = new Map<ServerResponse, PendingCall>();

  /** Those of `calls` that are not handled yet, oldest first. */
  readonly heldCalls: HeldCall[] = [];

  readonly backlog: ResponseBacklog;

  #finalResponse: string | undefined;

  #discardedRequests = 0;

  /**
   * @param maxHeaderBytes - Header limit in force when the connection is opened.
   * @param maxWaitingBytes - Maximum bytes of the responses that wait behind an earlier one.
   * @param processBacklog - Backlog of all connections together.
   */
  constructor(maxHeaderBytes: number, maxWaitingBytes: number, processBacklog: ResponseBacklog) {
    this.maxHeaderBytes = maxHeaderBytes;
    this.backlog = new ResponseBacklog(maxWaitingBytes, processBacklog);
  }

  /**
   * Raw response to malformed input, sent after the responses to the calls before the input. It is
   * empty when the connection only ends then, and undefined when it stays open.
   */
  get finalResponse(): string | undefined {
    return this.#finalResponse;
  }

  get discardedRequests(): number {
    return this.#discardedRequests;
  }

  /** The call whose response is sent last. */
  get lastResponse(): ServerResponse | undefined {
    return [...this.calls.keys()].at(-1);
  }

  /** @param response - Raw response with which the connection ends; it may be empty. */
  setFinalResponse(response: string): void {
    this.#finalResponse = response;
  }

  /** Counts a request that is not handled; the connection ends after the present calls. */
  discardRequest(): void {
    this.#discardedRequests += 1;
    this.#finalResponse ??= '';
  }

  /** Starts the turn of the oldest call. */
  startNextTurn(): void {
    const [next] = this.calls.values();
    next?.turn.start();
  }

  /** Handles held calls as far as the limits on waiting responses allow. */
  startHeldCalls(): void {
    for (;;) {
      const [next] = this.heldCalls;
      if (!next?.turn.reserve(readAheadBytes)) return;
      this.heldCalls.shift();
      next.start();
    }
  }

  /** Cancels all calls, because the connection has closed. */
  close(): void {
    this.heldCalls.length = 0;
    const pending = [...this.calls.values()];
    this.calls.clear();
    pending.forEach(({ cancellation, turn }) => {
      cancellation.cancel();
      turn.close();
    });
  }
}
