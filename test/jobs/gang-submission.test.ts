/** Tests unusual gang submissions and unusual upcoming store limits: accepted, or refused with the field's name. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../../src/settings/settings.js';
import {
  SMALL_CLUSTER,
  settingsText,
  SimulatedCluster,
  type JobOptions,
} from '../support/simulated-cluster.js';

const GANG: JobOptions = { gang: true, tasks: 2, cpus: 1, runMs: 4000 };

async function startCluster(): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster();
  for (let i = 0; i < 6; i += 1) cluster.addWorker('small', i % 2 === 0 ? 'east' : 'west');
  await cluster.start();
  return cluster;
}

/** Submits a gang with some fields changed and returns the HTTP status. */
async function statusOf(
  cluster: SimulatedCluster,
  id: string,
  changes: Record<string, unknown>,
): Promise<number> {
  const body = { ...cluster.submissionBody(id, GANG), ...changes };
  return (await cluster.sendUserRequest(0, 'POST', '/v2/runs', body)).status;
}

async function stateAfter(cluster: SimulatedCluster, id: string, seconds: number): Promise<unknown> {
  await cluster.step(seconds * 1000);
  return (await cluster.sendUserRequest(1, 'GET', `/v2/runs/${id}`)).body['status'];
}

test('a gang without tasks, with too many or with a fraction of a task is malformed, and no job is created', async () => {
  const cluster = await startCluster();
  for (const legs of [0, -1, 1.5, 100_001, '2', null]) {
    assert.equal(await statusOf(cluster, 'req-bad', { legs }), 400, `legs ${legs}`);
    assert.equal((await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-bad')).status, 404);
  }
  assert.equal(await statusOf(cluster, 'req-bad', { shape: 'gangs' }), 400);
});

test('a gang that can never run as a whole is refused, even if each of its tasks could run', async () => {
  const cluster = await startCluster();
  assert.equal(await statusOf(cluster, 'req-limit', { legs: 25 }), 422, 'the limit is 24 CPUs');
  assert.equal(await statusOf(cluster, 'req-many', { legs: 100_000 }), 422);
  assert.equal(await statusOf(cluster, 'req-large', { vcpus: 1000 }), 422);
});

test('a gang of one task runs like any other gang', async () => {
  const cluster = await startCluster();
  const one = cluster.submissionBody('req-one', { ...GANG, tasks: 1 });
  assert.equal((await cluster.sendUserRequest(0, 'POST', '/v2/runs', one)).status, 201);
  assert.equal(await stateAfter(cluster, 'req-one', 20), 'done');
  assert.deepEqual(cluster.violations, []);
});

test('a gang with an estimate of 0 or with a deadline runs and completes', async () => {
  const cluster = await startCluster();
  assert.equal(await statusOf(cluster, 'req-zero', { passageS: 0 }), 201);
  assert.equal(await statusOf(cluster, 'req-due', { tideS: 30 }), 201);
  assert.equal(await stateAfter(cluster, 'req-zero', 25), 'done');
  assert.equal(await stateAfter(cluster, 'req-due', 0), 'done');
  assert.deepEqual(cluster.violations, []);
});

test('a gang that must be spread, or spread and in one zone, is accepted, keeps its status and violates no invariant', async () => {
  const cluster = await startCluster();
  const spread = cluster.submissionBody('req-spread', { ...GANG, spread: true });
  assert.equal((await cluster.sendUserRequest(0, 'POST', '/v2/runs', spread)).status, 201);
  const both = cluster.submissionBody('req-both', { ...GANG, spread: true, oneZone: true });
  assert.equal((await cluster.sendUserRequest(0, 'POST', '/v2/runs', both)).status, 201);
  await cluster.step(30_000);
  for (const id of ['req-spread', 'req-both']) {
    assert.equal((await cluster.sendUserRequest(2, 'GET', `/v2/runs/${id}`)).status, 200);
    const ended = (await cluster.sendUserRequest(2, 'POST', `/v2/runs/${id}/abort`)).body['status'];
    assert.ok(ended === 'cancelled' || ended === 'done', `${id}: ${String(ended)}`);
  }
  await cluster.step(SMALL_CLUSTER.cancelS * 1000);
  assert.deepEqual(cluster.violations, []);
});

const settingsWith = (next: string): ReturnType<typeof parseSettings> =>
  parseSettings(`${settingsText(0)}\n[facts.state.next]\n${next}\n`, 'a.toml');

test('upcoming limits may be given in part; values above the current limits change nothing', () => {
  const today = parseSettings(settingsText(0), 'a.toml');
  const partial = settingsWith('value_kb = 1');
  assert.equal(partial.maxValueBytes, 1024);
  assert.equal(partial.maxTransactionOps, today.maxTransactionOps);
  assert.equal(partial.nextStoreRps, today.storeRps);
  const above = settingsWith('value_kb = 999\ntxn_ops = 999\nrps = 9999\nwrite_rps = 9999');
  assert.equal(above.maxValueBytes, today.maxValueBytes);
  assert.equal(above.maxTransactionOps, today.maxTransactionOps);
  assert.equal(above.nextStoreRps, today.storeRps);
  assert.equal(above.nextStoreWriteRps, today.storeWriteRps);
});

test('upcoming limits that are not positive numbers are refused with the field’s name', () => {
  for (const [next, field] of [
    ['value_kb = 0', 'value_kb'],
    ['txn_ops = 0', 'txn_ops'],
    ['rps = "many"', 'rps'],
    ['write_rps = -1', 'write_rps'],
  ] as const)
    assert.throws(() => settingsWith(next), new RegExp(`facts\\.state\\.next\\.${field}: expected`), next);
});
