/** Odd submissions of gangs, and odd limits to come: answered in the protocol's words, or refused with the field's name. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseSettings } from '../src/settings/settings.js';
import { SMALL, settingsText, World, type JobOptions } from './standins/world.js';

const GANG: JobOptions = { gang: true, tasks: 2, cpus: 1, runMs: 4000 };

async function world(): Promise<World> {
  const w = new World();
  for (let i = 0; i < 6; i += 1) w.addWorker('small', i % 2 === 0 ? 'east' : 'west');
  await w.start();
  return w;
}

/** Status of a submission with some fields changed. */
async function statusOf(w: World, id: string, changes: Record<string, unknown>): Promise<number> {
  const body = { ...w.submission(id, GANG), ...changes };
  return (await w.ask(0, 'POST', '/v2/runs', body)).status;
}

async function stateAfter(w: World, id: string, seconds: number): Promise<unknown> {
  await w.step(seconds * 1000);
  return (await w.ask(1, 'GET', `/v2/runs/${id}`)).body['status'];
}

test('a gang with no task, too many, or half a task is malformed; the job then is not known', async () => {
  const w = await world();
  for (const legs of [0, -1, 1.5, 100_001, '2', null]) {
    assert.equal(await statusOf(w, 'req-bad', { legs }), 400, `legs ${legs}`);
    assert.equal((await w.ask(1, 'GET', '/v2/runs/req-bad')).status, 404);
  }
  assert.equal(await statusOf(w, 'req-bad', { shape: 'gangs' }), 400);
});

test('a gang that can never run whole is refused, though each of its tasks could run', async () => {
  const w = await world();
  assert.equal(await statusOf(w, 'req-limit', { legs: 25 }), 422, 'the limit is 24 CPUs');
  assert.equal(await statusOf(w, 'req-many', { legs: 100_000 }), 422);
  assert.equal(await statusOf(w, 'req-large', { vcpus: 1000 }), 422);
});

test('a gang of one task runs like any other', async () => {
  const w = await world();
  const one = w.submission('req-one', { ...GANG, tasks: 1 });
  assert.equal((await w.ask(0, 'POST', '/v2/runs', one)).status, 201);
  assert.equal(await stateAfter(w, 'req-one', 20), 'done');
  assert.deepEqual(w.broken, []);
});

test('a gang with the fields of a service or of a deadline runs, and ends', async () => {
  const w = await world();
  assert.equal(await statusOf(w, 'req-zero', { passageS: 0 }), 201);
  assert.equal(await statusOf(w, 'req-due', { tideS: 30 }), 201);
  assert.equal(await stateAfter(w, 'req-zero', 25), 'done');
  assert.equal(await stateAfter(w, 'req-due', 0), 'done');
  assert.deepEqual(w.broken, []);
});

test('a gang that is to be spread, or spread and in one zone, is accepted, stays known and breaks no rule', async () => {
  const w = await world();
  const spread = w.submission('req-spread', { ...GANG, spread: true });
  assert.equal((await w.ask(0, 'POST', '/v2/runs', spread)).status, 201);
  const both = w.submission('req-both', { ...GANG, spread: true, samePlace: true });
  assert.equal((await w.ask(0, 'POST', '/v2/runs', both)).status, 201);
  await w.step(30_000);
  for (const id of ['req-spread', 'req-both']) {
    assert.equal((await w.ask(2, 'GET', `/v2/runs/${id}`)).status, 200);
    const ended = (await w.ask(2, 'POST', `/v2/runs/${id}/abort`)).body['status'];
    assert.ok(ended === 'cancelled' || ended === 'done', `${id}: ${String(ended)}`);
  }
  await w.step(SMALL.cancelS * 1000);
  assert.deepEqual(w.broken, []);
});

const settingsWith = (next: string): ReturnType<typeof parseSettings> =>
  parseSettings(`${settingsText(0)}\n[facts.state.next]\n${next}\n`, 'a.toml');

test('limits to come may be given in part; what is above today’s changes nothing', () => {
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

test('limits to come that are zero or no numbers are refused with the field’s name', () => {
  for (const [next, field] of [
    ['value_kb = 0', 'value_kb'],
    ['txn_ops = 0', 'txn_ops'],
    ['rps = "many"', 'rps'],
    ['write_rps = -1', 'write_rps'],
  ] as const)
    assert.throws(() => settingsWith(next), new RegExp(`facts\\.state\\.next\\.${field}: expected`), next);
});
