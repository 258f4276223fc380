/** Who stops whom: rounds of one part, with what they decided, as text. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Rounds } from './standins/rounds.js';

test('guaranteed best-effort work and standard work above its guarantee do not stop each other', () => {
  const w = new Rounds();
  w.job('req-big', { tasks: 6, team: 'red', priority: 2 });
  w.job('req-low', { tasks: 2, team: 'blue', priority: 3 });
  const rounds = Array.from({ length: 8 }, () => w.round());
  const stops = rounds.join('; ').match(/stop/g)?.length ?? 0;
  assert.equal(stops, 0, rounds.join('\n'));
});

test('a team gets its guarantee back from work that borrows, once, and never from guaranteed work', () => {
  const w = new Rounds();
  w.job('req-big', { tasks: 4, team: 'red' });
  assert.equal(w.round().match(/start/g)?.length, 4);
  w.job('req-mine', { tasks: 2, team: 'blue' });
  const rounds = Array.from({ length: 6 }, () => w.round());
  assert.equal(rounds.join('; ').match(/stop req-big/g)?.length, 2, rounds.join('\n'));
  assert.equal(rounds.join('; ').match(/start req-mine/g)?.length, 2);
  w.job('req-later', { tasks: 1, team: 'red' });
  assert.equal(Array.from({ length: 4 }, () => w.round()).join(''), 'nothing'.repeat(4));
});

test('a replica gets room where its image is, not where it would wait for a fetch', () => {
  const w = new Rounds(2);
  w.holds('m-0', 'web');
  w.job('req-batch', { tasks: 4, image: 'b', priority: 3 });
  w.holds('m-0', 'b');
  assert.match(w.round(), /^start req-batch\/0 on m-0; .*on m-0; .*on m-0; .*on m-0$/);
  w.job('req-web', { kind: 'service', priority: 0, image: 'web', team: 'blue' });
  assert.equal(w.round(), 'stop req-batch/0');
  assert.match(w.round(), /start req-web\/0 on m-0/);
});

test('under lasting overload the largest jobs of every priority begin within four minutes', () => {
  const w = new Rounds(2);
  w.job('req-large', { tasks: 80, deadlineS: 90 });
  w.job('req-sweep', { tasks: 60, priority: 3 });
  const begun = new Map<string, number>();
  for (let round = 0; round < 130; round += 1) {
    // Twice as much small work as there is room for, all of it in time.
    for (let i = 0; i < 4; i += 1) w.job(`req-small-${round}-${i}`, { tasks: 2, cpus: 2, deadlineS: 600 });
    w.finish(8000);
    const said = w.round();
    for (const id of ['req-large', 'req-sweep'])
      if (said.includes(`start ${id}/`) && !begun.has(id)) begun.set(id, round * 2);
  }
  const text = [...begun].map(([id, s]) => `${id} after ${s} s`).join(', ');
  assert.deepEqual([...begun.keys()].sort(), ['req-large', 'req-sweep'], text);
  for (const s of begun.values()) assert.ok(s < 240, text);
});

test('room is made at the expense of jobs that keep no deadline, though they lose more work', () => {
  const w = new Rounds(2);
  w.job('req-late', { tasks: 4, team: 'red', deadlineS: 1, estimateS: 60 });
  w.round();
  w.job('req-kept', { tasks: 4, team: 'red', deadlineS: 600, estimateS: 60 });
  w.round();
  w.job('req-web', { kind: 'service', priority: 0, image: 'web', team: 'blue' });
  assert.equal(w.round(), 'stop req-late/0');
});
