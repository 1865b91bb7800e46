import { request } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayBed } from './bed.js';

describe('a response to HEAD', () => {
  let bed: GatewayBed;

  beforeEach(() => {
    bed = new GatewayBed();
  });

  afterEach(() => bed.close());

  async function sendHead(): Promise<{ status?: number | undefined; length?: string | undefined }> {
    return new Promise((resolve, reject) => {
      const sent = request({
        host: '127.0.0.1',
        port: bed.port,
        method: 'HEAD',
        headers: { Host: 'h' },
      });
      sent.on('error', reject).on('response', (response) => {
        response.resume();
        resolve({ status: response.statusCode, length: response.headers['content-length'] });
      });
      sent.end();
    });
  }

  // Guards against a whole response that is taken for a body which a reset has cut.
  it.each([
    { name: 'without a length', headers: {}, length: undefined },
    { name: 'with a length', headers: { 'Content-Length': '14' }, length: '14' },
    { name: 'in chunks', headers: { 'Transfer-Encoding': 'chunked' }, length: undefined },
  ])('is passed on: $name', async ({ headers, length }) => {
    await bed.start((_request, response) => response.writeHead(200, headers).end());
    expect(await sendHead()).toEqual({ status: 200, length });
  });
});
