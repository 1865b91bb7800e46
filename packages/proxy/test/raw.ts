import { connect } from 'node:net';

/**
 * Sends bytes on a new connection and reads until the server closes it or `isDone` returns true.
 *
 * @param port - Loopback port.
 * @param steps - Texts to send in Latin-1; a number is a pause in milliseconds.
 * @param isDone - Whether the text received so far is enough.
 * @returns The received text and how the connection ended; `open` when this side closed it, after
 * `isDone` or 5 seconds without data.
 */
export async function exchange(
  port: number,
  steps: readonly (string | number)[],
  isDone: (text: string) => boolean = () => false,
): Promise<{ text: string; end: 'end' | 'reset' | 'open' }> {
  return new Promise((resolve) => {
    let text = '';
    const socket = connect(port, '127.0.0.1');
    const finish = (end: 'end' | 'reset' | 'open') => {
      socket.destroy();
      resolve({ text, end });
    };
    socket.setTimeout(5000, () => finish('open'));
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (isDone(text)) finish('open');
    });
    socket.on('end', () => finish('end'));
    socket.on('error', () => finish('reset'));
    void (async () => {
      for (const step of steps) {
        if (typeof step === 'string') socket.write(step, 'latin1');
        else {
          await new Promise((resume) => {
            setTimeout(resume, step);
          });
        }
      }
    })();
  });
}

/** Status lines of responses that are no final response to a request. */
export const invalidStatusLines = [
  'HTTP/1.1 000 ',
  'HTTP/1.1 000 OK',
  'HTTP/1.1 099 X',
  // No request of this project asks for an upgrade.
  'HTTP/1.1 101 Switching Protocols',
  'HTTP/1.1 600 X',
  'HTTP/1.1 999 X',
  'HTTP/1.1 2000 X',
  'HTTP/1.1 20 X',
  'HTTP/1.1 -20 X',
  'HTTP/1.1 OK',
  'HTTP/1.1 ',
] as const;

/** Status lines of final responses, at the bounds of what is valid. */
export const validStatusLines = ['HTTP/1.1 200 OK', 'HTTP/1.1 599 X'] as const;

/** What follows a status line, with and without a body. */
export const responseRests = {
  'without a body': 'Content-Length: 0\r\n\r\n',
  'with a body': 'Content-Length: 4\r\n\r\nbody',
  'in chunks': 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
  'without a length': '\r\nbody',
} as const;
