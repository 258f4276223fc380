/**
 * Users' requests that meet another trouble, or each other. Each test brings its meeting about by an event (a
 * transaction is applied, a cancellation is confirmed, a task ends) and is judged by the rules alone.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import { View } from '../src/state/view.js';
import type { Revision, StateKey, SteadyMs } from '../src/units.js';
import type { TxnBody } from './standins/state.js';
import { Users, type Told } from './standins/users.js';
import { World } from './standins/world.js';

const NODES = [0, 1, 2];

async function startWorld(...zones: string[]): Promise<{ world: World; users: Users }> {
  const world = new World();
  for (const zone of zones) world.addWorker('large', zone);
  await world.start();
  return { world, users: new Users(world) };
}

const changes = (body: TxnBody): NonNullable<TxnBody['apply']> => body.apply ?? [];
const puts = (body: TxnBody, prefix: string): boolean => changes(body).some((c) => c.put?.startsWith(prefix));

const isCreation = (body: TxnBody): boolean =>
  puts(body, 'c/live/') && body.when.some((c) => c.path.startsWith('over/'));
const isEnd = (body: TxnBody): boolean => changes(body).some((c) => c.put?.startsWith('over/'));
const isCancellation = (body: TxnBody): boolean => isEnd(body) && JSON.stringify(body).includes('cancelled');

/** Everybody asks about every job until it is over for all, or the time is up. */
async function askUntilOver(
  world: World,
  users: Users,
  ids: readonly string[],
  seconds: number,
): Promise<void> {
  for (let second = 0; second < seconds; second += 1) {
    const open = ids.filter((id) => users.finalOf(id) === null);
    if (open.length === 0) break;
    for (const id of open) void users.poll(second % NODES.length, id);
    await world.step(1000);
  }
  // Every node says the same of every job.
  for (const id of ids) {
    users.lookClosely(id, [0]);
    await world.step(300);
  }
  await world.step(3000);
}

/** An answer, the clock moving on until it has come. */
async function answered(world: World, answer: Promise<Told>): Promise<Told> {
  let told: Told | null = null;
  void answer.then((a) => (told = a));
  for (let i = 0; i < 800 && told === null; i += 1) await world.step(10);
  return told ?? { status: 0, state: '' };
}

const assertClean = (world: World): void =>
  assert.deepEqual(world.broken, [], `rules broken:\n${world.lines.slice(-60).join('\n')}`);

/** Starts of a cancelled job's tasks after its user was told so. */
function startsAfterCancellation(world: World, users: Users): string[] {
  return [...world.jobs.keys()].flatMap((id) => {
    const at = users.cancelledAt(id);
    if (at === null) return [];
    const stamp = (at - 1_000_000) / 1000;
    return world.lines.filter((l) => Number(l.slice(0, 6)) > stamp + 1.5 && l.includes(` runs ${id}/`));
  });
}

const key = (text: string): StateKey => text as StateKey;
const revision = (n: number): Revision => n as Revision;
const at = (ms: number): SteadyMs => ms as SteadyMs;

test('a write or a read that is answered late brings nothing back that the watch has shown to be gone', () => {
  const view = new View(() => undefined);
  const job = key('c/live/req-1');
  view.load([{ key: job, value: 'accepted', version: revision(3) }], revision(3), at(0));
  // The watch shows a write of ours, and that the job is over; the write is answered only then.
  view.follow(
    [
      { key: job, value: 'progress', version: revision(4) },
      { key: job, value: undefined, version: revision(5) },
    ],
    revision(5),
    at(10),
  );
  view.learn(job, 'progress', revision(4));
  assert.equal(view.get(job), undefined);
  view.learn(job, 'accepted', revision(3));
  assert.equal(view.get(job), undefined);
  // What the watch has not reached yet is news.
  view.learn(key('c/live/req-2'), 'accepted', revision(6));
  assert.equal(view.version(key('c/live/req-2')), 6);
});

test('progress is written at once and answered late while another controller cancels the job', async () => {
  for (const delay of [50, 200, 600, 1200]) {
    const { world, users } = await startWorld('east', 'west', 'east');
    await world.step(500);
    let cancelled = false;
    world.state.answerDelay = (_, call) =>
      JSON.stringify(call.body ?? '').includes('"done":[[') ? delay : 0;
    // Progress has been written, and its writer does not know it yet: a user cancels elsewhere.
    world.state.applied = (body) => {
      if (cancelled || !puts(body, 'c/live/') || isCreation(body)) return;
      cancelled = true;
      world.clock.after(5, () => void users.abort(1, 'req-1'));
    };
    void users.submit(0, 'req-1', { tasks: 8, cpus: 4, runMs: 3000, zone: 'east' });
    await world.step(12_000);
    assert.ok(cancelled, 'progress was written');
    await askUntilOver(world, users, ['req-1'], 5);
    await world.step(40_000);
    assertClean(world);
    assert.deepEqual(startsAfterCancellation(world, users), []);
    assert.equal(users.finalOf('req-1'), 'cancelled');
  }
});

test('a cancellation that reads the record while the last task ends does not cancel what is done', async () => {
  // The read is answered 800 ms late; the end is walked over it.
  for (let runMs = 1000; runMs <= 4600; runMs += 150) {
    const { world, users } = await startWorld('east', 'west', 'east');
    await world.step(500);
    await answered(world, users.submit(0, 'req-1', { runMs, zone: 'east' }));
    // The first try is lost on its way, so that the second one reads the record first.
    let tries = 0;
    world.state.fate = (node, body) => {
      if (node !== 'n1' || !isCancellation(body)) return 'normal';
      tries += 1;
      return tries === 1 ? { holdMs: 1e9 } : 'normal';
    };
    world.state.answerDelay = (node, call) => (node === 'n1' && call.path.startsWith('/kv/c/live') ? 800 : 0);
    void users.abort(1, 'req-1');
    for (let i = 0; i < 60; i += 1) {
      for (const node of NODES) void users.poll(node, 'req-1');
      await world.step(100);
    }
    await askUntilOver(world, users, ['req-1'], 5);
    assertClean(world);
    assert.notEqual(users.finalOf('req-1'), null);
  }
});
