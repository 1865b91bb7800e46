import {
  maxBufferedBytes,
  copyEndToEndHeaders,
  forwardResponseBody,
  refuse,
} from '@dotterelpass/proxy';
import type { Refusal } from '@dotterelpass/proxy';
import { outcomeHeader, parseVerdict } from '@dotterelpass/values';
import type { Verdict } from '@dotterelpass/values';
import { readOutcome } from './attempts.js';
import type { AnsweredCall } from './attempts.js';
import type { Call } from './call.js';
import type { OnceOutcome, StoredResponse } from './gates.js';

/** The result of a call, for metrics, logs and the `once` gate. */
export interface CallResult {
  readonly verdict: Verdict;
  /** Status sent to the caller; 0 if the caller disconnected or the response was truncated. */
  readonly status: number;
  /** Recorded under the idempotency key of a `once` call. */
  readonly outcome: OnceOutcome;
}

const replacedHeaders: ReadonlySet<string> = new Set(['x-request-id']);
const replacedHeadersWithOutcome: ReadonlySet<string> = new Set(['x-request-id', outcomeHeader]);

/**
 * Forwards the response of an endpoint to the caller.
 *
 * @param call - The call.
 * @param answered - The endpoint's response.
 * @param keep - Whether to keep the response for a replay; it is then read to its end even if the
 * caller disconnects.
 * @returns The result of the call.
 */
export async function forwardResponse(
  call: Call,
  answered: AnsweredCall,
  keep: boolean,
): Promise<CallResult> {
  const { response: endpointResponse, mayHaveRun } = answered;
  const { response } = call;
  const status = endpointResponse.statusCode ?? 0;
  let verdict = parseVerdict(String(endpointResponse.headers[outcomeHeader])) ?? 'ran';
  // The verdict of the endpoint covers only the last attempt; an earlier attempt may have run.
  const needsCorrection = mayHaveRun && verdict === 'not-run';
  if (needsCorrection) verdict = 'may-have-run';
  const headers = copyEndToEndHeaders(
    endpointResponse.rawHeaders,
    needsCorrection ? replacedHeadersWithOutcome : replacedHeaders,
  );
  if (needsCorrection) headers.push(outcomeHeader, verdict);
  if (!response.destroyed) response.writeHead(status, [...headers, 'x-request-id', call.id]);
  const { result, keptBody } = await forwardResponseBody(endpointResponse, response, {
    maxKeptBytes: keep ? maxBufferedBytes : 0,
    readAfterDisconnect: keep,
    timeoutMs: Math.max(1, call.deadlineAt - performance.now()),
  });
  if (result === 'cut') {
    await answered.end({ ...readOutcome(endpointResponse), result: 'failed' });
    return { verdict: 'may-have-run', status: 0, outcome: { verdict: 'may-have-run' } };
  }
  const isComplete = result === 'whole' || keptBody !== undefined;
  await answered.end(isComplete ? readOutcome(endpointResponse) : { result: 'cancelled' });
  const outcome: OnceOutcome =
    verdict === 'ran' && keptBody
      ? { verdict, answer: { status, headers: toHeaderRecord(headers), body: keptBody } }
      : { verdict };
  return { verdict, status: result === 'whole' ? status : 0, outcome };
}

/**
 * Sends the caller the stored response of an earlier request with the same idempotency key.
 *
 * @param call - The call.
 * @param stored - The stored response.
 * @returns The result of the call.
 */
export function replayResponse(call: Call, stored: StoredResponse): CallResult {
  call.response
    .writeHead(stored.status, {
      ...stored.headers,
      // The original response may have been chunked. A 204 has neither a body nor a length.
      ...(stored.status === 204 ? {} : { 'content-length': stored.body.length }),
      'x-request-id': call.id,
      'idempotency-replayed': 'true',
    })
    .end(stored.body);
  return { verdict: 'ran', status: stored.status, outcome: { verdict: 'ran' } };
}

/**
 * Sends the caller a refusal.
 *
 * @param call - The call.
 * @param refusal - Status, verdict and message for the caller.
 * @returns The result of the call.
 */
export function sendRefusal(call: Pick<Call, 'response' | 'id'>, refusal: Refusal): CallResult {
  refuse(call.response, call.id, refusal);
  const { verdict, status } = refusal;
  return { verdict, status, outcome: { verdict } };
}

function toHeaderRecord(headers: readonly string[]): Record<string, string | string[]> {
  const record: Record<string, string | string[]> = {};
  for (let index = 0; index < headers.length; index += 2) {
    const name = (headers[index] as string).toLowerCase();
    const value = headers[index + 1] as string;
    const previous = record[name];
    record[name] = previous === undefined ? value : [previous, value].flat();
  }
  return record;
}
