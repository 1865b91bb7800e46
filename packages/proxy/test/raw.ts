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
