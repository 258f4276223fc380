/** A committed cancellation is told to the peers: one that the state service refuses stops its tasks all the same. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from './standins/world.js';

test('a leader refused by the state service alone stops what is cancelled through a peer, and starts none of it', async () => {
  for (const refusedFor of [50, 700, 1500]) {
    const world = new World();
    world.addWorker('large', 'east');
    await world.start();
    // One task of 4 CPUs a job: two run, the others of the same part wait.
    for (const job of [1, 2, 3, 4])
      await world.submit(0, `req-${job}`, { cpus: 4, runMs: 60_000, zone: 'east' });
    await world.step(1500);
    const runs = (id: string): boolean =>
      [...world.workers.values()].some((m) => m.active().some((t) => t.leg.startsWith(`${id}/`)));
    const [running, ...rest] = ['req-1', 'req-2', 'req-3', 'req-4'].filter(runs);
    const waiting = ['req-1', 'req-2', 'req-3', 'req-4'].filter((id) => !runs(id));
    assert.ok(running !== undefined && rest.length === 1 && waiting.length === 2);
    const owner = (world.state.rows.get('c/parts/0')?.data as { owner: string }).owner;
    world.state.refused.add(owner);
    await world.step(refusedFor);
    for (const id of [waiting[0] as string, running]) {
      const answer = await world.ask(1, 'POST', `/v2/runs/${id}/abort`);
      assert.equal(answer.body['status'], 'cancelled');
    }
    await world.step(1500);
    assert.ok(!runs(running), 'it is stopped without the state service');
    await world.step(6000);
    assert.deepEqual(world.judge.startsAfterCancellation, []);
    assert.deepEqual(world.broken, []);
  }
});

test('a notice that comes late or twice, or says what is known, changes nothing', async () => {
  const world = new World();
  world.addWorker('large', 'east');
  await world.start();
  await world.submit(0, 'req-1', { runMs: 20_000, zone: 'east' });
  await world.step(1000);
  const notice = { kind: 'cancelled', job: 'req-1', version: 1 };
  for (const node of world.nodes) node.mesh?.(notice);
  await world.step(1000);
  const poll = await world.ask(0, 'GET', '/v2/runs/req-1');
  assert.equal(poll.body['status'], 'running', 'older than what the view shows');
  await world.ask(1, 'POST', '/v2/runs/req-1/abort');
  for (const node of world.nodes) node.mesh?.(notice);
  await world.step(3000);
  for (const node of world.nodes.keys()) {
    const answer = await world.ask(node, 'GET', '/v2/runs/req-1');
    assert.equal(answer.body['status'], 'cancelled');
  }
  assert.deepEqual(world.broken, []);
});
