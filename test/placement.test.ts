/** Who stops whom: rounds of one part, with what they decided, as text. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MachineType } from '../src/cloud/wire.js';
import type { JobRecord } from '../src/jobs/record.js';
import type { JobSpec } from '../src/jobs/spec.js';
import { bind, newMachine, Part, syncJob, unbind, type Binding } from '../src/parts/model.js';
import { planRound } from '../src/placement/plan.js';
import type { PlanContext } from '../src/placement/round.js';
import { Guarantees } from '../src/quota/guarantee.js';
import { RangeSet } from '../src/ranges.js';
import type { TeamId } from '../src/units.js';
import { plainSpec } from './standins/spec.js';

const TEAMS = new Map(
  ['red', 'blue'].map((name) => [
    name as TeamId,
    { name: name as TeamId, cpus: 4, cpusMax: 100, gpus: 0, gpusMax: 0 },
  ]),
);
const TYPES = new Map([
  ['t', { name: 't', cpus: 8, gpus: 0, memoryGb: 64, fetchGbPerS: 0.1 } as unknown as MachineType],
]);

class Rounds {
  readonly part = new Part(0 as never, 7 as never, 1 as never, 0 as never, TYPES as never);
  private now = 1_000_000;
  private readonly live = new Map<string, JobRecord>();
  private readonly guarantees = new Guarantees(TEAMS);

  constructor(machines = 1) {
    this.part.accounted = true;
    for (let i = 0; i < machines; i += 1) {
      const m = newMachine(
        `m-${i}` as never,
        '10.0.0.1:1' as never,
        't' as never,
        'east' as never,
        false,
        0 as never,
        true,
      );
      this.part.add(m);
    }
  }

  job(id: string, o: Partial<Record<keyof JobSpec, unknown>>): void {
    const spec = plainSpec({ id, ...o });
    const record = {
      spec,
      home: 0,
      born: this.live.size,
      done: RangeSet.empty(),
      assignments: [{ from: 0, to: spec.tasks, part: 0, zone: null }],
    } as unknown as JobRecord;
    this.live.set(id, record);
    this.guarantees.learn(id as never, record);
    syncJob(this.part, record, (this.live.size + 1) as never, this.now as never, false);
  }

  holds(machine: string, image: string): void {
    const m = this.part.machines.get(machine as never);
    if (m) this.part.sawImage(m, image as never, 1);
  }

  /** Tasks that have run this long are done. */
  finish(afterMs: number): void {
    for (const b of [...this.part.bound.values()]) {
      const machine = this.part.machines.get(b.machine);
      if (this.now - b.boundAt < afterMs || !machine) continue;
      this.part.jobs.get(b.job)?.finished.add(b.index);
      unbind(this.part, machine, b);
    }
  }

  /** One round, all of it carried out at once, two seconds later than the one before. */
  round(): string {
    this.now += 2000;
    for (const m of this.part.machines.values()) m.lastHeard = this.now as never;
    const ctx = {
      now: this.now,
      types: TYPES,
      teams: TEAMS,
      share: () => ({ cpus: 100, gpus: 0 }),
      usedElsewhere: () => 0,
      guaranteed: (j: string) => this.guarantees.has(j as never),
      latest: () => 1,
      peerHasRoom: () => false,
      correction: () => 1,
      reportMs: 1500,
    } as unknown as PlanContext;
    const plan = planRound(this.part, ctx);
    const said: string[] = [];
    for (const s of plan.starts) {
      said.push(`start ${s.job.id}/${s.index} on ${s.machine.id}`);
      const b = {
        id: `${s.job.id}/${s.index}`,
        job: s.job.id,
        index: s.index,
        attempt: this.part.nextAttempt(),
        machine: s.machine.id,
        spec: s.job.spec,
        phase: 'running',
        boundAt: this.now,
        runningSince: this.now,
        stop: null,
        inFlight: false,
        due: false,
        doubt: null,
        answered: null,
      } as unknown as Binding;
      bind(this.part, s.machine, b);
    }
    for (const { binding } of plan.stops) {
      said.push(`stop ${binding.id}`);
      const machine = this.part.machines.get(binding.machine);
      if (machine) unbind(this.part, machine, binding);
    }
    for (const h of plan.holds)
      h.job.holds.set(h.index, {
        machine: h.machine,
        until: (this.now + 6000) as never,
        reserved: h.reserved,
      });
    for (const u of plan.unplaced) u.job.waitingSince ??= this.now as never;
    return said.join('; ') || 'nothing';
  }
}

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
  w.job('req-web', { shape: 'service', priority: 0, image: 'web', team: 'blue' });
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
  w.job('req-web', { shape: 'service', priority: 0, image: 'web', team: 'blue' });
  assert.equal(w.round(), 'stop req-late/0');
});
