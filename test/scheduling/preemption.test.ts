/** Preemption in scheduling cycles of one shard. Decisions are compared as text. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CycleRunner } from '../support/cycle-runner.js';

test('guaranteed best-effort work and standard work above its team’s guarantee do not preempt each other', () => {
  const runner = new CycleRunner();
  runner.addJob('req-big', { tasks: 6, team: 'red', priority: 2 });
  runner.addJob('req-low', { tasks: 2, team: 'blue', priority: 3 });
  const decisions = Array.from({ length: 8 }, () => runner.runCycle());
  const stops = decisions.join('; ').match(/stop/g)?.length ?? 0;
  assert.equal(stops, 0, decisions.join('\n'));
});

test('a team reclaims its guarantee from work above other teams’ guarantees, once, and never from guaranteed work', () => {
  const runner = new CycleRunner();
  runner.addJob('req-big', { tasks: 4, team: 'red' });
  assert.equal(runner.runCycle().match(/start/g)?.length, 4);
  runner.addJob('req-mine', { tasks: 2, team: 'blue' });
  const decisions = Array.from({ length: 6 }, () => runner.runCycle());
  assert.equal(decisions.join('; ').match(/stop req-big/g)?.length, 2, decisions.join('\n'));
  assert.equal(decisions.join('; ').match(/start req-mine/g)?.length, 2);
  runner.addJob('req-later', { tasks: 1, team: 'red' });
  assert.equal(Array.from({ length: 4 }, () => runner.runCycle()).join(''), 'nothing'.repeat(4));
});

test('a replica preempts where its image is cached, not where it would wait for a fetch', () => {
  const runner = new CycleRunner(2);
  runner.cacheImage('m-0', 'web');
  runner.addJob('req-batch', { tasks: 4, image: 'b', priority: 3 });
  runner.cacheImage('m-0', 'b');
  assert.match(runner.runCycle(), /^start req-batch\/0 on m-0; .*on m-0; .*on m-0; .*on m-0$/);
  runner.addJob('req-web', { kind: 'service', priority: 0, image: 'web', team: 'blue' });
  assert.equal(runner.runCycle(), 'stop req-batch/0');
  assert.match(runner.runCycle(), /start req-web\/0 on m-0/);
});

test('under sustained overload the largest jobs of each priority start within four minutes', () => {
  const runner = new CycleRunner(2);
  runner.addJob('req-large', { tasks: 80, deadlineS: 90 });
  runner.addJob('req-sweep', { tasks: 60, priority: 3 });
  const startTimesS = new Map<string, number>();
  for (let cycle = 0; cycle < 130; cycle += 1) {
    // Small jobs need twice the capacity, and all of them can meet their deadline.
    for (let i = 0; i < 4; i += 1)
      runner.addJob(`req-small-${cycle}-${i}`, { tasks: 2, cpus: 2, deadlineS: 600 });
    runner.finishTasksRunningFor(8000);
    const decisions = runner.runCycle();
    for (const id of ['req-large', 'req-sweep'])
      if (decisions.includes(`start ${id}/`) && !startTimesS.has(id)) startTimesS.set(id, cycle * 2);
  }
  const summary = [...startTimesS].map(([id, seconds]) => `${id} after ${seconds} s`).join(', ');
  assert.deepEqual([...startTimesS.keys()].sort(), ['req-large', 'req-sweep'], summary);
  for (const seconds of startTimesS.values()) assert.ok(seconds < 240, summary);
});

test('jobs that cannot meet their deadline are preempted first, though they lose more work', () => {
  const runner = new CycleRunner(2);
  runner.addJob('req-late', { tasks: 4, team: 'red', deadlineS: 1, estimateS: 60 });
  runner.runCycle();
  runner.addJob('req-kept', { tasks: 4, team: 'red', deadlineS: 600, estimateS: 60 });
  runner.runCycle();
  runner.addJob('req-web', { kind: 'service', priority: 0, image: 'web', team: 'blue' });
  assert.equal(runner.runCycle(), 'stop req-late/0');
});
