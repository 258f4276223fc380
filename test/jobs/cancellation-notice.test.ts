/**
 * Tests that committed cancellations are announced to peers, so that a peer whose store requests are refused stops the
 * job's tasks too.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from '../support/simulated-cluster.js';

test('a leader that only the store refuses stops tasks cancelled through a peer, and starts none of them', async () => {
  for (const refusedFor of [50, 700, 1500]) {
    const cluster = new SimulatedCluster();
    cluster.addWorker('large', 'east');
    await cluster.start();
    // Each job has one task of 4 CPUs: the tasks of two jobs run, the others wait in the same shard.
    for (const job of [1, 2, 3, 4])
      await cluster.submit(0, `req-${job}`, { cpus: 4, runMs: 60_000, zone: 'east' });
    await cluster.step(1500);
    const runs = (id: string): boolean =>
      [...cluster.workers.values()].some((worker) =>
        worker.runningTasks().some((task) => task.taskId.startsWith(`${id}/`)),
      );
    const [running, ...rest] = ['req-1', 'req-2', 'req-3', 'req-4'].filter(runs);
    const waiting = ['req-1', 'req-2', 'req-3', 'req-4'].filter((id) => !runs(id));
    assert.ok(running !== undefined && rest.length === 1 && waiting.length === 2);
    const leader = (cluster.store.entries.get('c/parts/0')?.data as { owner: string }).owner;
    cluster.store.refusedNodes.add(leader);
    await cluster.step(refusedFor);
    for (const id of [waiting[0] as string, running]) {
      const answer = await cluster.sendUserRequest(1, 'POST', `/v2/runs/${id}/abort`);
      assert.equal(answer.body['status'], 'cancelled');
    }
    await cluster.step(1500);
    assert.ok(!runs(running), 'the task is stopped without access to the store');
    await cluster.step(6000);
    assert.deepEqual(cluster.invariantChecker.startsAfterCancellation, []);
    assert.deepEqual(cluster.violations, []);
  }
});

test('a cancellation notice that is late, repeated or already known changes nothing', async () => {
  const cluster = new SimulatedCluster();
  cluster.addWorker('large', 'east');
  await cluster.start();
  await cluster.submit(0, 'req-1', { runMs: 20_000, zone: 'east' });
  await cluster.step(1000);
  const notice = { kind: 'cancelled', job: 'req-1', version: 1 };
  for (const node of cluster.nodes) node.receiveFromPeer?.(notice);
  await cluster.step(1000);
  const poll = await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-1');
  assert.equal(poll.body['status'], 'running', 'the notice is older than the watch cache');
  await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-1/abort');
  for (const node of cluster.nodes) node.receiveFromPeer?.(notice);
  await cluster.step(3000);
  for (const node of cluster.nodes.keys()) {
    const answer = await cluster.sendUserRequest(node, 'GET', '/v2/runs/req-1');
    assert.equal(answer.body['status'], 'cancelled');
  }
  assert.deepEqual(cluster.violations, []);
});
