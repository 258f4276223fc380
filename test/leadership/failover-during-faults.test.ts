/**
 * Changes of leader that meet another trouble. Each meeting is brought about by events (a commit, a start, an order on
 * its way), over several phases, and judged by the rules of the protocol; the judge also looks at every start.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call, CallOutcome } from '../../src/http/client.js';
import type { JobRecord } from '../../src/jobs/record.js';
import { requeueAccountedTasks } from '../../src/shards/unaccounted-tasks.js';
import { Shard, syncJob } from '../../src/shards/model.js';
import { RangeSet } from '../../src/model/ranges.js';
import { buildJobSpec } from '../support/job-specs.js';
import type { FakeStore } from '../support/fake-store.js';
import type { FakeWorker } from '../support/fake-worker.js';
import { SMALL_CLUSTER, SimulatedCluster, type JobOptions } from '../support/simulated-cluster.js';

type Transaction = Parameters<FakeStore['applyTransaction']>[0];

const NODES = [0, 1, 2];
/** CPUs: more than all machines have. */
const UNLIMITED_CPUS = 300;

interface FailoverWrite {
  readonly shard: string;
  readonly node: number;
}

/** The claim of a part that a transaction makes, or null. */
function failoverIn(body: Transaction): FailoverWrite | null {
  for (const change of body.apply ?? []) {
    const leader = (change.data as { owner?: string | null } | undefined)?.owner;
    if (change.put?.startsWith('c/parts/') && leader) {
      return { shard: change.put.slice('c/parts/'.length), node: Number(leader.slice(1)) };
    }
  }
  return null;
}

/** A world that tells a test what happens in it at the moment when it happens. */
class FaultInjectionCluster extends SimulatedCluster {
  /** A transaction has just been applied. */
  onCommit: (body: Transaction) => void = () => undefined;
  /** A task has just started. */
  onStart: (machine: string, task: string) => void = () => undefined;
  /** A controller has just sent an order straight to a worker. */
  onDirectCall: (node: number, machine: string) => void = () => undefined;
  /** How late (ms) what the state service tells a watching controller arrives. */
  watchDelayMs: (node: string) => number = () => 0;

  private readonly confirmedCancellations = new Set<string>();

  constructor(cpusMax: number) {
    const teams = SMALL_CLUSTER.teams.map((team) => ({ ...team, cpusMax }));
    super({ ...SMALL_CLUSTER, teams, tuning: 'fleet.idle.return.ms = 300000' });
    this.reportCommits();
    this.delayWatches();
    this.commandDelayMs = (node, machine) => {
      this.onDirectCall(node, machine);
      return null;
    };
  }

  private reportCommits(): void {
    const apply = this.store.applyTransaction.bind(this.store);
    this.store.applyTransaction = (body) => {
      const outcome = apply(body);
      if (outcome.kind === 'answer' && outcome.status === 200) this.onCommit(body);
      return outcome;
    };
  }

  private delayWatches(): void {
    const call = this.store.call.bind(this.store);
    this.store.call = async (node: string, request: Call): Promise<CallOutcome> => {
      const outcome = await call(node, request);
      if (request.path.startsWith('/follow')) await this.clock.sleep(this.watchDelayMs(node));
      return outcome;
    };
  }

  override trace(line: string): void {
    super.trace(line);
    const started = /^(\S+) runs (\S+)$/.exec(line);
    if (!started) return;
    this.invariantChecker.checkOverdue();
    this.onStart(started[1] ?? '', started[2] ?? '');
  }

  worker(id: string): FakeWorker {
    const worker = this.workers.get(id);
    assert.ok(worker, `${id} is there`);
    return worker;
  }

  /** Machines on which a task of the job is now. */
  machinesRunning(job: string): string[] {
    const condition = (cluster: FakeWorker): boolean =>
      cluster.runningTasks().some((t) => t.taskId.startsWith(`${job}/`));
    return [...this.workers.values()].filter(condition).map((cluster) => cluster.id);
  }

  countRunningTasks(job: string): number {
    let count = 0;
    for (const cluster of this.workers.values())
      count += cluster.runningTasks().filter((t) => t.taskId.startsWith(`${job}/`)).length;
    return count;
  }

  /** The controller that owns a part, by the state service. */
  leaderOf(shard: number): number {
    const leader = (this.store.entries.get(`c/parts/${shard}`)?.data as { owner: string | null }).owner;
    return Number(leader?.slice(1) ?? -1);
  }

  /** Cuts machines off from controllers, both ways. */
  cutOff(machines: readonly string[], nodes: readonly number[] = NODES): void {
    for (const node of nodes) for (const machine of machines) this.networkCuts.add(`n${node}|${machine}`);
  }

  heal(machines: readonly string[]): void {
    for (const node of NODES) for (const machine of machines) this.networkCuts.delete(`n${node}|${machine}`);
  }

  /** A user cancels, and asks again every 300 ms, at the other controllers too, until it is confirmed. */
  cancel(job: string, at: number): void {
    void this.request(at, 'POST', `/v2/runs/${job}/abort`).then((answer) => {
      const state = (answer?.body as { status?: string } | undefined)?.status;
      if (answer?.status === 200 && state === 'cancelled') return this.isCancellationConfirmed(job, at);
      this.clock.after(300, () => this.cancel(job, (at + 1) % NODES.length));
    });
  }

  private isCancellationConfirmed(job: string, at: number): void {
    if (this.confirmedCancellations.has(job)) return;
    this.confirmedCancellations.add(job);
    this.trace(`user is told at n${at} that ${job} is cancelled`);
  }

  /** Runs `act` once, at the first claim of the part by another controller than its home. */
  onFailover(shard: number, act: (successor: number) => void): void {
    this.onLeaderWrite(shard, (node) => node !== shard, act);
  }

  /** Runs `act` once, at the first claim of the part by such a controller. */
  onLeaderWrite(shard: number, matches: (node: number) => boolean, act: (node: number) => void): void {
    const before = this.onCommit;
    let over = false;
    this.onCommit = (body) => {
      before(body);
      const failover = failoverIn(body);
      if (over || failover?.shard !== String(shard) || !matches(failover.node)) return;
      over = true;
      this.trace(`n${failover.node} has claimed part ${shard}`);
      act(failover.node);
    };
  }

  /** Lets time pass until it holds; fails after `limitMs`. */
  async until(what: string, condition: () => boolean, limitMs = 20_000): Promise<void> {
    for (let left = limitMs; left > 0 && !condition(); left -= 50) await this.step(50);
    assert.ok(condition(), `${what}, within ${limitMs} ms:\n${this.traceLines.join('\n')}`);
  }

  /** No rule was broken. */
  assertNoViolations(phase: string): void {
    this.invariantChecker.checkOverdue();
    assert.deepEqual(this.violations, [], `${phase}:\n${this.traceLines.join('\n')}`);
  }
}

/** Machines of 8 CPUs, named in turns for parts 0 and 2 (east) and for part 1 (west); all controllers run. */
async function startCluster(east: number, west: number, cpusMax = 24): Promise<FaultInjectionCluster> {
  const cluster = new FaultInjectionCluster(cpusMax);
  for (let i = 0; i < east; i += 1) cluster.addWorker('large', 'east');
  for (let i = 0; i < west; i += 1) cluster.addWorker('large', 'west');
  await cluster.start();
  await cluster.until('all machines are named', () => countRegisteredMachines(cluster) === east + west);
  await cluster.step(1500);
  return cluster;
}

const countRegisteredMachines = (cluster: SimulatedCluster): number =>
  [...cluster.store.entries.keys()].filter((key) => key.startsWith('c/machines/')).length;

const shardOfMachine = (cluster: SimulatedCluster, machine: string): number =>
  (cluster.store.entries.get(`c/machines/${machine}`)?.data as { part: number } | undefined)?.part ?? -1;

/** Both teams at their limits of 24 CPUs; as much again waits, with room for all of it on machines that are free. */
async function clusterWithTeamsAtQuota(): Promise<FaultInjectionCluster> {
  const cluster = await startCluster(8, 4);
  for (const team of ['red', 'blue'])
    await cluster.submit(0, `req-${team}`, { team, tasks: 12, runMs: 600_000 });
  await cluster.until(
    'both are at their limits',
    () => cluster.countRunningTasks('req-red') + cluster.countRunningTasks('req-blue') === 24,
  );
  for (const team of ['red', 'blue'])
    await cluster.submit(1, `req-next-${team}`, { team, tasks: 12, runMs: 600_000, image: 'another' });
  await cluster.step(1000);
  assert.equal(cluster.countRunningTasks('req-next-red'), 0);
  return cluster;
}

const machinesOfShard = (cluster: FaultInjectionCluster, shard: number, job: string): string[] =>
  cluster.machinesRunning(job).filter((machine) => shardOfMachine(cluster, machine) === shard);

type MachineFault = 'hang' | 'cut';

function injectFault(cluster: FaultInjectionCluster, fault: MachineFault, machines: readonly string[]): void {
  cluster.trace(`${machines.join(' ')}: ${fault}`);
  if (fault === 'cut') cluster.cutOff(machines);
  else for (const machine of machines) cluster.worker(machine).hanging = true;
}

function recover(cluster: FaultInjectionCluster, machines: readonly string[]): void {
  cluster.trace(`${machines.join(' ')} are back`);
  cluster.heal(machines);
  for (const machine of machines) if (cluster.workers.has(machine)) cluster.worker(machine).hanging = false;
}

/** Ends the leader of part 0, and says what ran of both teams' first jobs when its successor's claim committed. */
async function stopLeader(
  cluster: FaultInjectionCluster,
  afterFailover: () => void = () => undefined,
): Promise<number> {
  cluster.killNode(0);
  let running = 0;
  cluster.onFailover(0, () => {
    running = cluster.countRunningTasks('req-red') + cluster.countRunningTasks('req-blue');
    afterFailover();
  });
  await cluster.until('the part has a new leader', () => cluster.leaderOf(0) !== 0);
  return running;
}

const bothCancelled = (cluster: FaultInjectionCluster): boolean =>
  ['req-red', 'req-blue'].every((job) => cluster.invariantChecker.finalState(job) === 'cancelled');

const nextRunning = (cluster: FaultInjectionCluster): number =>
  cluster.countRunningTasks('req-next-red') + cluster.countRunningTasks('req-next-blue');

for (const fault of ['hang', 'cut'] as const) {
  test(`teams at their quota, cancelled tasks on machines with a ${fault}, the leader ends`, async () => {
    for (const [phase, backAfter] of [
      [0, 6000],
      [700, 8000],
      [1400, 14_000],
      [2500, 30_000],
    ] as const) {
      const cluster = await clusterWithTeamsAtQuota();
      const lost = cluster.machinesRunning('req-red').concat(cluster.machinesRunning('req-blue'));
      injectFault(cluster, fault, lost);
      cluster.clock.after(backAfter, () => recover(cluster, lost));
      await cluster.step(phase);
      for (const team of ['red', 'blue']) cluster.cancel(`req-${team}`, 1);
      await cluster.until('both are cancelled', () => bothCancelled(cluster));
      const running = await stopLeader(cluster);
      assert.equal(running, 24, 'the tasks of the cancelled jobs were there when the part was claimed');
      await cluster.step(60_000);
      cluster.assertNoViolations(`${fault} ${phase} ms before the cancellation, over after ${backAfter} ms`);
      assert.equal(nextRunning(cluster), 24, `the limits are used again:\n${cluster.traceLines.join('\n')}`);
    }
  });
}

for (const fault of ['hang', 'cut'] as const) {
  test(`a team at its quota, the leader ends, machines with a ${fault}, then a cancellation`, async () => {
    for (const [delay, backAfter] of [
      [0, 5000],
      [10, 9000],
      [400, 14_000],
      [3000, 30_000],
    ] as const) {
      const cluster = await clusterWithTeamsAtQuota();
      const lost = ['req-red', 'req-blue'].flatMap((job) => machinesOfShard(cluster, 0, job));
      injectFault(cluster, fault, lost);
      cluster.clock.after(backAfter, () => recover(cluster, lost));
      const cancelAll = (): void => ['req-red', 'req-blue'].forEach((job) => cluster.cancel(job, 1));
      const running = await stopLeader(cluster, () => cluster.clock.after(delay, cancelAll));
      assert.equal(running, 24, 'nothing had ended when the part was claimed');
      await cluster.step(60_000);
      assert.ok(bothCancelled(cluster));
      cluster.assertNoViolations(
        `cancelled ${delay} ms after the claim, ${fault} over after ${backAfter} ms`,
      );
      assert.equal(nextRunning(cluster), 24, `the limits are used again:\n${cluster.traceLines.join('\n')}`);
    }
  });
}

test('all leaders end, a new one hears of tasks of cancelled jobs, and their machines hang', async () => {
  for (const hangFor of [3000, 9000, 25_000]) {
    const cluster = await clusterWithTeamsAtQuota();
    const holders = cluster.machinesRunning('req-red').concat(cluster.machinesRunning('req-blue'));
    injectFault(cluster, 'cut', holders);
    for (const team of ['red', 'blue']) cluster.cancel(`req-${team}`, 1);
    await cluster.until('both are cancelled', () => bothCancelled(cluster));
    for (const node of NODES) cluster.killNode(node);
    let hanging = 0;
    for (const machine of holders) {
      cluster.unheardMachines.add(machine);
      hangWhenCalled(cluster, machine, () => {
        hanging += 1;
        cluster.clock.after(hangFor, () => recover(cluster, [machine]));
        cluster.clock.after(hangFor, () => cluster.unheardMachines.delete(machine));
      });
    }
    cluster.heal(holders);
    await cluster.start();
    await cluster.until('all have been asked and hang', () => hanging === holders.length);
    assert.equal(cluster.countRunningTasks('req-red') + cluster.countRunningTasks('req-blue'), 24);
    await cluster.step(60_000);
    cluster.assertNoViolations(`hanging for ${hangFor} ms`);
    assert.equal(nextRunning(cluster), 24, `the limits are used again:\n${cluster.traceLines.join('\n')}`);
  }
});

/** The machine answers the first order of a new leader, which shows what it holds, and then hangs. */
function hangWhenCalled(cluster: FaultInjectionCluster, machine: string, act: () => void): void {
  const worker = cluster.worker(machine);
  const arrive = worker.receive.bind(worker);
  worker.receive = (call) => {
    const outcome = arrive(call);
    if (call.path !== '/orders') return outcome;
    worker.receive = arrive;
    injectFault(cluster, 'hang', [machine]);
    act();
    return outcome;
  };
}

test('a cancellation at every moment around the failover, with launches of the old leader in flight', async () => {
  // When the cancellation is asked for, and how long the claim then takes until it is applied (ms).
  for (const [asked, applied] of [
    [0, 0],
    [0, 4],
    [0, 8],
    [0, 60],
    [40, 0],
    [400, 0],
    [2500, 0],
  ] as const) {
    for (const late of [1500, 4000, 9000]) await cancelAroundFailover(asked, applied, late);
  }
});

async function cancelAroundFailover(asked: number, applied: number, late: number): Promise<void> {
  const cluster = await startCluster(4, 2);
  let delayedCommands = 0;
  cluster.commandDelayMs = (node) => {
    if (node !== 0) return null;
    delayedCommands += 1;
    return late;
  };
  await cluster.submit(0, 'req-kept', { tasks: 4, zone: 'east', runMs: 60_000 });
  await cluster.submit(0, 'req-over', { tasks: 4, zone: 'east', runMs: 60_000 });
  await cluster.until('launches of n0 are on their way', () => delayedCommands > 0);
  let claimed = false;
  whenFailoverArrives(cluster, applied, () => {
    claimed = true;
    cluster.clock.after(asked, () => cluster.cancel('req-over', 1));
  });
  cluster.killNode(0);
  await cluster.until('the claim is asked for', () => claimed);
  await cluster.step(45_000);
  cluster.assertNoViolations(
    `cancelled at ${asked} ms, claim applied at ${applied} ms, launches ${late} ms late`,
  );
  assert.equal(cluster.invariantChecker.finalState('req-over'), 'cancelled');
  assert.equal(cluster.countRunningTasks('req-over'), 0);
  assert.equal(
    cluster.countRunningTasks('req-kept'),
    4,
    `what was not cancelled runs:\n${cluster.traceLines.join('\n')}`,
  );
}

test('a job is accepted and started just before the failover; the successor learns late of earlier events', async () => {
  for (const lag of [0, 300, 1200]) {
    for (const cancelAfter of [0, 300, 1500]) {
      const cluster = await startCluster(4, 2);
      cluster.watchDelayMs = (node) => (node === 'n0' ? 0 : lag);
      await cluster.step(2000);
      cluster.onStart = (machine) => {
        if (shardOfMachine(cluster, machine) !== 0) return;
        cluster.onStart = () => undefined;
        cluster.killNode(0);
        cluster.cutOff([machine]);
        cluster.clock.after(9000, () => cluster.heal([machine]));
      };
      cluster.onFailover(0, () => cluster.clock.after(cancelAfter, () => cluster.cancel('req-over', 2)));
      await cluster.submit(0, 'req-kept', { tasks: 3, zone: 'east', runMs: 60_000 });
      void cluster.request(
        1,
        'POST',
        '/v2/runs',
        cluster.submissionBody('req-over', { tasks: 3, runMs: 60_000 }),
      );
      await cluster.until('n0 has started something', () =>
        cluster.traceLines.some((l) => l.includes('n0 is killed')),
      );
      await cluster.step(45_000);
      cluster.assertNoViolations(`the feed ${lag} ms late, cancelled ${cancelAfter} ms after the claim`);
      assert.equal(cluster.countRunningTasks('req-kept'), 3, cluster.traceLines.join('\n'));
      assert.equal(cluster.countRunningTasks('req-over'), 0);
    }
  }
});

const lastJob = { tasks: 2, zone: 'east', runMs: 40_000 };

test('a leader without its leased key continues until the failover commits; the successor learns of it late', async () => {
  for (const lag of [0, 700, 1400]) {
    for (const cancelled of [false, true]) {
      const cluster = await startCluster(4, 2);
      refuseLeases(cluster, 'n0');
      whenFailoverArrives(cluster, 600, () => {
        cluster.watchDelayMs = (node) => (node === 'n0' ? 0 : lag);
        void cluster.request(0, 'POST', '/v2/runs', cluster.submissionBody('req-last', lastJob));
        if (cancelled) cluster.clock.after(400, () => cluster.cancel('req-last', 0));
      });
      let began = '';
      cluster.onStart = (machine) => {
        if (began !== '') return;
        began = machine;
        cluster.cutOff([machine], [1, 2]);
      };
      await cluster.until('n0 starts a job while its part is being claimed', () => began !== '');
      assert.equal(cluster.leaderOf(0), 0, cluster.traceLines.join('\n'));
      await cluster.step(60_000);
      cluster.assertNoViolations(`the feed ${lag} ms late, ${cancelled ? 'cancelled' : 'not cancelled'}`);
      const done = cluster.traceLines.filter((l) => /ends req-last\/\d: done/.test(l)).length;
      assert.equal(done, cancelled ? 0 : 2, cluster.traceLines.join('\n'));
    }
  }
});

test('the successor lists all keys while its failover commits: changes after the first page are older', async () => {
  for (const what of ['job', 'machine'] as const) {
    const cluster = await startCluster(4, 2, UNLIMITED_CPUS);
    if (what === 'machine')
      await cluster.submit(0, 'req-long', { tasks: 4, cpus: 4, zone: 'east', runMs: 600_000 });
    await cluster.step(3000);
    refuseLeases(cluster, 'n0');
    let claimed = false;
    cluster.onFailover(0, () => (claimed = true));
    let fresh = '';
    const submitLast = (): void =>
      void cluster.request(0, 'POST', '/v2/runs', cluster.submissionBody('req-last', lastJob));
    const betweenPages = (): void => {
      if (what === 'job') return submitLast();
      fresh = cluster.addWorker('large', 'east');
      cluster.clock.after(300, submitLast);
    };
    whenFailoverArrives(cluster, 1200, () =>
      forceFullList(cluster, ['n1', 'n2'], () => claimed, betweenPages),
    );
    let began = '';
    cluster.onStart = (machine) => {
      if (began !== '' || claimed) return;
      began = machine;
      cluster.cutOff([machine], [1, 2]);
      // Room for another start of everything.
      for (let i = 0; i < 4; i += 1) cluster.addWorker('large', 'east');
    };
    await cluster.until('n0 starts something while its part is being claimed', () => began !== '');
    if (what === 'machine') assert.equal(began, fresh);
    assert.equal(cluster.leaderOf(0), 0);
    await cluster.step(90_000);
    cluster.assertNoViolations(`a ${what} between the pages`);
    const done = cluster.traceLines.filter((l) => /ends req-last\/\d: done/.test(l)).length;
    assert.equal(done, 2, cluster.traceLines.join('\n'));
  }
});

test('tasks assigned to a shard before its failover, and seen after it, may be running; later ones are not', () => {
  const failover = 10;
  const shard = new Shard(0 as never, 7 as never, failover as never, 0 as never, new Map());
  const record = (mine: number): JobRecord => ({
    spec: buildJobSpec({ tasks: 6 }),
    homeShard: 1 as never,
    acceptedRevision: 1 as never,
    acceptedAt: null,
    assignments: [
      { from: 0, to: mine, shard: 0 as never, zone: null },
      { from: mine, to: 6, shard: 1 as never, zone: null },
    ],
    done: RangeSet.empty(),
  });
  syncJob(shard, record(2), 5 as never, 0 as never, true);
  requeueAccountedTasks(shard);
  const job = shard.jobs.get('req-1' as never);
  assert.deepEqual(job?.waiting.ranges(), [[0, 2]], 'the part has no machine on which they could be');
  syncJob(shard, record(4), 9 as never, 0 as never, false);
  assert.deepEqual(job?.unaccounted.ranges(), [[2, 4]]);
  syncJob(shard, record(6), 11 as never, 0 as never, false);
  assert.deepEqual(job?.unaccounted.ranges(), [[2, 4]]);
  requeueAccountedTasks(shard);
  assert.deepEqual(job?.waiting.ranges(), [[0, 6]], 'accounted for anew');
});

/**
 * These controllers are told that their watch is too old. The second page of the list that they read then begins with
 * the parts and comes once `claimed` holds; `betweenPages` runs when the first one has been read by all.
 */
function forceFullList(
  cluster: FaultInjectionCluster,
  nodes: readonly string[],
  claimed: () => boolean,
  betweenPages: () => void,
): void {
  const call = cluster.store.call.bind(cluster.store);
  const tooOld = new Set(nodes);
  let firstPages = 0;
  cluster.store.call = async (node: string, request: Call): Promise<CallOutcome> => {
    const listing = request.path.startsWith('/kv?') && nodes.includes(node);
    if (listing && !request.path.includes('from=')) {
      const before = [...cluster.store.entries.keys()].filter(
        (key) => key.startsWith('c/') && key < 'c/parts/',
      );
      const path = request.path.replace('most=1000', `most=${before.length}`);
      const page = await call(node, { ...request, path });
      firstPages += 1;
      if (firstPages === nodes.length) betweenPages();
      return page;
    }
    if (request.path.startsWith('/follow') && tooOld.delete(node))
      return { kind: 'answer', status: 410, body: {} };
    while (listing && !claimed()) await cluster.clock.sleep(5);
    return call(node, request);
  };
  // Their open watches end with it; the next ones are refused.
  cluster.store.applyTransaction({ when: [], apply: [{ put: 'c/note', data: {} }] });
}

/** Acts when the first claim of part 0 reaches the state service, which applies such claims so many ms later. */
function whenFailoverArrives(cluster: FaultInjectionCluster, delayMs: number, act: () => void): void {
  let arrived = false;
  cluster.store.transactionDelayMs = (body) => {
    if (failoverIn(body)?.shard !== '0') return 0;
    if (!arrived) act();
    arrived = true;
    return delayMs;
  };
}

/** The state service refuses a controller's leases, and serves all else: its key ends, and it goes on. */
function refuseLeases(cluster: FaultInjectionCluster, node: string): void {
  const call = cluster.store.call.bind(cluster.store);
  cluster.store.call = (from: string, request: Call): Promise<CallOutcome> => {
    const refused = from === node && request.path.startsWith('/leases');
    return refused ? Promise.resolve({ kind: 'answer', status: 503, body: {} }) : call(from, request);
  };
}

test('a new machine gets work at once while writes are slow, and its leader ends', async () => {
  const fates = ['normal', 'lose-answer', { holdMs: 700 }] as const;
  for (const fate of fates) {
    for (const endAfter of [0, 300]) {
      for (const silentFor of [0, 7000]) await addMachineThenStopLeader(fate, endAfter, silentFor);
    }
  }
});

async function addMachineThenStopLeader(
  fate: 'normal' | 'lose-answer' | { holdMs: number },
  endAfter: number,
  silentFor: number,
): Promise<void> {
  const cluster = await startCluster(2, 2);
  await cluster.submit(0, 'req-full', { tasks: 8, zone: 'east', runMs: 600_000 });
  await cluster.until('the east is full', () => cluster.countRunningTasks('req-full') === 8);
  await cluster.submit(0, 'req-new', { team: 'blue', tasks: 8, zone: 'east', runMs: 40_000 });
  cluster.store.transactionFate = (_, body) =>
    (body.apply ?? []).some((change) => change.put?.startsWith('c/machines/')) ? fate : 'normal';
  cluster.watchDelayMs = (node) => (node === 'n0' ? 0 : 400);
  let first = '';
  cluster.onStart = (machine, task) => {
    if (first !== '' || !task.startsWith('req-new/')) return;
    first = machine;
    cluster.clock.after(endAfter, () => {
      cluster.trace(`the leader of ${machine} ends`);
      cluster.killNode(shardOfMachine(cluster, machine));
      if (silentFor > 0) cluster.cutOff([machine]);
      // Room for another start of everything.
      for (let i = 0; i < 4; i += 1) cluster.addWorker('large', 'east');
      cluster.clock.after(silentFor, () => cluster.heal([machine]));
    });
  };
  const fresh = cluster.addWorker('large', 'east');
  await cluster.until('the new machine has work', () => first !== '');
  assert.equal(first, fresh);
  await cluster.step(90_000);
  cluster.assertNoViolations(
    `registration ${JSON.stringify(fate)}, ended ${endAfter} ms after, silent ${silentFor} ms`,
  );
  const done = cluster.traceLines.filter((l) => /ends req-new\/\d: done/.test(l)).length;
  assert.equal(done, 8, `every task is done once:\n${cluster.traceLines.join('\n')}`);
}

/** Kinds of reports, by what they say of the job: from before it ran there, of when it did, and the newest one. */
type Kind = 'before' | 'running' | 'last';

/** An earlier report of the machine, or null. */
function earlierHeartbeat(
  cluster: FaultInjectionCluster,
  machine: string,
  job: string,
  kind: Kind,
): object | null {
  const sent = cluster.sentHeartbeats.get(machine) ?? [];
  const shows = (heartbeat: object): boolean => JSON.stringify(heartbeat).includes(`"leg":"${job}/`);
  if (kind === 'last') return sent.at(-1) ?? null;
  if (kind === 'running') return sent.filter(shows).at(-1) ?? null;
  const first = sent.findIndex(shows);
  return (first < 0 ? sent.at(-1) : sent[first - 1]) ?? null;
}

function replayToAllNodes(cluster: FaultInjectionCluster, machine: string, job: string, kind: Kind): void {
  const heartbeat = earlierHeartbeat(cluster, machine, job, kind);
  assert.ok(heartbeat, `${machine} has sent such a report: ${kind}`);
  for (const node of NODES) void cluster.request(node, 'POST', '/agent/beat', heartbeat);
}

/** Which copies come of the machine where the task was, and of the one where it is. */
interface HeartbeatCopies {
  readonly left: Kind | null;
  readonly holder: Kind | null;
}

test('copies of old heartbeats reach every controller just as a new leader begins', async () => {
  for (const copies of [
    { left: 'running', holder: null },
    { left: null, holder: 'before' },
    { left: 'last', holder: 'before' },
    { left: 'running', holder: 'last' },
  ] as const) {
    for (const firstAfter of [0, 5]) await replayAtFailover(copies, firstAfter);
  }
});

async function replayAtFailover(copies: HeartbeatCopies, firstAfter: number): Promise<void> {
  // Limits so wide that they keep nothing from starting: only what is known of the task does.
  const cluster = await startCluster(4, 2, UNLIMITED_CPUS);
  await cluster.submit(0, 'req-long', { tasks: 1, zone: 'east', runMs: 600_000 });
  await cluster.until('it runs', () => cluster.countRunningTasks('req-long') === 1);
  await cluster.step(3000);
  const [first] = cluster.machinesRunning('req-long') as [string];
  const shard = shardOfMachine(cluster, first);
  // It moves on: copies from the first machine say that it is still there.
  cluster.cutOff([first]);
  await cluster.until(
    'its lease is over and it runs elsewhere',
    () => cluster.traceLines.filter((l) => / runs /.test(l)).length === 2,
  );
  cluster.heal([first]);
  await cluster.step(4000);
  const [second] = cluster.machinesRunning('req-long') as [string];
  assert.equal(shardOfMachine(cluster, second), shard);
  const deliver = (): void => {
    if (copies.left) replayToAllNodes(cluster, first, 'req-long', copies.left);
    if (copies.holder) replayToAllNodes(cluster, second, 'req-long', copies.holder);
  };
  cluster.onFailover(shard, () => {
    // The successor learns of its claim within 100 ms, and its first order is answered some 20 ms later.
    for (let after = 0; after < 150; after += 10) cluster.clock.after(firstAfter + after, deliver);
    for (const after of [1000, 5000, 11_000, 12_500]) cluster.clock.after(firstAfter + after, deliver);
  });
  // It can't be asked, nor be deleted, which would settle what it holds.
  cluster.cutOff([second]);
  cluster.cloudOutage = true;
  cluster.killNode(shard);
  await cluster.until('the part has a new leader', () => cluster.leaderOf(shard) !== shard);
  await cluster.step(4000);
  cluster.heal([second]);
  await cluster.step(50_000);
  cluster.assertNoViolations(`copies: ${JSON.stringify(copies)}, from ${firstAfter} ms after the claim`);
  assert.equal(cluster.countRunningTasks('req-long'), 1, cluster.traceLines.join('\n'));
  const starts = cluster.traceLines.filter((l) => l.includes('runs req-long')).length;
  assert.equal(starts, 2, `what a copy says starts nothing anew:\n${cluster.traceLines.join('\n')}`);
}

test('leaders change ten times in two minutes, also during an outage', async () => {
  for (const seed of [1, 2, 3]) {
    const cluster = await startCluster(6, 3);
    const failovers = new Set<string>();
    cluster.onCommit = (body) => {
      const failover = failoverIn(body);
      if (failover?.shard === '0') failovers.add(JSON.stringify(body.apply));
    };
    await cluster.submit(0, 'req-service', { service: true, tasks: 6 });
    await cluster.submit(1, 'req-array', { tasks: 12, cpus: 1, runMs: 20_000, team: 'blue' });
    await cluster.submit(2, 'req-over', { tasks: 6, cpus: 1, runMs: 600_000, team: 'blue' });
    await cluster.step(1000);
    for (let change = 0; change < 12; change += 1) {
      const leader = cluster.leaderOf(0);
      cluster.killNode(leader);
      const away = 200 + ((seed * 1700 + change * 900) % 4000);
      cluster.clock.after(away, () => void cluster.startNode(leader));
      if (change === 2 || change === 6) cluster.clock.after(400 * seed, () => (cluster.store.outage = true));
      if (change === 3 || change === 7) cluster.clock.after(400 * seed, () => cluster.store.endOutage());
      if (change === 5) cluster.cancel('req-over', seed % 3);
      await cluster.step(10_000 - ((seed * 700 + change * 300) % 1500));
    }
    assert.ok(failovers.size >= 10, `claims of part 0: ${failovers.size}`);
    await cluster.step(40_000);
    for (const job of ['req-service', 'req-array', 'req-over'])
      for (const node of NODES) await cluster.sendUserRequest(node, 'GET', `/v2/runs/${job}`);
    cluster.assertNoViolations(`seed ${seed}`);
    assert.equal(cluster.invariantChecker.finalState('req-array'), 'done', cluster.traceLines.join('\n'));
    assert.equal(cluster.invariantChecker.finalState('req-over'), 'cancelled');
    assert.equal(cluster.countRunningTasks('req-service'), 6);
  }
});

test('after a hand-over the successor ends at its failover, all end, and one returns within a second', async () => {
  for (const [endAfter, backAfter] of [
    [0, 30],
    [4, 300],
    [20, 950],
    [700, 100],
  ] as const) {
    const cluster = await startCluster(6, 3);
    await cluster.submit(0, 'req-service', { service: true, tasks: 4, zone: 'east' });
    await cluster.submit(0, 'req-array', { tasks: 8, cpus: 1, zone: 'east', runMs: 60_000, team: 'blue' });
    await cluster.until(
      'all runs',
      () => cluster.countRunningTasks('req-service') + cluster.countRunningTasks('req-array') === 12,
    );
    let successor = -1;
    cluster.onFailover(0, (node) => {
      successor = node;
      cluster.clock.after(endAfter, () => {
        for (const node of NODES) cluster.killNode(node);
        cluster.clock.after(backAfter, () => void cluster.startNode(node));
      });
    });
    cluster.killNode(0);
    await cluster.until(
      'the successor is back',
      () => cluster.traceLines.filter((l) => l.includes(`n${successor} starts`)).length === 2,
    );
    await submitUntilAccepted(cluster, successor, 'req-late', { tasks: 4, zone: 'east', runMs: 1000 });
    await cluster.step(45_000);
    await cluster.sendUserRequest(successor, 'GET', '/v2/runs/req-late');
    assert.equal(
      cluster.invariantChecker.finalState('req-late'),
      'done',
      `one controller is enough:\n${cluster.traceLines.join('\n')}`,
    );
    for (const node of NODES) if (node !== successor) await cluster.startNode(node);
    // And back: the home of each part has it again, and ends at once.
    await cluster.until('the part is at home', () => cluster.leaderOf(0) === 0);
    cluster.killNode(0);
    cluster.clock.after(backAfter, () => void cluster.startNode(0));
    await cluster.step(45_000);
    await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-array');
    cluster.assertNoViolations(`all end ${endAfter} ms after the claim, one is back after ${backAfter} ms`);
    assert.equal(cluster.invariantChecker.finalState('req-array'), 'done', cluster.traceLines.join('\n'));
    assert.equal(cluster.countRunningTasks('req-service'), 4);
  }
});

/** As users do: again after a second, until the job is taken. */
async function submitUntilAccepted(
  cluster: FaultInjectionCluster,
  node: number,
  job: string,
  options: JobOptions,
): Promise<void> {
  for (let tries = 0; tries < 20; tries += 1) {
    const { status } = await cluster.submit(node, job, options);
    if (status === 200 || status === 201) return;
    await cluster.step(1000);
  }
  assert.fail(`${job} was never taken:\n${cluster.traceLines.join('\n')}`);
}

test('launches, kills and clears of an ended leader arrive after the commands of the new one', async () => {
  for (const late of [2000, 5000, 16_000]) {
    for (const unreachableForMs of [0, 6000]) {
      for (const back of [false, true]) await delayCommandsOfOldLeader(late, unreachableForMs, back);
    }
  }
});

async function delayCommandsOfOldLeader(late: number, unreachableMs: number, back: boolean): Promise<void> {
  const cluster = await startCluster(8, 2, UNLIMITED_CPUS);
  await cluster.submit(0, 'req-over', { tasks: 3, zone: 'east', runMs: 600_000 });
  await cluster.submit(0, 'req-short', { tasks: 2, cpus: 1, zone: 'east', runMs: 1200, team: 'blue' });
  await cluster.until('it runs', () => cluster.countRunningTasks('req-over') === 3);
  const delayedTo = new Set<string>();
  cluster.commandDelayMs = (node, machine) => {
    if (node !== 0) return null;
    delayedTo.add(machine);
    return late;
  };
  cluster.cancel('req-over', 1);
  await cluster.submit(0, 'req-kept', { tasks: 4, cpus: 4, zone: 'east', runMs: 40_000 });
  await cluster.until('orders of n0 are on their way', () => delayedTo.size > 0);
  await cluster.step(300);
  const lost = [...delayedTo];
  cluster.killNode(0);
  // Heard by the new leader, whose token does not reach them: late orders are still taken.
  if (unreachableMs > 0) for (const machine of lost) cluster.unreachableMachines.add(machine);
  const hear = (): void => lost.forEach((machine) => cluster.unreachableMachines.delete(machine));
  cluster.onLeaderWrite(
    0,
    () => true,
    () => cluster.clock.after(unreachableMs, hear),
  );
  if (back) cluster.clock.after(1000, () => void cluster.startNode(0));
  await cluster.step(70_000);
  cluster.assertNoViolations(
    `orders ${late} ms late, machines deaf for ${unreachableMs} ms, n0 ${back ? 'back' : 'gone'}`,
  );
  const done = cluster.traceLines.filter((l) => /ends req-kept\/\d: done/.test(l)).length;
  assert.equal(done, 4, cluster.traceLines.join('\n'));
  assert.equal(cluster.countRunningTasks('req-over'), 0);
}

test('the leader ends while machines with long tasks are partitioned, or do not hear its successor', async () => {
  for (const fault of ['cut', 'deaf'] as const) {
    for (const lastsMs of [3000, 11_000, 20_000, 45_000, 150_000])
      await failOverWithUnreachableMachines(fault, lastsMs);
  }
});

async function failOverWithUnreachableMachines(fault: 'cut' | 'deaf', lastsMs: number): Promise<void> {
  const cluster = await startCluster(6, 2);
  await cluster.submit(0, 'req-long', { tasks: 6, zone: 'east', runMs: 600_000 });
  await cluster.until('it runs', () => cluster.countRunningTasks('req-long') === 6);
  const lost = machinesOfShard(cluster, 0, 'req-long');
  assert.ok(lost.length > 0);
  // No deletion through the cloud settles what they hold.
  cluster.cloudOutage = true;
  cluster.killNode(0);
  if (fault === 'cut') cluster.cutOff(lost);
  else for (const machine of lost) cluster.unreachableMachines.add(machine);
  cluster.clock.after(lastsMs, () => {
    cluster.heal(lost);
    for (const machine of lost) cluster.unreachableMachines.delete(machine);
  });
  await cluster.step(75_000);
  cluster.assertNoViolations(`${fault} for ${lastsMs} ms`);
  assert.equal(
    cluster.countRunningTasks('req-long'),
    6,
    `${fault} for ${lastsMs} ms, all run again:\n${cluster.traceLines.join('\n')}`,
  );
  await cluster.step(90_000);
  cluster.assertNoViolations(`${fault} for ${lastsMs} ms`);
  assert.equal(cluster.countRunningTasks('req-long'), 6);
}

const wideTasks = { tasks: 2, cpus: 4, image: 'another' };

test('a leader loses the store and its peers, keeps its workers and users; jobs are cancelled through the new one', async () => {
  for (const cancelAfter of [0, 1500, 4000, 7000, 12_000]) {
    for (const phase of [0, 500, 1000]) await isolateLeader(cancelAfter, phase);
  }
});

async function isolateLeader(cancelAfter: number, phase: number): Promise<void> {
  const cluster = await startCluster(6, 2);
  await cluster.submit(0, 'req-over', { tasks: 1, zone: 'east', runMs: 600_000 });
  await cluster.submit(0, 'req-long', { ...wideTasks, zone: 'east', runMs: 600_000, team: 'blue' });
  await cluster.until(
    'all runs',
    () => cluster.countRunningTasks('req-over') + cluster.countRunningTasks('req-long') === 3,
  );
  await cluster.step(phase);
  const kept = machinesOfShard(cluster, 0, 'req-over');
  const moved = machinesOfShard(cluster, 0, 'req-long');
  assert.ok(kept.length > 0 && moved.length > 0 && !moved.some((machine) => kept.includes(machine)));
  // Some machines of the part reach only the old leader from now on, some only the new one, one reaches both.
  cluster.cutOff(kept, [1, 2]);
  cluster.cutOff(moved, [0]);
  cluster.store.disconnectedNodes.add('n0');
  for (const node of [1, 2]) cluster.networkCuts.add(`n0|n${node}`);
  // Nor can the new leader have them deleted.
  cluster.cloudOutage = true;
  cluster.trace('n0 is cut from the state service and its peers');
  cluster.clock.after(cancelAfter, () => cluster.cancel('req-over', 1));
  for (let i = 0; i < 80; i += 1) {
    if (i % 4 === 0) void cluster.request(0, 'POST', '/v2/runs/req-over/abort');
    if (i % 8 === 0)
      void cluster.request(0, 'POST', '/v2/runs', cluster.submissionBody(`req-alone-${i}`, { tasks: 1 }));
    await cluster.step(500);
  }
  assert.equal(cluster.invariantChecker.finalState('req-over'), 'cancelled');
  assert.notEqual(cluster.leaderOf(0), 0);
  cluster.networkCuts.clear();
  cluster.store.disconnectedNodes.clear();
  cluster.cloudOutage = false;
  await cluster.step(40_000);
  cluster.assertNoViolations(`cancelled ${cancelAfter} ms after the cut, ${phase} ms into a report interval`);
  assert.equal(cluster.countRunningTasks('req-over'), 0);
  assert.equal(cluster.countRunningTasks('req-long'), 2, cluster.traceLines.join('\n'));
}
