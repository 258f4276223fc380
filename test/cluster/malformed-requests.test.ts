/** Malformed requests never affect a job, also during a failover. */
import assert from 'node:assert/strict';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { seededRandom } from '../../src/model/random.js';
import { startHttpServer } from '../../src/http/server.js';
import { silentLog } from '../../src/logging/log.js';
import type { Address } from '../../src/model/units.js';
import { millis } from '../../src/model/units.js';
import {
  NODES,
  startCluster,
  pollUntilFinal,
  waitForAnswer,
  assertNoViolations,
} from '../support/user-load.js';

/** Returns bodies that are refused for a new job and must not affect an existing one. */
const malformedBodies = (body: Record<string, unknown>): Record<string, unknown>[] => {
  const { crew, ...withoutTeam } = body;
  return [
    withoutTeam,
    { ...body, crew: `no ${String(crew)}` },
    { ...body, legs: 0 },
    { ...body, vcpus: 7000 },
    { ...body, memoryGb: 1000 },
    { ...body, hulls: ['no such type'] },
    { ...body, rank: 'highest' },
    { ...body, hulls: Array.from({ length: 60 }, (_, i) => `${'x'.repeat(150)}${i}`) },
  ];
};

test('malformed repeated submissions never affect an existing job, and impossible jobs are refused with a message, also during a failover', async () => {
  for (let seed = 1; seed <= 3; seed += 1) {
    const { cluster, users } = await startCluster('east', 'west', 'east');
    const random = seededRandom(seed);
    await waitForAnswer(cluster, users.submit(0, 'req-1', { service: true, tasks: 2 }));
    await waitForAnswer(cluster, users.submit(1, 'req-2', { tasks: 2, runMs: 20_000 }));
    await waitForAnswer(cluster, users.submit(2, 'req-3', { runMs: 300 }));
    await waitForAnswer(cluster, users.submit(0, 'req-4', { runMs: 60_000 }));
    await waitForAnswer(cluster, users.cancel(1, 'req-4'));
    await cluster.step(3000);
    await waitForAnswer(cluster, users.poll(0, 'req-3'));
    assert.equal(users.finalStateOf('req-3'), 'done');
    const existing = ['req-1', 'req-2', 'req-3', 'req-4'];
    const refusedIds: string[] = [];
    const validBody = cluster.submissionBody('req-plain');
    const statuses = new Set<number>();
    for (let round = 0; round < 100; round += 1) {
      if (round === 10) cluster.killNode(seed % 3);
      if (round === 40 + random(20)) await cluster.startNode(seed % 3);
      if (round === 70) await cluster.startNode(seed % 3);
      const id = existing[random(4)] ?? '';
      for (const body of malformedBodies({ ...validBody, uid: id }))
        void users.submitBody(random(3), id, body);
      void users.cancel(random(3), random(2) === 0 ? 'req-3' : 'req-4');
      const newId = `req-odd-${round}`;
      refusedIds.push(newId);
      const malformed = malformedBodies({ ...validBody, uid: newId })[random(7)];
      const answer = cluster.request(random(3), 'POST', '/v2/runs', malformed);
      void answer.then((response) => {
        statuses.add(response?.status ?? 0);
        const text = (response?.body as { error?: string } | undefined)?.error;
        if (response && !text)
          cluster.violations.push(`${newId} answered ${response.status} without an error text`);
      });
      await cluster.step(200);
    }
    await cluster.step(5000);
    for (const id of refusedIds) {
      const answer = await waitForAnswer(cluster, users.poll(random(3), id));
      assert.equal(answer.status, 404, `${id} was never accepted`);
    }
    await pollUntilFinal(cluster, users, ['req-2'], 30);
    assertNoViolations(cluster);
    assert.ok([400, 422].every((status) => statuses.has(status)));
    assert.ok([...statuses].every((status) => [0, 400, 422, 503].includes(status)));
    assert.equal(users.finalStateOf('req-2'), 'done');
    assert.equal(cluster.traceLines.filter((l) => l.includes('runs req-odd')).length, 0);
  }
});

/** Sends bytes, optionally ends the stream, and resolves with all that arrives until the connection is closed. */
function exchange(sockets: Socket[], port: number, bytes: string, endsStream: boolean): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    let received = '';
    socket.on('data', (data) => (received += data.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
    if (endsStream) socket.end(bytes);
    else socket.write(bytes);
  });
}

test('malformed, oversized and incomplete requests during a failover are answered or closed, and no job is lost', async () => {
  const { cluster, users } = await startCluster('east', 'west', 'east');
  const options = {
    maxConnections: 100,
    receiveTimeout: millis(300),
    idleTimeout: millis(300),
    responseTimeout: millis(2000),
  };
  const servers = await Promise.all(
    NODES.map((node) =>
      startHttpServer(
        '127.0.0.1:0' as Address,
        (request) => {
          const handler = cluster.nodes[node]?.handler;
          return handler ? handler(request) : { status: 503, body: { error: 'not running' } };
        },
        options,
        silentLog(),
      ),
    ),
  );
  const sockets: Socket[] = [];
  try {
    const ports = servers.map((server) => (server.address() as AddressInfo).port);
    await waitForAnswer(cluster, users.submit(0, 'req-1', { tasks: 2, runMs: 12_000 }));
    await cluster.step(1000);
    const body = JSON.stringify(cluster.submissionBody('req-1', { tasks: 2, runMs: 12_000 }));
    const head = (length: number): string =>
      `POST /v2/runs HTTP/1.1\r\nConnection: close\r\nContent-Length: ${length}\r\n\r\n`;
    const cases: [string, boolean][] = [
      ['\x16\x03\x01 not HTTP at all\r\n\r\n', false],
      [`GET /v2/runs/${'x'.repeat(100_000)} HTTP/1.1\r\n\r\n`, false],
      [head(10_000_000), false],
      [head(20) + '{"uid":"req-1","lane"', false],
      [head(body.length) + body.slice(0, 100), false],
      [head(body.length) + body.slice(0, 100), true],
      [head(body.length) + body, false],
    ];
    cluster.killNode(0);
    const exchanges: Promise<string>[] = [];
    let openConnections = 0;
    for (let round = 0; round < 6; round += 1) {
      for (const port of ports)
        for (const [bytes, endsStream] of cases) {
          openConnections += 1;
          exchanges.push(exchange(sockets, port, bytes, endsStream).finally(() => (openConnections -= 1)));
        }
      if (round === 3) await cluster.startNode(0);
      for (let i = 0; i < 400 && openConnections > 0; i += 1) {
        await cluster.step(5);
        await new Promise((resolve) => setTimeout(resolve, 2));
      }
      assert.equal(openConnections, 0, 'every connection is answered or closed');
    }
    for (const text of await Promise.all(exchanges))
      assert.match(text, /^$|^HTTP\/1\.1 (200|4\d\d|503) /, 'an answer with one of these statuses, or none');
    await pollUntilFinal(cluster, users, ['req-1'], 60);
    assertNoViolations(cluster);
    assert.equal(users.finalStateOf('req-1'), 'done');
  } finally {
    for (const socket of sockets) socket.destroy();
    for (const server of servers) server.close();
  }
});
