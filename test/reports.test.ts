/** What a worker's messages end, and what they must not end: small traces of one part and one machine. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { JobRecord } from '../src/jobs/record.js';
import type { JobSpec } from '../src/jobs/spec.js';
import { silentLog } from '../src/logging/log.js';
import {
  allocate,
  newMachine,
  Shard,
  syncJob,
  usageOf,
  type Allocation,
  type Machine,
} from '../src/shards/model.js';
import { requeueAccountedTasks } from '../src/shards/unaccounted-tasks.js';
import { mayRunOn } from '../src/model/constraints.js';
import { RangeSet } from '../src/model/ranges.js';
import { commandsInReply } from '../src/workers/commands.js';
import { reconcileHeartbeat } from '../src/workers/reconciliation.js';
import type { Heartbeat, TaskStatus } from '../src/workers/wire.js';

const spec = {
  id: 'req-1',
  team: 'red',
  kind: 'array',
  priority: 2,
  tasks: 2,
  cpus: 2,
  gpus: 0,
  memoryGb: 1,
  image: 'i',
  types: null,
  zone: null,
  spot: false,
} as unknown as JobSpec;
const record = {
  spec,
  homeShard: 0,
  acceptedRevision: 1,
  acceptedAt: null,
  assignments: [{ from: 0, to: 2, shard: 0, zone: null }],
  done: RangeSet.empty(),
} as unknown as JobRecord;

class Bench {
  readonly part = new Shard(
    0 as never,
    7 as never,
    1 as never,
    0 as never,
    new Map([['t', { cpus: 16, gpus: 0 }]]) as never,
  );
  readonly machine: Machine;
  private sequence = 0;

  constructor(atClaim = false) {
    this.machine = newMachine(
      'm-0' as never,
      '10.0.0.9:1' as never,
      't' as never,
      'east' as never,
      false,
      0 as never,
      !atClaim,
    );
    this.part.addMachine(this.machine);
    syncJob(this.part, record, 2 as never, 0 as never, atClaim);
    if (!atClaim) requeueAccountedTasks(this.part);
    // Tasks are only started on machines that have been heard.
    if (!atClaim) this.hear('report', '');
  }

  start(o: Partial<Allocation> = {}): Allocation {
    const b = {
      id: 'req-1/0',
      job: 'req-1',
      index: 0,
      attempt: 5,
      machine: 'm-0',
      spec,
      phase: 'ordered',
      allocatedAt: 0,
      runningSince: null,
      stop: null,
      launchInFlight: false,
      launchPending: false,
      unacknowledged: null,
      answeredSequence: null,
      ...o,
    } as unknown as Allocation;
    allocate(this.part, this.machine, b);
    return b;
  }

  /** Tasks as `index:attempt:state[:cause]`. */
  hear(
    channel: 'report' | 'direct',
    tasks: string,
    o: Partial<Record<keyof Heartbeat, number>> = {},
    machine = this.machine,
  ): string {
    this.sequence += 1;
    const legs = tasks
      .split(' ')
      .filter(Boolean)
      .map((t) => {
        const [index, attempt, state, cause] = t.split(':');
        return {
          job: 'req-1',
          index: Number(index),
          attempt: Number(attempt),
          state,
          cause: cause ?? null,
        } as unknown as TaskStatus;
      });
    const report = {
      machine: machine.id,
      address: machine.address,
      type: 't',
      zone: 'east',
      spot: false,
      agentEpoch: 1,
      sequence: this.sequence,
      fencingToken: 7,
      interruptionNoticeS: null,
      tasks: legs,
      ...o,
    } as unknown as Heartbeat;
    const ctx = {
      now: 1000 as never,
      endedJobSpec: () => null,
      onTaskDone: () => undefined,
      heartbeatTimeout: 1e9 as never,
      log: silentLog(),
    };
    const taken = reconcileHeartbeat(this.part, machine, report, channel, ctx);
    return `${taken ? 'taken' : 'older'}; ${this.state()}`;
  }

  state(): string {
    const job = this.part.jobs.get('req-1' as never);
    const bound = [...this.part.allocations.values()].map((b) => `${b.index}@${b.attempt}`).join(',');
    return `bound ${bound || '-'} waiting ${[...(job?.waiting ?? [])].join(',') || '-'}`;
  }

  orders(): string {
    return commandsInReply(this.part, this.machine)
      .map((o) => `${o.op} ${o.index}@${o.attempt}`)
      .join(', ');
  }
}

test('a report that was held back is older than what is known, and changes nothing', () => {
  const w = new Bench();
  w.start();
  assert.equal(w.hear('report', '0:5:running', { sequence: 9 }), 'taken; bound 0@5 waiting 1');
  assert.equal(w.hear('report', '', { sequence: 8 }), 'older; bound 0@5 waiting 1');
  assert.equal(w.hear('report', '', { agentEpoch: 2, sequence: 1 }), 'taken; bound - waiting 0,1');
  assert.equal(
    w.hear('report', '0:5:running', { agentEpoch: 1, sequence: 99 }),
    'older; bound - waiting 0,1',
  );
});

test('a launch in an answer is settled by the next report, not by a direct message in between', () => {
  const w = new Bench();
  w.start();
  assert.equal(w.orders(), 'start 0@5');
  assert.equal(w.hear('direct', ''), 'taken; bound 0@5 waiting 1');
  assert.equal(w.hear('report', ''), 'taken; bound - waiting 0,1');
});

test('a direct launch in doubt stays bound, and its exit is not cleared, until a higher token is seen', () => {
  const doubt = { fencingToken: 7, agentEpoch: 1, sentAt: 0 } as unknown as Allocation['unacknowledged'];
  const w = new Bench();
  w.start({ unacknowledged: doubt });
  assert.equal(w.hear('report', ''), 'taken; bound 0@5 waiting 1');
  assert.equal(w.hear('report', '0:5:exited:stopped'), 'taken; bound - waiting 0,1');
  assert.equal(w.orders(), '', 'a clear now, and the late launch would start it anew');
  assert.equal(w.hear('report', '0:5:exited:stopped', { fencingToken: 8 }), 'taken; bound - waiting 0,1');
  assert.equal(w.orders(), 'forget 0@5');
});

test('after a claim a task is frozen until every machine has reported under the new token', () => {
  const w = new Bench(true);
  assert.equal(w.state(), 'bound - waiting -');
  assert.equal(usageOf(w.part).unattributed.cpus, 16, 'a machine not heard from may be full of any team');
  assert.equal(w.hear('report', '', { fencingToken: 6 }), 'taken; bound - waiting -');
  assert.equal(requeueAccountedTasks(w.part), false, 'the owner before us may still command it');
  assert.equal(w.hear('direct', '1:4:running'), 'taken; bound 1@4 waiting -');
  assert.equal(requeueAccountedTasks(w.part), true);
  assert.equal(w.state(), 'bound 1@4 waiting 0');
  assert.equal(usageOf(w.part).unattributed.cpus, 0);
});

test('after a claim a task waits only for machines on which its job allows it', () => {
  const w = new Bench(true);
  const spot = newMachine(
    'm-1' as never,
    '10.0.0.8:1' as never,
    't' as never,
    'east' as never,
    true,
    0 as never,
    false,
  );
  w.part.addMachine(spot);
  assert.equal(requeueAccountedTasks(w.part), false);
  assert.equal(w.state(), 'bound - waiting -', 'it may be on the ordinary machine');
  assert.equal(w.hear('report', '1:4:running', { fencingToken: 7 }), 'taken; bound 1@4 waiting -');
  assert.equal(requeueAccountedTasks(w.part), false, 'the spot machine has not spoken');
  assert.equal(w.state(), 'bound 1@4 waiting 0', 'its job does not allow spot machines');
  assert.equal(
    w.hear('report', '', { fencingToken: 7 }),
    'taken; bound - waiting 0',
    'gone from there: frozen anew',
  );
  requeueAccountedTasks(w.part);
  assert.equal(w.state(), 'bound - waiting 0,1');
});

test('a late copy names a task that runs elsewhere: it waits until it is gone from there too', () => {
  const w = new Bench(true);
  const other = newMachine(
    'm-1' as never,
    '10.0.0.8:1' as never,
    't' as never,
    'east' as never,
    false,
    0 as never,
    false,
  );
  w.part.addMachine(other);
  assert.equal(w.hear('report', '0:3:running', { fencingToken: 6 }), 'taken; bound 0@3 waiting -');
  assert.equal(
    w.hear('report', '0:4:running 1:4:running', { fencingToken: 7 }, other),
    'taken; bound 0@3,1@4 waiting -',
  );
  // What the machine of the copy says itself: the task is not there, and has not been for long.
  w.hear('report', '', { fencingToken: 7 });
  requeueAccountedTasks(w.part);
  assert.equal(w.state(), 'bound 1@4,0@4 waiting -', 'it is on the other machine, told to stop');
  w.hear('report', '1:4:running', { fencingToken: 7 }, other);
  assert.equal(w.state(), 'bound 1@4 waiting 0');
});

test('a task that is not ours to run is stopped, and counts until it is gone', () => {
  const w = new Bench();
  w.start();
  assert.equal(w.hear('report', '0:5:running 1:3:running'), 'taken; bound 0@5,1@3 waiting -');
  const x = new Bench();
  x.part.jobs.delete('req-1' as never);
  assert.equal(x.hear('report', '0:3:running'), 'taken; bound 0@3 waiting -');
  assert.equal(x.orders(), 'stop 0@3');
  assert.equal(x.hear('report', '0:3:exited:stopped'), 'taken; bound - waiting -');
  assert.equal(x.orders(), 'forget 0@3');
});

test('where a task may start: kind, type, zone and pin each decide', () => {
  const may = (o: Partial<JobSpec>, type: string, zone: string, spot: boolean, pin: string | null): boolean =>
    mayRunOn(
      { ...spec, types: null, zone: null, spot: false, ...o },
      type as never,
      zone as never,
      spot,
      pin as never,
    );
  assert.equal(may({}, 't', 'east', false, null), true);
  assert.equal(may({}, 't', 'east', true, null), false);
  assert.equal(may({ spot: true }, 't', 'east', true, null), true);
  assert.equal(may({ types: ['u'] as never }, 't', 'east', false, null), false);
  assert.equal(may({ zone: 'west' as never }, 't', 'east', false, null), false);
  assert.equal(may({}, 't', 'east', false, 'west'), false);
  assert.equal(may({}, 't', 'east', false, 'east'), true);
});
