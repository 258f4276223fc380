/**
 * Changes of leader that meet another trouble. Each meeting is brought about by events (a commit, a start, an order on
 * its way), over several phases, and judged by the rules of the protocol; the judge also looks at every start.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call, CallOutcome } from '../src/http/client.js';
import type { JobRecord } from '../src/jobs/record.js';
import { requeueAccountedTasks } from '../src/shards/unaccounted-tasks.js';
import { Shard, syncJob } from '../src/shards/model.js';
import { RangeSet } from '../src/model/ranges.js';
import { plainSpec } from './standins/spec.js';
import type { StateStandin } from './standins/state.js';
import type { WorkerStandin } from './standins/worker.js';
import { SMALL, World, type JobOptions } from './standins/world.js';

type Transaction = Parameters<StateStandin['apply']>[0];

const NODES = [0, 1, 2];
/** CPUs: more than all machines have. */
const WIDE = 300;

interface Claim {
  readonly part: string;
  readonly node: number;
}

/** The claim of a part that a transaction makes, or null. */
function claimIn(body: Transaction): Claim | null {
  for (const change of body.apply ?? []) {
    const owner = (change.data as { owner?: string | null } | undefined)?.owner;
    if (change.put?.startsWith('c/parts/') && owner) {
      return { part: change.put.slice('c/parts/'.length), node: Number(owner.slice(1)) };
    }
  }
  return null;
}

/** A world that tells a test what happens in it at the moment when it happens. */
class MeetingWorld extends World {
  /** A transaction has just been applied. */
  onCommit: (body: Transaction) => void = () => undefined;
  /** A task has just started. */
  onStart: (machine: string, task: string) => void = () => undefined;
  /** A controller has just sent an order straight to a worker. */
  onDirectCall: (node: number, machine: string) => void = () => undefined;
  /** How late (ms) what the state service tells a watching controller arrives. */
  followLag: (node: string) => number = () => 0;

  private readonly toldCancelled = new Set<string>();

  constructor(cpusMax: number) {
    const teams = SMALL.teams.map((team) => ({ ...team, cpusMax }));
    super({ ...SMALL, teams, tuning: 'fleet.idle.return.ms = 300000' });
    this.tellCommits();
    this.delayFollows();
    this.holdOrders = (node, machine) => {
      this.onDirectCall(node, machine);
      return null;
    };
  }

  private tellCommits(): void {
    const apply = this.state.apply.bind(this.state);
    this.state.apply = (body) => {
      const outcome = apply(body);
      if (outcome.kind === 'answer' && outcome.status === 200) this.onCommit(body);
      return outcome;
    };
  }

  private delayFollows(): void {
    const call = this.state.call.bind(this.state);
    this.state.call = async (node: string, request: Call): Promise<CallOutcome> => {
      const outcome = await call(node, request);
      if (request.path.startsWith('/follow')) await this.clock.sleep(this.followLag(node));
      return outcome;
    };
  }

  override trace(line: string): void {
    super.trace(line);
    const started = /^(\S+) runs (\S+)$/.exec(line);
    if (!started) return;
    this.judge.checkOverdue();
    this.onStart(started[1] ?? '', started[2] ?? '');
  }

  worker(id: string): WorkerStandin {
    const worker = this.workers.get(id);
    assert.ok(worker, `${id} is there`);
    return worker;
  }

  /** Machines on which a task of the job is now. */
  holdersOf(job: string): string[] {
    const holds = (w: WorkerStandin): boolean => w.active().some((t) => t.leg.startsWith(`${job}/`));
    return [...this.workers.values()].filter(holds).map((w) => w.id);
  }

  runningOf(job: string): number {
    let count = 0;
    for (const w of this.workers.values())
      count += w.active().filter((t) => t.leg.startsWith(`${job}/`)).length;
    return count;
  }

  /** The controller that owns a part, by the state service. */
  ownerOf(shard: number): number {
    const owner = (this.state.rows.get(`c/parts/${shard}`)?.data as { owner: string | null }).owner;
    return Number(owner?.slice(1) ?? -1);
  }

  /** Cuts machines off from controllers, both ways. */
  cutOff(machines: readonly string[], nodes: readonly number[] = NODES): void {
    for (const n of nodes) for (const m of machines) this.cuts.add(`n${n}|${m}`);
  }

  heal(machines: readonly string[]): void {
    for (const n of NODES) for (const m of machines) this.cuts.delete(`n${n}|${m}`);
  }

  /** A user cancels, and asks again every 300 ms, at the other controllers too, until it is confirmed. */
  cancel(job: string, at: number): void {
    void this.request(at, 'POST', `/v2/runs/${job}/abort`).then((answer) => {
      const state = (answer?.body as { status?: string } | undefined)?.status;
      if (answer?.status === 200 && state === 'cancelled') return this.confirmed(job, at);
      this.clock.after(300, () => this.cancel(job, (at + 1) % NODES.length));
    });
  }

  private confirmed(job: string, at: number): void {
    if (this.toldCancelled.has(job)) return;
    this.toldCancelled.add(job);
    this.trace(`user is told at n${at} that ${job} is cancelled`);
  }

  /** Runs `act` once, at the first claim of the part by another controller than its home. */
  atTakeover(shard: number, act: (successor: number) => void): void {
    this.atClaim(shard, (node) => node !== shard, act);
  }

  /** Runs `act` once, at the first claim of the part by such a controller. */
  atClaim(shard: number, by: (node: number) => boolean, act: (node: number) => void): void {
    const before = this.onCommit;
    let over = false;
    this.onCommit = (body) => {
      before(body);
      const claim = claimIn(body);
      if (over || claim?.part !== String(shard) || !by(claim.node)) return;
      over = true;
      this.trace(`n${claim.node} has claimed part ${shard}`);
      act(claim.node);
    };
  }

  /** Lets time pass until it holds; fails after `limitMs`. */
  async until(what: string, holds: () => boolean, limitMs = 20_000): Promise<void> {
    for (let left = limitMs; left > 0 && !holds(); left -= 50) await this.step(50);
    assert.ok(holds(), `${what}, within ${limitMs} ms:\n${this.lines.join('\n')}`);
  }

  /** No rule was broken. */
  assertRules(phase: string): void {
    this.judge.checkOverdue();
    assert.deepEqual(this.broken, [], `${phase}:\n${this.lines.join('\n')}`);
  }
}

/** Machines of 8 CPUs, named in turns for parts 0 and 2 (east) and for part 1 (west); all controllers run. */
async function worldWith(east: number, west: number, cpusMax = 24): Promise<MeetingWorld> {
  const w = new MeetingWorld(cpusMax);
  for (let i = 0; i < east; i += 1) w.addWorker('large', 'east');
  for (let i = 0; i < west; i += 1) w.addWorker('large', 'west');
  await w.start();
  await w.until('all machines are named', () => registered(w) === east + west);
  await w.step(1500);
  return w;
}

const registered = (w: World): number =>
  [...w.state.rows.keys()].filter((key) => key.startsWith('c/machines/')).length;

const partOf = (w: World, machine: string): number =>
  (w.state.rows.get(`c/machines/${machine}`)?.data as { part: number } | undefined)?.part ?? -1;

/** Both teams at their limits of 24 CPUs; as much again waits, with room for all of it on machines that are free. */
async function teamsAtTheirLimits(): Promise<MeetingWorld> {
  const w = await worldWith(8, 4);
  for (const team of ['red', 'blue']) await w.submit(0, `req-${team}`, { team, tasks: 12, runMs: 600_000 });
  await w.until('both are at their limits', () => w.runningOf('req-red') + w.runningOf('req-blue') === 24);
  for (const team of ['red', 'blue'])
    await w.submit(1, `req-next-${team}`, { team, tasks: 12, runMs: 600_000, image: 'another' });
  await w.step(1000);
  assert.equal(w.runningOf('req-next-red'), 0);
  return w;
}

const machinesOfPart = (w: MeetingWorld, shard: number, job: string): string[] =>
  w.holdersOf(job).filter((m) => partOf(w, m) === shard);

type Trouble = 'hang' | 'cut';

function strike(w: MeetingWorld, trouble: Trouble, machines: readonly string[]): void {
  w.trace(`${machines.join(' ')}: ${trouble}`);
  if (trouble === 'cut') w.cutOff(machines);
  else for (const m of machines) w.worker(m).hanging = true;
}

function recover(w: MeetingWorld, machines: readonly string[]): void {
  w.trace(`${machines.join(' ')} are back`);
  w.heal(machines);
  for (const m of machines) if (w.workers.has(m)) w.worker(m).hanging = false;
}

/** Ends the leader of part 0, and says what ran of both teams' first jobs when its successor's claim committed. */
async function endLeader(w: MeetingWorld, afterClaim: () => void = () => undefined): Promise<number> {
  w.killNode(0);
  let running = 0;
  w.atTakeover(0, () => {
    running = w.runningOf('req-red') + w.runningOf('req-blue');
    afterClaim();
  });
  await w.until('the part has a new leader', () => w.ownerOf(0) !== 0);
  return running;
}

const bothCancelled = (w: MeetingWorld): boolean =>
  ['req-red', 'req-blue'].every((job) => w.judge.finalState(job) === 'cancelled');

const nextRunning = (w: MeetingWorld): number => w.runningOf('req-next-red') + w.runningOf('req-next-blue');

for (const trouble of ['hang', 'cut'] as const) {
  test(`1. teams at their limits, cancelled tasks on machines with a ${trouble}, the leader ends`, async () => {
    for (const [phase, backAfter] of [
      [0, 6000],
      [700, 8000],
      [1400, 14_000],
      [2500, 30_000],
    ] as const) {
      const w = await teamsAtTheirLimits();
      const lost = w.holdersOf('req-red').concat(w.holdersOf('req-blue'));
      strike(w, trouble, lost);
      w.clock.after(backAfter, () => recover(w, lost));
      await w.step(phase);
      for (const team of ['red', 'blue']) w.cancel(`req-${team}`, 1);
      await w.until('both are cancelled', () => bothCancelled(w));
      const running = await endLeader(w);
      assert.equal(running, 24, 'the tasks of the cancelled jobs were there when the part was claimed');
      await w.step(60_000);
      w.assertRules(`${trouble} ${phase} ms before the cancellation, over after ${backAfter} ms`);
      assert.equal(nextRunning(w), 24, `the limits are used again:\n${w.lines.join('\n')}`);
    }
  });
}

for (const trouble of ['hang', 'cut'] as const) {
  test(`9. a team at its limit, the leader ends, machines with a ${trouble}, then a cancellation`, async () => {
    for (const [delay, backAfter] of [
      [0, 5000],
      [10, 9000],
      [400, 14_000],
      [3000, 30_000],
    ] as const) {
      const w = await teamsAtTheirLimits();
      const lost = ['req-red', 'req-blue'].flatMap((job) => machinesOfPart(w, 0, job));
      strike(w, trouble, lost);
      w.clock.after(backAfter, () => recover(w, lost));
      const cancelAll = (): void => ['req-red', 'req-blue'].forEach((job) => w.cancel(job, 1));
      const running = await endLeader(w, () => w.clock.after(delay, cancelAll));
      assert.equal(running, 24, 'nothing had ended when the part was claimed');
      await w.step(60_000);
      assert.ok(bothCancelled(w));
      w.assertRules(`cancelled ${delay} ms after the claim, ${trouble} over after ${backAfter} ms`);
      assert.equal(nextRunning(w), 24, `the limits are used again:\n${w.lines.join('\n')}`);
    }
  });
}

test('1. all leaders end, a new one hears of tasks of cancelled jobs, and their machines hang', async () => {
  for (const hangFor of [3000, 9000, 25_000]) {
    const w = await teamsAtTheirLimits();
    const holders = w.holdersOf('req-red').concat(w.holdersOf('req-blue'));
    strike(w, 'cut', holders);
    for (const team of ['red', 'blue']) w.cancel(`req-${team}`, 1);
    await w.until('both are cancelled', () => bothCancelled(w));
    for (const n of NODES) w.killNode(n);
    let hanging = 0;
    for (const m of holders) {
      w.mute.add(m);
      hangOnceAsked(w, m, () => {
        hanging += 1;
        w.clock.after(hangFor, () => recover(w, [m]));
        w.clock.after(hangFor, () => w.mute.delete(m));
      });
    }
    w.heal(holders);
    await w.start();
    await w.until('all have been asked and hang', () => hanging === holders.length);
    assert.equal(w.runningOf('req-red') + w.runningOf('req-blue'), 24);
    await w.step(60_000);
    w.assertRules(`hanging for ${hangFor} ms`);
    assert.equal(nextRunning(w), 24, `the limits are used again:\n${w.lines.join('\n')}`);
  }
});

/** The machine answers the first order of a new leader, which shows what it holds, and then hangs. */
function hangOnceAsked(w: MeetingWorld, machine: string, act: () => void): void {
  const worker = w.worker(machine);
  const arrive = worker.arrive.bind(worker);
  worker.arrive = (call) => {
    const outcome = arrive(call);
    if (call.path !== '/orders') return outcome;
    worker.arrive = arrive;
    strike(w, 'hang', [machine]);
    act();
    return outcome;
  };
}

test('2. a cancellation at every moment around the claim, with launches of the old leader in flight', async () => {
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
    for (const late of [1500, 4000, 9000]) await cancelAroundClaim(asked, applied, late);
  }
});

async function cancelAroundClaim(asked: number, applied: number, late: number): Promise<void> {
  const w = await worldWith(4, 2);
  let heldOrders = 0;
  w.holdOrders = (node) => {
    if (node !== 0) return null;
    heldOrders += 1;
    return late;
  };
  await w.submit(0, 'req-kept', { tasks: 4, zone: 'east', runMs: 60_000 });
  await w.submit(0, 'req-over', { tasks: 4, zone: 'east', runMs: 60_000 });
  await w.until('launches of n0 are on their way', () => heldOrders > 0);
  let claimed = false;
  whenClaimArrives(w, applied, () => {
    claimed = true;
    w.clock.after(asked, () => w.cancel('req-over', 1));
  });
  w.killNode(0);
  await w.until('the claim is asked for', () => claimed);
  await w.step(45_000);
  w.assertRules(`cancelled at ${asked} ms, claim applied at ${applied} ms, launches ${late} ms late`);
  assert.equal(w.judge.finalState('req-over'), 'cancelled');
  assert.equal(w.runningOf('req-over'), 0);
  assert.equal(w.runningOf('req-kept'), 4, `what was not cancelled runs:\n${w.lines.join('\n')}`);
}

test('2. a job is accepted and started just before the claim; the successor hears late of what came before', async () => {
  for (const lag of [0, 300, 1200]) {
    for (const cancelAfter of [0, 300, 1500]) {
      const w = await worldWith(4, 2);
      w.followLag = (node) => (node === 'n0' ? 0 : lag);
      await w.step(2000);
      w.onStart = (machine) => {
        if (partOf(w, machine) !== 0) return;
        w.onStart = () => undefined;
        w.killNode(0);
        w.cutOff([machine]);
        w.clock.after(9000, () => w.heal([machine]));
      };
      w.atTakeover(0, () => w.clock.after(cancelAfter, () => w.cancel('req-over', 2)));
      await w.submit(0, 'req-kept', { tasks: 3, zone: 'east', runMs: 60_000 });
      void w.request(1, 'POST', '/v2/runs', w.submission('req-over', { tasks: 3, runMs: 60_000 }));
      await w.until('n0 has started something', () => w.lines.some((l) => l.includes('n0 is killed')));
      await w.step(45_000);
      w.assertRules(`the feed ${lag} ms late, cancelled ${cancelAfter} ms after the claim`);
      assert.equal(w.runningOf('req-kept'), 3, w.lines.join('\n'));
      assert.equal(w.runningOf('req-over'), 0);
    }
  }
});

const lastJob = { tasks: 2, zone: 'east', runMs: 40_000 };

test('2. a leader without its leased key goes on until the claim commits; the claimant hears of it late', async () => {
  for (const lag of [0, 700, 1400]) {
    for (const cancelled of [false, true]) {
      const w = await worldWith(4, 2);
      refuseLeases(w, 'n0');
      whenClaimArrives(w, 600, () => {
        w.followLag = (node) => (node === 'n0' ? 0 : lag);
        void w.request(0, 'POST', '/v2/runs', w.submission('req-last', lastJob));
        if (cancelled) w.clock.after(400, () => w.cancel('req-last', 0));
      });
      let began = '';
      w.onStart = (machine) => {
        if (began !== '') return;
        began = machine;
        w.cutOff([machine], [1, 2]);
      };
      await w.until('n0 starts a job while its part is being claimed', () => began !== '');
      assert.equal(w.ownerOf(0), 0, w.lines.join('\n'));
      await w.step(60_000);
      w.assertRules(`the feed ${lag} ms late, ${cancelled ? 'cancelled' : 'not cancelled'}`);
      const done = w.lines.filter((l) => /ends req-last\/\d: done/.test(l)).length;
      assert.equal(done, cancelled ? 0 : 2, w.lines.join('\n'));
    }
  }
});

test('2. the claimant lists everything anew while its claim commits: what came after the first page is older', async () => {
  for (const what of ['job', 'machine'] as const) {
    const w = await worldWith(4, 2, WIDE);
    if (what === 'machine')
      await w.submit(0, 'req-long', { tasks: 4, cpus: 4, zone: 'east', runMs: 600_000 });
    await w.step(3000);
    refuseLeases(w, 'n0');
    let claimed = false;
    w.atTakeover(0, () => (claimed = true));
    let fresh = '';
    const submitLast = (): void => void w.request(0, 'POST', '/v2/runs', w.submission('req-last', lastJob));
    const betweenPages = (): void => {
      if (what === 'job') return submitLast();
      fresh = w.addWorker('large', 'east');
      w.clock.after(300, submitLast);
    };
    whenClaimArrives(w, 1200, () => listAnew(w, ['n1', 'n2'], () => claimed, betweenPages));
    let began = '';
    w.onStart = (machine) => {
      if (began !== '' || claimed) return;
      began = machine;
      w.cutOff([machine], [1, 2]);
      // Room for another start of everything.
      for (let i = 0; i < 4; i += 1) w.addWorker('large', 'east');
    };
    await w.until('n0 starts something while its part is being claimed', () => began !== '');
    if (what === 'machine') assert.equal(began, fresh);
    assert.equal(w.ownerOf(0), 0);
    await w.step(90_000);
    w.assertRules(`a ${what} between the pages`);
    const done = w.lines.filter((l) => /ends req-last\/\d: done/.test(l)).length;
    assert.equal(done, 2, w.lines.join('\n'));
  }
});

test('2. tasks handed to a part before its claim, and heard of after it, may be running; later ones are not', () => {
  const claim = 10;
  const shard = new Shard(0 as never, 7 as never, claim as never, 0 as never, new Map());
  const record = (mine: number): JobRecord => ({
    spec: plainSpec({ tasks: 6 }),
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
function listAnew(
  w: MeetingWorld,
  nodes: readonly string[],
  claimed: () => boolean,
  betweenPages: () => void,
): void {
  const call = w.state.call.bind(w.state);
  const tooOld = new Set(nodes);
  let firstPages = 0;
  w.state.call = async (node: string, request: Call): Promise<CallOutcome> => {
    const listing = request.path.startsWith('/kv?') && nodes.includes(node);
    if (listing && !request.path.includes('from=')) {
      const before = [...w.state.rows.keys()].filter((key) => key.startsWith('c/') && key < 'c/parts/');
      const path = request.path.replace('most=1000', `most=${before.length}`);
      const page = await call(node, { ...request, path });
      firstPages += 1;
      if (firstPages === nodes.length) betweenPages();
      return page;
    }
    if (request.path.startsWith('/follow') && tooOld.delete(node))
      return { kind: 'answer', status: 410, body: {} };
    while (listing && !claimed()) await w.clock.sleep(5);
    return call(node, request);
  };
  // Their open watches end with it; the next ones are refused.
  w.state.apply({ when: [], apply: [{ put: 'c/note', data: {} }] });
}

/** Acts when the first claim of part 0 reaches the state service, which applies such claims so many ms later. */
function whenClaimArrives(w: MeetingWorld, delayMs: number, act: () => void): void {
  let arrived = false;
  w.state.slow = (body) => {
    if (claimIn(body)?.part !== '0') return 0;
    if (!arrived) act();
    arrived = true;
    return delayMs;
  };
}

/** The state service refuses a controller's leases, and serves all else: its key ends, and it goes on. */
function refuseLeases(w: MeetingWorld, node: string): void {
  const call = w.state.call.bind(w.state);
  w.state.call = (from: string, request: Call): Promise<CallOutcome> => {
    const refused = from === node && request.path.startsWith('/leases');
    return refused ? Promise.resolve({ kind: 'answer', status: 503, body: {} }) : call(from, request);
  };
}

test('3. a new machine gets work at once while writes lag, and its leader ends', async () => {
  const fates = ['normal', 'lose-answer', { holdMs: 700 }] as const;
  for (const fate of fates) {
    for (const endAfter of [0, 300]) {
      for (const silentFor of [0, 7000]) await newMachineThenEnd(fate, endAfter, silentFor);
    }
  }
});

async function newMachineThenEnd(
  fate: 'normal' | 'lose-answer' | { holdMs: number },
  endAfter: number,
  silentFor: number,
): Promise<void> {
  const w = await worldWith(2, 2);
  await w.submit(0, 'req-full', { tasks: 8, zone: 'east', runMs: 600_000 });
  await w.until('the east is full', () => w.runningOf('req-full') === 8);
  await w.submit(0, 'req-new', { team: 'blue', tasks: 8, zone: 'east', runMs: 40_000 });
  w.state.fate = (_, body) =>
    (body.apply ?? []).some((change) => change.put?.startsWith('c/machines/')) ? fate : 'normal';
  w.followLag = (node) => (node === 'n0' ? 0 : 400);
  let first = '';
  w.onStart = (machine, task) => {
    if (first !== '' || !task.startsWith('req-new/')) return;
    first = machine;
    w.clock.after(endAfter, () => {
      w.trace(`the leader of ${machine} ends`);
      w.killNode(partOf(w, machine));
      if (silentFor > 0) w.cutOff([machine]);
      // Room for another start of everything.
      for (let i = 0; i < 4; i += 1) w.addWorker('large', 'east');
      w.clock.after(silentFor, () => w.heal([machine]));
    });
  };
  const fresh = w.addWorker('large', 'east');
  await w.until('the new machine has work', () => first !== '');
  assert.equal(first, fresh);
  await w.step(90_000);
  w.assertRules(`registration ${JSON.stringify(fate)}, ended ${endAfter} ms after, silent ${silentFor} ms`);
  const done = w.lines.filter((l) => /ends req-new\/\d: done/.test(l)).length;
  assert.equal(done, 8, `every task is done once:\n${w.lines.join('\n')}`);
}

/** Kinds of reports, by what they say of the job: from before it ran there, of when it did, and the newest one. */
type Kind = 'before' | 'running' | 'last';

/** An earlier report of the machine, or null. */
function earlierReport(w: MeetingWorld, machine: string, job: string, kind: Kind): object | null {
  const sent = w.sent.get(machine) ?? [];
  const shows = (report: object): boolean => JSON.stringify(report).includes(`"leg":"${job}/`);
  if (kind === 'last') return sent.at(-1) ?? null;
  if (kind === 'running') return sent.filter(shows).at(-1) ?? null;
  const first = sent.findIndex(shows);
  return (first < 0 ? sent.at(-1) : sent[first - 1]) ?? null;
}

function copyToAll(w: MeetingWorld, machine: string, job: string, kind: Kind): void {
  const report = earlierReport(w, machine, job, kind);
  assert.ok(report, `${machine} has sent such a report: ${kind}`);
  for (const n of NODES) void w.request(n, 'POST', '/agent/beat', report);
}

/** Which copies come of the machine where the task was, and of the one where it is. */
interface Copies {
  readonly left: Kind | null;
  readonly holder: Kind | null;
}

test('4. copies of old reports reach every controller just as a new leader begins', async () => {
  for (const copies of [
    { left: 'running', holder: null },
    { left: null, holder: 'before' },
    { left: 'last', holder: 'before' },
    { left: 'running', holder: 'last' },
  ] as const) {
    for (const firstAfter of [0, 5]) await copiesAtClaim(copies, firstAfter);
  }
});

async function copiesAtClaim(copies: Copies, firstAfter: number): Promise<void> {
  // Limits so wide that they keep nothing from starting: only what is known of the task does.
  const w = await worldWith(4, 2, WIDE);
  await w.submit(0, 'req-long', { tasks: 1, zone: 'east', runMs: 600_000 });
  await w.until('it runs', () => w.runningOf('req-long') === 1);
  await w.step(3000);
  const [first] = w.holdersOf('req-long') as [string];
  const shard = partOf(w, first);
  // It moves on: copies from the first machine say that it is still there.
  w.cutOff([first]);
  await w.until(
    'its lease is over and it runs elsewhere',
    () => w.lines.filter((l) => / runs /.test(l)).length === 2,
  );
  w.heal([first]);
  await w.step(4000);
  const [second] = w.holdersOf('req-long') as [string];
  assert.equal(partOf(w, second), shard);
  const deliver = (): void => {
    if (copies.left) copyToAll(w, first, 'req-long', copies.left);
    if (copies.holder) copyToAll(w, second, 'req-long', copies.holder);
  };
  w.atTakeover(shard, () => {
    // The successor learns of its claim within 100 ms, and its first order is answered some 20 ms later.
    for (let after = 0; after < 150; after += 10) w.clock.after(firstAfter + after, deliver);
    for (const after of [1000, 5000, 11_000, 12_500]) w.clock.after(firstAfter + after, deliver);
  });
  // It can't be asked, nor be deleted, which would settle what it holds.
  w.cutOff([second]);
  w.cloudOutage = true;
  w.killNode(shard);
  await w.until('the part has a new leader', () => w.ownerOf(shard) !== shard);
  await w.step(4000);
  w.heal([second]);
  await w.step(50_000);
  w.assertRules(`copies: ${JSON.stringify(copies)}, from ${firstAfter} ms after the claim`);
  assert.equal(w.runningOf('req-long'), 1, w.lines.join('\n'));
  const starts = w.lines.filter((l) => l.includes('runs req-long')).length;
  assert.equal(starts, 2, `what a copy says starts nothing anew:\n${w.lines.join('\n')}`);
}

test('5. leaders change ten times in two minutes, also inside an outage', async () => {
  for (const seed of [1, 2, 3]) {
    const w = await worldWith(6, 3);
    const claims = new Set<string>();
    w.onCommit = (body) => {
      const claim = claimIn(body);
      if (claim?.part === '0') claims.add(JSON.stringify(body.apply));
    };
    await w.submit(0, 'req-service', { service: true, tasks: 6 });
    await w.submit(1, 'req-array', { tasks: 12, cpus: 1, runMs: 20_000, team: 'blue' });
    await w.submit(2, 'req-over', { tasks: 6, cpus: 1, runMs: 600_000, team: 'blue' });
    await w.step(1000);
    for (let change = 0; change < 12; change += 1) {
      const leader = w.ownerOf(0);
      w.killNode(leader);
      const away = 200 + ((seed * 1700 + change * 900) % 4000);
      w.clock.after(away, () => void w.startNode(leader));
      if (change === 2 || change === 6) w.clock.after(400 * seed, () => (w.state.outage = true));
      if (change === 3 || change === 7) w.clock.after(400 * seed, () => w.state.endOutage());
      if (change === 5) w.cancel('req-over', seed % 3);
      await w.step(10_000 - ((seed * 700 + change * 300) % 1500));
    }
    assert.ok(claims.size >= 10, `claims of part 0: ${claims.size}`);
    await w.step(40_000);
    for (const job of ['req-service', 'req-array', 'req-over'])
      for (const n of NODES) await w.ask(n, 'GET', `/v2/runs/${job}`);
    w.assertRules(`seed ${seed}`);
    assert.equal(w.judge.finalState('req-array'), 'done', w.lines.join('\n'));
    assert.equal(w.judge.finalState('req-over'), 'cancelled');
    assert.equal(w.runningOf('req-service'), 6);
  }
});

test('6. handed over, the successor ends at its claim, all end, and one returns within a second', async () => {
  for (const [endAfter, backAfter] of [
    [0, 30],
    [4, 300],
    [20, 950],
    [700, 100],
  ] as const) {
    const w = await worldWith(6, 3);
    await w.submit(0, 'req-service', { service: true, tasks: 4, zone: 'east' });
    await w.submit(0, 'req-array', { tasks: 8, cpus: 1, zone: 'east', runMs: 60_000, team: 'blue' });
    await w.until('all runs', () => w.runningOf('req-service') + w.runningOf('req-array') === 12);
    let successor = -1;
    w.atTakeover(0, (node) => {
      successor = node;
      w.clock.after(endAfter, () => {
        for (const n of NODES) w.killNode(n);
        w.clock.after(backAfter, () => void w.startNode(node));
      });
    });
    w.killNode(0);
    await w.until(
      'the successor is back',
      () => w.lines.filter((l) => l.includes(`n${successor} starts`)).length === 2,
    );
    await submitAgain(w, successor, 'req-late', { tasks: 4, zone: 'east', runMs: 1000 });
    await w.step(45_000);
    await w.ask(successor, 'GET', '/v2/runs/req-late');
    assert.equal(w.judge.finalState('req-late'), 'done', `one controller is enough:\n${w.lines.join('\n')}`);
    for (const n of NODES) if (n !== successor) await w.startNode(n);
    // And back: the home of each part has it again, and ends at once.
    await w.until('the part is at home', () => w.ownerOf(0) === 0);
    w.killNode(0);
    w.clock.after(backAfter, () => void w.startNode(0));
    await w.step(45_000);
    await w.ask(0, 'GET', '/v2/runs/req-array');
    w.assertRules(`all end ${endAfter} ms after the claim, one is back after ${backAfter} ms`);
    assert.equal(w.judge.finalState('req-array'), 'done', w.lines.join('\n'));
    assert.equal(w.runningOf('req-service'), 4);
  }
});

/** As users do: again after a second, until the job is taken. */
async function submitAgain(w: MeetingWorld, n: number, job: string, options: JobOptions): Promise<void> {
  for (let tries = 0; tries < 20; tries += 1) {
    const { status } = await w.submit(n, job, options);
    if (status === 200 || status === 201) return;
    await w.step(1000);
  }
  assert.fail(`${job} was never taken:\n${w.lines.join('\n')}`);
}

test('7. launches, kills and clears of an ended leader arrive after the orders of the new one', async () => {
  for (const late of [2000, 5000, 16_000]) {
    for (const deaf of [0, 6000]) {
      for (const back of [false, true]) await lateOrders(late, deaf, back);
    }
  }
});

async function lateOrders(late: number, deafMs: number, back: boolean): Promise<void> {
  const w = await worldWith(8, 2, WIDE);
  await w.submit(0, 'req-over', { tasks: 3, zone: 'east', runMs: 600_000 });
  await w.submit(0, 'req-short', { tasks: 2, cpus: 1, zone: 'east', runMs: 1200, team: 'blue' });
  await w.until('it runs', () => w.runningOf('req-over') === 3);
  const held = new Set<string>();
  w.holdOrders = (node, machine) => {
    if (node !== 0) return null;
    held.add(machine);
    return late;
  };
  w.cancel('req-over', 1);
  await w.submit(0, 'req-kept', { tasks: 4, cpus: 4, zone: 'east', runMs: 40_000 });
  await w.until('orders of n0 are on their way', () => held.size > 0);
  await w.step(300);
  const lost = [...held];
  w.killNode(0);
  // Heard by the new leader, whose token does not reach them: late orders are still taken.
  if (deafMs > 0) for (const m of lost) w.deaf.add(m);
  const hear = (): void => lost.forEach((m) => w.deaf.delete(m));
  w.atClaim(
    0,
    () => true,
    () => w.clock.after(deafMs, hear),
  );
  if (back) w.clock.after(1000, () => void w.startNode(0));
  await w.step(70_000);
  w.assertRules(`orders ${late} ms late, machines deaf for ${deafMs} ms, n0 ${back ? 'back' : 'gone'}`);
  const done = w.lines.filter((l) => /ends req-kept\/\d: done/.test(l)).length;
  assert.equal(done, 4, w.lines.join('\n'));
  assert.equal(w.runningOf('req-over'), 0);
}

test('8. the leader ends while machines with long tasks are cut off, or do not hear its successor', async () => {
  for (const trouble of ['cut', 'deaf'] as const) {
    for (const lastsMs of [3000, 11_000, 20_000, 45_000, 150_000]) await longTasksUnheard(trouble, lastsMs);
  }
});

async function longTasksUnheard(trouble: 'cut' | 'deaf', lastsMs: number): Promise<void> {
  const w = await worldWith(6, 2);
  await w.submit(0, 'req-long', { tasks: 6, zone: 'east', runMs: 600_000 });
  await w.until('it runs', () => w.runningOf('req-long') === 6);
  const lost = machinesOfPart(w, 0, 'req-long');
  assert.ok(lost.length > 0);
  // No deletion through the cloud settles what they hold.
  w.cloudOutage = true;
  w.killNode(0);
  if (trouble === 'cut') w.cutOff(lost);
  else for (const m of lost) w.deaf.add(m);
  w.clock.after(lastsMs, () => {
    w.heal(lost);
    for (const m of lost) w.deaf.delete(m);
  });
  await w.step(75_000);
  w.assertRules(`${trouble} for ${lastsMs} ms`);
  assert.equal(
    w.runningOf('req-long'),
    6,
    `${trouble} for ${lastsMs} ms, all run again:\n${w.lines.join('\n')}`,
  );
  await w.step(90_000);
  w.assertRules(`${trouble} for ${lastsMs} ms`);
  assert.equal(w.runningOf('req-long'), 6);
}

const wideTasks = { tasks: 2, cpus: 4, image: 'another' };

test('10. a leader loses state service and peers, keeps its workers and users; cancelled through the new one', async () => {
  for (const cancelAfter of [0, 1500, 4000, 7000, 12_000]) {
    for (const phase of [0, 500, 1000]) await leaderAlone(cancelAfter, phase);
  }
});

async function leaderAlone(cancelAfter: number, phase: number): Promise<void> {
  const w = await worldWith(6, 2);
  await w.submit(0, 'req-over', { tasks: 1, zone: 'east', runMs: 600_000 });
  await w.submit(0, 'req-long', { ...wideTasks, zone: 'east', runMs: 600_000, team: 'blue' });
  await w.until('all runs', () => w.runningOf('req-over') + w.runningOf('req-long') === 3);
  await w.step(phase);
  const kept = machinesOfPart(w, 0, 'req-over');
  const moved = machinesOfPart(w, 0, 'req-long');
  assert.ok(kept.length > 0 && moved.length > 0 && !moved.some((m) => kept.includes(m)));
  // Some machines of the part reach only the old leader from now on, some only the new one, one reaches both.
  w.cutOff(kept, [1, 2]);
  w.cutOff(moved, [0]);
  w.state.cut.add('n0');
  for (const n of [1, 2]) w.cuts.add(`n0|n${n}`);
  // Nor can the new leader have them deleted.
  w.cloudOutage = true;
  w.trace('n0 is cut from the state service and its peers');
  w.clock.after(cancelAfter, () => w.cancel('req-over', 1));
  for (let i = 0; i < 80; i += 1) {
    if (i % 4 === 0) void w.request(0, 'POST', '/v2/runs/req-over/abort');
    if (i % 8 === 0) void w.request(0, 'POST', '/v2/runs', w.submission(`req-alone-${i}`, { tasks: 1 }));
    await w.step(500);
  }
  assert.equal(w.judge.finalState('req-over'), 'cancelled');
  assert.notEqual(w.ownerOf(0), 0);
  w.cuts.clear();
  w.state.cut.clear();
  w.cloudOutage = false;
  await w.step(40_000);
  w.assertRules(`cancelled ${cancelAfter} ms after the cut, ${phase} ms into a report interval`);
  assert.equal(w.runningOf('req-over'), 0);
  assert.equal(w.runningOf('req-long'), 2, w.lines.join('\n'));
}
