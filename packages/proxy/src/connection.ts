import { readAheadBytes } from './backlog.js';
import type { ResponseTurn } from './backlog.js';
import { ByteBudget } from './budget.js';
import type { Cancellation } from './cancellation.js';
import type { CallerResponse } from './response.js';

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
  readonly calls = new Map<CallerResponse, PendingCall>();

  /** Those of `calls` that are not handled yet, oldest first. */
  readonly heldCalls: HeldCall[] = [];

  readonly backlog: ByteBudget;

  #finalResponse: string | undefined;

  #discardedRequests = 0;

  /**
   * @param maxHeaderBytes - Header limit in force when the connection is opened.
   * @param maxWaitingBytes - Maximum bytes of the responses that wait behind an earlier one.
   * @param processBacklog - Backlog of all connections together.
   */
  constructor(maxHeaderBytes: number, maxWaitingBytes: number, processBacklog: ByteBudget) {
    this.maxHeaderBytes = maxHeaderBytes;
    this.backlog = new ByteBudget(maxWaitingBytes, processBacklog);
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
  get lastResponse(): CallerResponse | undefined {
    return [...this.calls.keys()].at(-1);
  }

  /**
   * Whether the response to an earlier request closes the connection. Further requests count as not
   * read: their callers send them again.
   */
  get isLastRequestRead(): boolean {
    return this.#discardedRequests > 0 || this.lastResponse?.closesConnection === true;
  }

  /** Adds a call; its response is held back until those to the calls before it have been sent. */
  addCall(response: CallerResponse, call: PendingCall): void {
    if (this.calls.size > 0) response.hold();
    else call.turn.start();
    this.calls.set(response, call);
  }

  /**
   * Removes a call whose response has been sent.
   *
   * @returns Whether the call was there.
   */
  removeCall(response: CallerResponse): boolean {
    this.calls.get(response)?.turn.close();
    return this.calls.delete(response);
  }

  /**
   * Makes the last response close the connection, if its turn has come. Node drops the requests
   * behind a response with `Connection: close`, so no other response may have that header.
   */
  markLastResponse(): void {
    const last = this.lastResponse;
    this.calls.forEach(({ turn }, response) => {
      if (!response.headersSent && turn.hasCome) response.shouldKeepAlive = response !== last;
    });
  }

  /** @param response - Raw response with which the connection ends; it may be empty. */
  setFinalResponse(response: string): void {
    this.#finalResponse = response;
  }

  /** Counts a request that is not handled; the connection ends after the present calls. */
  discardRequest(): void {
    this.#discardedRequests += 1;
    this.#finalResponse ??= '';
    this.markLastResponse();
  }

  /**
   * Starts the turn of the oldest call.
   *
   * @param isDraining - Whether the last response is to close the connection.
   */
  startNextTurn(isDraining: boolean): void {
    const [next] = this.calls;
    if (!next) return;
    const [response, { turn }] = next;
    turn.start();
    if (isDraining || this.#discardedRequests > 0) this.markLastResponse();
    response.release();
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
