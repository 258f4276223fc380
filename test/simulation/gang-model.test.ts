/** The simulator's gangs follow the protocol, and the invariant checker reports gangs that violate it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventQueue, Host } from '../../src/simulation/clock.js';
import { GangRegistry } from '../../src/simulation/gangs.js';
import { JobStorage, type UserJob } from '../../src/simulation/user-jobs.js';
import { InvariantChecker, type Rule } from '../../src/simulation/invariant-checker.js';
import type { Observer } from '../../src/simulation/observer.js';
import { RandomStream } from '../../src/simulation/random.js';
import { Trace } from '../../src/simulation/trace.js';
import { Worker } from '../../src/simulation/worker.js';
import { SAMPLE_USER_JOB } from '../support/user-job.js';

const START_TIMEOUT_MS = 20_000;
const PEER_TIMEOUT_MS = 5000;
const CHECKPOINT_S = 5;
const CHECKPOINT_DURATION_S = 2;
const JOB = SAMPLE_USER_JOB.id;

interface HeartbeatTask {
  readonly leg: string;
  readonly sailing: number;
  readonly status: string;
  readonly cause?: string;
  readonly saved?: boolean;
}

/** Workers without controllers: the test sends the commands. */
class WorkersFixture {
  readonly queue = new EventQueue();
  readonly storage = new JobStorage();
  readonly checker = new InvariantChecker(this.queue, {
    teams: [{ name: 'atlas', cpusMax: 100, gpusMax: 0 }],
    cancelS: 30,
    machines: () => [],
  });
  readonly workers = new Map<string, Worker>();
  gangStarts = 0;
  private readonly trace = new Trace(this.queue, true);
  private readonly gangs: GangRegistry;

  constructor(job: Partial<UserJob> = {}, machines = 4) {
    const observer: Observer = {
      taskStarted: (machine, task) => this.checker.taskStarted(machine, task),
      taskEnded: (machine, task, done) => this.checker.taskEnded(machine, task, done),
      gangStarted: (id) => {
        this.gangStarts += 1;
        this.checker.gangStarted(id);
      },
      gangRejoined: (id, task) => this.checker.gangRejoined(id, task),
      jobSubmitted: () => undefined,
      cancelRequested: () => undefined,
      responseReceived: () => undefined,
    };
    const { queue, storage, trace } = this;
    const random = new RandomStream(7);
    const times = { startTimeoutMs: START_TIMEOUT_MS, peerTimeoutMs: PEER_TIMEOUT_MS };
    this.gangs = new GangRegistry({ queue, random, storage, trace, observer, times });
    for (let i = 0; i < machines; i += 1)
      this.addWorker(`m-${i}`, i === machines - 1 ? 'ridge' : 'fjord', observer);
    const userJob = { ...GANG, ...job };
    storage.jobs.set(JOB, userJob);
    this.checker.jobSubmitted(userJob);
  }

  private addWorker(id: string, zone: string, observer: Observer): void {
    const spec = { id, type: 'birch', zone, spot: false, cpus: 8, gpus: 0, memoryGb: 32 };
    const host = new Host(id, zone, this.queue);
    const worker = new Worker(
      spec,
      host,
      `${id}:9000`,
      { gbPerS: 1000, cacheGb: 60 },
      {
        queue: this.queue,
        random: new RandomStream(3),
        trace: this.trace,
        observer,
        storage: this.storage,
        gangs: this.gangs,
        controllers: ['n0'],
        times: { heartbeatIntervalMs: 1000, leaseMs: 10_000 },
        defects: new Set(),
        // Every heartbeat is answered, without commands.
        sendHeartbeat: () => Promise.resolve({ status: 200, body: { helm: 1, orders: [] } }),
      },
    );
    this.workers.set(id, worker);
  }

  sendCommand(machine: string, command: 'launch' | 'kill', task: number, attempt: number, graceS = 0): void {
    const commands = [{ order: command, leg: `${JOB}/${task}`, sailing: attempt, ebbS: graceS }];
    const body = { helm: 1, watch: 1, orders: commands };
    const answer = this.workers.get(machine)?.serve({ method: 'POST', path: '/orders', body } as never);
    assert.equal(answer?.status, 200);
  }

  /** Launches task 0 on machine 0, task 1 on machine 1, and so on. */
  launchAll(attempt: number, tasks = GANG.tasks): void {
    for (let i = 0; i < tasks; i += 1) this.sendCommand(`m-${i}`, 'launch', i, attempt);
  }

  async runTo(seconds: number): Promise<void> {
    await this.queue.run(seconds * 1000);
  }

  heartbeatTasks(machine: string): readonly HeartbeatTask[] {
    return (this.workers.get(machine)?.buildHeartbeat() as { legs: readonly HeartbeatTask[] }).legs;
  }

  /** Status, or exit cause, of each task as its machine reports it. */
  taskStates(tasks = GANG.tasks): string[] {
    return Array.from({ length: tasks }, (_, i) => {
      const task = this.heartbeatTasks(`m-${i}`).find((t) => t.leg === `${JOB}/${i}`);
      return task?.cause ?? task?.status ?? 'none';
    });
  }

  progressS(): number {
    return (this.storage.checkpoints.get(JOB) ?? 0) / 1000;
  }

  violatedRules(): Rule[] {
    return this.checker.violations.map((v) => v.rule);
  }
}

const GANG: UserJob = {
  ...SAMPLE_USER_JOB,
  class: 'gang',
  shape: 'gang',
  priority: 'urgent',
  tasks: 3,
  imageGb: 0.1,
  estimateS: 30,
  checkpointIntervalS: CHECKPOINT_S,
  checkpointDurationS: CHECKPOINT_DURATION_S,
  runS: 30,
};

test('tasks wait for each other, start together once the last one joins, and complete together', async () => {
  const fixture = new WorkersFixture();
  fixture.launchAll(1, 2);
  await fixture.runTo(8);
  assert.deepEqual(fixture.taskStates(), ['gathering', 'gathering', 'none']);
  fixture.sendCommand('m-2', 'launch', 2, 1);
  await fixture.runTo(10);
  assert.deepEqual(fixture.taskStates(), ['running', 'running', 'running']);
  await fixture.runTo(37);
  assert.deepEqual(fixture.taskStates(), ['running', 'running', 'running']);
  await fixture.runTo(39);
  assert.deepEqual(fixture.taskStates(), ['done', 'done', 'done']);
  assert.equal(fixture.gangStarts, 1);
});

test('a gang runs at the speed of its slowest machine', async () => {
  const fixture = new WorkersFixture();
  const slow = fixture.workers.get('m-1');
  assert.ok(slow);
  slow.tasks.slowness = 2;
  fixture.launchAll(1);
  await fixture.runTo(50);
  assert.deepEqual(fixture.taskStates(), ['running', 'running', 'running']);
  await fixture.runTo(61);
  assert.deepEqual(fixture.taskStates(), ['done', 'done', 'done']);
});

test('tasks of a gang that stays incomplete exit, each after its own start timeout', async () => {
  const fixture = new WorkersFixture();
  fixture.sendCommand('m-0', 'launch', 0, 1);
  await fixture.runTo(5);
  fixture.sendCommand('m-1', 'launch', 1, 1);
  await fixture.runTo(21);
  assert.deepEqual(fixture.taskStates(), ['alone', 'gathering', 'none']);
  await fixture.runTo(26);
  assert.deepEqual(fixture.taskStates(), ['alone', 'alone', 'none']);
});

test('before the start a lost task can be replaced in the same attempt', async () => {
  const fixture = new WorkersFixture();
  fixture.launchAll(1, 2);
  await fixture.runTo(3);
  fixture.workers.get('m-1')?.destroy();
  await fixture.runTo(6);
  assert.equal(fixture.taskStates()[0], 'gathering');
  fixture.sendCommand('m-2', 'launch', 2, 1);
  fixture.sendCommand('m-3', 'launch', 1, 1);
  await fixture.runTo(8);
  assert.equal(fixture.gangStarts, 1);
  assert.deepEqual(fixture.violatedRules(), []);
});

test('a gathering task that is told to stop exits at once, and the others continue to wait', async () => {
  const fixture = new WorkersFixture();
  fixture.launchAll(1, 2);
  await fixture.runTo(3);
  fixture.sendCommand('m-1', 'kill', 1, 1, 30);
  assert.deepEqual(fixture.taskStates(), ['gathering', 'halted', 'none']);
});

test('a running gang that loses a task ends within the peer timeout and keeps its last checkpoint', async () => {
  const fixture = new WorkersFixture();
  fixture.launchAll(1);
  await fixture.runTo(13);
  fixture.workers.get('m-2')?.destroy();
  await fixture.runTo(13.4);
  assert.equal(fixture.taskStates()[0], 'running', 'it runs until it detects the loss');
  await fixture.runTo(18.2);
  assert.deepEqual(fixture.taskStates().slice(0, 2), ['peers', 'peers']);
  assert.equal(fixture.progressS(), 10);
});

test('a long hang of a machine ends its gang, including its own task; a short hang only delays the gang', async () => {
  const long = new WorkersFixture();
  long.launchAll(1);
  await long.runTo(8);
  long.workers.get('m-1')?.hang(7000);
  await long.runTo(13.2);
  assert.deepEqual([long.taskStates()[0], long.taskStates()[2]], ['peers', 'peers']);
  await long.runTo(20.5);
  assert.equal(long.taskStates()[1], 'peers');
  const short = new WorkersFixture();
  short.launchAll(1);
  await short.runTo(8);
  short.workers.get('m-1')?.hang(300);
  await short.runTo(30.2);
  assert.deepEqual(short.taskStates(), ['running', 'running', 'running']);
  await short.runTo(31);
  assert.deepEqual(short.taskStates(), ['done', 'done', 'done']);
});

test('an orderly stop that reaches all tasks in time saves progress, and the next attempt resumes from it', async () => {
  const fixture = new WorkersFixture();
  fixture.launchAll(1);
  await fixture.runTo(9);
  for (const i of [0, 1, 2]) {
    fixture.sendCommand(`m-${i}`, 'kill', i, 1, CHECKPOINT_DURATION_S);
    await fixture.runTo(9 + i + 1);
  }
  assert.deepEqual(
    fixture.taskStates(),
    ['saving', 'saving', 'saving'],
    'the first task waits for the others',
  );
  await fixture.runTo(13.5);
  assert.deepEqual(fixture.taskStates(), ['halted', 'halted', 'halted']);
  assert.ok(fixture.heartbeatTasks('m-0').every((t) => t.saved));
  assert.ok(
    fixture.progressS() > 8.5 && fixture.progressS() < 9.1,
    `progress ends with the first stop command: ${fixture.progressS()}`,
  );
  fixture.launchAll(2);
  await fixture.runTo(33);
  assert.deepEqual(
    [0, 1, 2].map((i) => fixture.heartbeatTasks(`m-${i}`).find((t) => t.sailing === 2)?.status),
    ['running', 'running', 'running'],
  );
  await fixture.runTo(35.5);
  assert.ok([0, 1, 2].every((i) => fixture.heartbeatTasks(`m-${i}`).some((t) => t.cause === 'done')));
});

test('a stop that reaches a task too late, or has too short a grace period, falls back to the last checkpoint', async () => {
  const lateStop = new WorkersFixture();
  lateStop.launchAll(1);
  await lateStop.runTo(9);
  lateStop.sendCommand('m-0', 'kill', 0, 1, CHECKPOINT_DURATION_S);
  lateStop.sendCommand('m-1', 'kill', 1, 1, CHECKPOINT_DURATION_S);
  await lateStop.runTo(13.8);
  assert.deepEqual(lateStop.taskStates(), ['saving', 'saving', 'running']);
  await lateStop.runTo(19.2);
  assert.equal(lateStop.taskStates()[2], 'peers');
  assert.ok([0, 1, 2].every((i) => lateStop.heartbeatTasks(`m-${i}`).every((t) => t.saved !== true)));
  assert.equal(lateStop.progressS(), 5);
  const shortGrace = new WorkersFixture();
  shortGrace.launchAll(1);
  await shortGrace.runTo(9);
  shortGrace.sendCommand('m-0', 'kill', 0, 1, CHECKPOINT_DURATION_S / 2);
  assert.equal(shortGrace.taskStates()[0], 'halted');
  await shortGrace.runTo(14.2);
  assert.deepEqual(shortGrace.taskStates(), ['halted', 'peers', 'peers']);
  assert.equal(shortGrace.progressS(), 5);
});

test('a gang task whose result is already stored exits as done as soon as its image is fetched', async () => {
  const fixture = new WorkersFixture({ runS: 4 });
  fixture.launchAll(1);
  await fixture.runTo(6);
  assert.deepEqual(fixture.taskStates(), ['done', 'done', 'done']);
  fixture.sendCommand('m-3', 'launch', 1, 9);
  await fixture.runTo(7);
  assert.equal(fixture.heartbeatTasks('m-3')[0]?.cause, 'done');
  assert.deepEqual(fixture.violatedRules(), []);
});

test('the invariant checker reports a gang that is restarted while a task of the old attempt runs', async () => {
  const fixture = new WorkersFixture();
  fixture.launchAll(1);
  await fixture.runTo(9);
  fixture.workers.get('m-2')?.destroy();
  await fixture.runTo(9.2);
  fixture.sendCommand('m-3', 'launch', 0, 2);
  await fixture.runTo(9.4);
  assert.deepEqual(fixture.violatedRules(), ['ran_twice']);
});

test('the invariant checker reports a second zone of a single-zone gang, also among tasks of two attempts', async () => {
  const fixture = new WorkersFixture({ sameZone: true });
  fixture.launchAll(1);
  await fixture.runTo(9);
  fixture.workers.get('m-0')?.destroy();
  await fixture.runTo(9.2);
  // m-3 is in another zone than the tasks of the old attempt, which have not yet detected the loss.
  fixture.sendCommand('m-3', 'launch', 0, 2);
  await fixture.runTo(9.4);
  assert.deepEqual(fixture.violatedRules(), ['wrong_place']);
});

test('the invariant checker reports the replacement of a lost task in a running gang', async () => {
  const fixture = new WorkersFixture();
  fixture.launchAll(1);
  await fixture.runTo(9);
  fixture.workers.get('m-2')?.destroy();
  fixture.sendCommand('m-3', 'launch', 2, 1);
  await fixture.runTo(9.4);
  assert.deepEqual(fixture.violatedRules(), ['gang_rejoined']);
  await fixture.runTo(30);
  assert.equal(fixture.heartbeatTasks('m-3')[0]?.cause, 'alone');
});
