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
import type { Answered } from './attempts.js';
import type { Call } from './call.js';
import type { OnceOutcome, StoredResponse } from './gates.js';

/** How a call ended. */
export interface Ending {
  readonly verdict: Verdict;
  /** Status sent to the caller; 0 when the caller left or the answer was cut. */
  readonly status: number;
  /** What the run of a `once` call has come to. */
  readonly outcome: OnceOutcome;
}

const replaced: ReadonlySet<string> = new Set(['x-request-id']);
const replacedWithOutcome: ReadonlySet<string> = new Set(['x-request-id', outcomeHeader]);

/**
 * Gives the answer of an endpoint to the caller.
 *
 * @param call - The call.
 * @param answered - The answer.
 * @param keep - Whether the answer is kept for a re-send, and so outlives the caller.
 * @returns How the call ended.
 */
export async function serveAnswer(call: Call, answered: Answered, keep: boolean): Promise<Ending> {
  const { answer, mayHaveRun } = answered;
  const { response } = call;
  const status = answer.statusCode ?? 0;
  let verdict = parseVerdict(String(answer.headers[outcomeHeader])) ?? 'ran';
  const isWrong = mayHaveRun && verdict === 'not-run';
  if (isWrong) verdict = 'may-have-run';
  const headers = copyEndToEndHeaders(answer.rawHeaders, isWrong ? replacedWithOutcome : replaced);
  if (isWrong) headers.push(outcomeHeader, verdict);
  if (!response.destroyed) response.writeHead(status, [...headers, 'x-request-id', call.id]);
  const { result, keptBody: kept } = await forwardResponseBody(answer, response, {
    maxKeptBytes: keep ? maxBufferedBytes : 0,
    readAfterDisconnect: keep,
    timeoutMs: Math.max(1, call.deadlineAt - performance.now()),
  });
  if (result === 'cut') {
    await answered.end({ ...readOutcome(answer), result: 'failed' });
    return { verdict: 'may-have-run', status: 0, outcome: { verdict: 'may-have-run' } };
  }
  const isDone = result === 'whole' || kept !== undefined;
  await answered.end(isDone ? readOutcome(answer) : { result: 'cancelled' });
  const outcome: OnceOutcome =
    verdict === 'ran' && kept
      ? { verdict, answer: { status, headers: toRecord(headers), body: kept } }
      : { verdict };
  return { verdict, status: result === 'whole' ? status : 0, outcome };
}

/**
 * Gives the caller the answer that an earlier sending of the call got.
 *
 * @param call - The call.
 * @param stored - That answer.
 * @returns How the call ended.
 */
export function serveReplay(call: Call, stored: StoredResponse): Ending {
  call.response
    .writeHead(stored.status, {
      ...stored.headers,
      // The answer may have come in chunks. A 204 has no body and no length.
      ...(stored.status === 204 ? {} : { 'content-length': stored.body.length }),
      'x-request-id': call.id,
      'idempotency-replayed': 'true',
    })
    .end(stored.body);
  return { verdict: 'ran', status: stored.status, outcome: { verdict: 'ran' } };
}

/**
 * Gives the caller a refusal.
 *
 * @param call - The call.
 * @param refusal - What the caller is told.
 * @returns How the call ended.
 */
export function serveRefusal(call: Pick<Call, 'response' | 'id'>, refusal: Refusal): Ending {
  refuse(call.response, call.id, refusal);
  const { verdict, status } = refusal;
  return { verdict, status, outcome: { verdict } };
}

function toRecord(headers: readonly string[]): Record<string, string | string[]> {
  const record: Record<string, string | string[]> = {};
  for (let index = 0; index < headers.length; index += 2) {
    const name = (headers[index] as string).toLowerCase();
    const value = headers[index + 1] as string;
    const known = record[name];
    record[name] = known === undefined ? value : [known, value].flat();
  }
  return record;
}
