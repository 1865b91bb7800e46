import { request } from 'node:http';
import type { Change } from '@dotterelpass/configuration';
import { ByteCollector } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** HTTP response of an operator port. */
export interface OperatorReply {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/**
 * Reason why a request got no response. `unsent` means that no instance received the request;
 * after `lost` an instance may have processed it.
 */
export interface RequestFailure {
  readonly kind: 'unsent' | 'lost';
  readonly message: string;
}

/** Command to submit. The client adds the field `repeated` to the request body. */
export interface CommandRequest {
  readonly commandId: string;
  readonly author: string;
  readonly command: Change;
  readonly expectedRevision?: number | undefined;
}

/** HTTP client that tries the operator ports of entry instances in order until one responds. */
export class OperatorClient {
  readonly #addresses: readonly string[];

  readonly #token: string;

  readonly #timeoutMs: number;

  /**
   * @param addresses - IP addresses and ports, in the order in which they are tried.
   * @param token - Bearer token of the operator ports.
   * @param timeoutMs - Timeout of one request, in milliseconds.
   */
  constructor(addresses: readonly string[], token: string, timeoutMs: number) {
    if (addresses.length === 0) throw new RangeError('no operator address is given');
    this.#addresses = addresses;
    this.#token = token;
    this.#timeoutMs = timeoutMs;
  }

  /**
   * Sends a command. When an instance fails before it responds, the next instance gets the same
   * command id, so that the command is accepted at most once.
   *
   * @param command - The command.
   * @returns The response, or `lost` when the command may have been accepted.
   */
  async sendCommand(command: CommandRequest): Promise<Result<OperatorReply, RequestFailure>> {
    return this.#request('POST', '/v1/commands', (repeated) => ({ ...command, repeated }));
  }

  /**
   * Determines the outcome of a command whose response was lost.
   *
   * @param commandId - Id of the command.
   * @param service - Service of the command. When omitted, the command is only looked up.
   */
  async settle(
    commandId: string,
    service?: string,
  ): Promise<Result<OperatorReply, RequestFailure>> {
    const path = `/v1/commands/${encodeURIComponent(commandId)}`;
    if (service === undefined) return this.#request('GET', path);
    return this.#request('POST', `${path}/settle`, () => ({ service }));
  }

  /** Lifts the ban on a request that crashed endpoints. */
  async liftBan(fingerprint: string): Promise<Result<OperatorReply, RequestFailure>> {
    return this.#request(
      'POST',
      `/v1/suspects/${encodeURIComponent(fingerprint)}/lift`,
      () => ({}),
    );
  }

  /** Requests the rows of a subject, such as `endpoints`. */
  async list(subject: string): Promise<Result<OperatorReply, RequestFailure>> {
    return this.#request('GET', `/v1/${subject}`);
  }

  /**
   * Sends a request to the addresses in order until one responds.
   *
   * @param makeBody - Makes the request body. Its argument is true when an instance at an earlier
   * address may have processed the request.
   */
  async #request(
    method: string,
    path: string,
    makeBody?: (repeated: boolean) => object,
  ): Promise<Result<OperatorReply, RequestFailure>> {
    let repeated = false;
    const failures: string[] = [];
    for (const address of this.#addresses) {
      const body = makeBody ? Buffer.from(JSON.stringify(makeBody(repeated))) : undefined;
      const reply = await this.#send(address, method, path, body);
      if (reply.isOk()) return reply;
      repeated ||= reply.error.kind === 'lost';
      failures.push(`${address}: ${reply.error.message}`);
    }
    return err({ kind: repeated ? 'lost' : 'unsent', message: failures.join('; ') });
  }

  async #send(
    address: string,
    method: string,
    path: string,
    body: Buffer | undefined,
  ): Promise<Result<OperatorReply, RequestFailure>> {
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve) => {
      const outgoing = request({
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: {
          authorization: `Bearer ${this.#token}`,
          ...(body ? { 'content-type': 'application/json', 'content-length': body.length } : {}),
        },
      });
      const failAsLost = (message: string) => resolve(err({ kind: 'lost', message }));
      const timer = setTimeout(() => {
        outgoing.destroy(new Error(`no answer in ${this.#timeoutMs} ms`));
      }, this.#timeoutMs);
      outgoing.on('close', () => clearTimeout(timer));
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNREFUSED') resolve(err({ kind: 'unsent', message: error.message }));
        else failAsLost(error.message);
      });
      outgoing.on('response', (response) => {
        const bytes = new ByteCollector();
        response.on('data', (chunk: Buffer) => bytes.add(chunk));
        response.on('error', (error) => failAsLost(error.message));
        response.on('end', () => {
          try {
            const value = JSON.parse(bytes.toBuffer().toString()) as OperatorReply['body'];
            resolve(ok({ status: response.statusCode ?? 0, body: value }));
          } catch {
            failAsLost(`the answer with status ${response.statusCode ?? 0} is not JSON`);
          }
        });
      });
      outgoing.end(body);
    });
  }
}
