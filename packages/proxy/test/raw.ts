import { connect } from 'node:net';

/**
 * Sends bytes on a connection and reads until the other side ends it or `done` is satisfied.
 *
 * @param port - Loopback port.
 * @param parts - Texts in Latin-1; a number is a pause in milliseconds.
 * @param done - Whether the text so far is enough.
 * @returns What came, and how the connection ended.
 */
export async function exchange(
  port: number,
  parts: readonly (string | number)[],
  done: (text: string) => boolean = () => false,
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
      if (done(text)) finish('open');
    });
    socket.on('end', () => finish('end'));
    socket.on('error', () => finish('reset'));
    void (async () => {
      for (const part of parts) {
        if (typeof part === 'string') socket.write(part, 'latin1');
        else {
          await new Promise((after) => {
            setTimeout(after, part);
          });
        }
      }
    })();
  });
}
