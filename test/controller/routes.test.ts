import assert from 'node:assert/strict';
import { test } from 'node:test';
import { routeRequests } from '../../src/controller/routes.js';
import type { HttpResponse } from '../../src/http/server.js';

/** Answers with the name and the argument of the handler. */
const answer = (handler: string, argument?: unknown): HttpResponse => ({
  status: 200,
  body: { handler, argument: Buffer.isBuffer(argument) ? argument.toString() : argument },
});

const route = routeRequests({
  health: { answer: () => answer('health') },
  workers: { handleHeartbeat: (body) => Promise.resolve(answer('heartbeat', body)) },
  jobs: {
    submit: (body) => Promise.resolve(answer('submit', body)),
    cancel: (id) => Promise.resolve(answer('cancel', id)),
    status: (id) => Promise.resolve(answer('status', id)),
  },
});

const request = async (method: string, path: string): Promise<HttpResponse> =>
  route({ method, path, body: Buffer.from('text') });

test('each path has its handler', async () => {
  assert.deepEqual(await request('GET', '/up'), answer('health'));
  assert.deepEqual(await request('POST', '/agent/beat'), answer('heartbeat', 'text'));
  assert.deepEqual(await request('POST', '/v2/runs'), answer('submit', 'text'));
  assert.deepEqual(await request('GET', '/v2/runs/req-1'), answer('status', 'req-1'));
  assert.deepEqual(await request('POST', '/v2/runs/req-1/abort'), answer('cancel', 'req-1'));
});

test('a query does not change the handler', async () => {
  assert.deepEqual(await request('GET', '/v2/runs/req-1?verbose=1'), answer('status', 'req-1'));
});

test('a known path with another method is answered 405', async () => {
  const methodNotAllowed = { status: 405, body: { error: 'method not allowed' } };
  for (const [method, path] of [
    ['POST', '/up'],
    ['GET', '/agent/beat'],
    ['GET', '/v2/runs'],
    ['POST', '/v2/runs/req-1'],
    ['GET', '/v2/runs/req-1/abort'],
  ] as const)
    assert.deepEqual(await request(method, path), methodNotAllowed, `${method} ${path}`);
});

test('an unknown path is answered 404 whatever the method', async () => {
  for (const path of ['/', '/up/', '/v2/runs/', '/v2/runs/req-1/other', '/v2/runs/req-1/abort/'])
    for (const method of ['GET', 'POST'])
      assert.deepEqual(await request(method, path), { status: 404, body: { error: 'no such path' } }, path);
});
