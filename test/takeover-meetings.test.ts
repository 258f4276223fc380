/**
 * Changes of leader that meet another trouble. Each meeting is brought about by events (a commit, a start, an order on
 * its way), over several phases, and judged by the rules of the protocol; the judge also looks at every start.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call, Outcome } from '../src/http/client.js';
import type { StateStandin } from './standins/state.js';
import type { WorkerStandin } from './standins/worker.js';
import { SMALL, World } from './standins/world.js';

type Transaction = Parameters<StateStandin['apply']>[0];

const NODES = [0, 1, 2];

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

  constructor() {
    super({ ...SMALL, tuning: 'fleet.idle.return.ms = 300000' });
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
    this.state.call = async (node: string, request: Call): Promise<Outcome> => {
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
  ownerOf(part: number): number {
    const owner = (this.state.rows.get(`c/parts/${part}`)?.data as { owner: string | null }).owner;
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
  atTakeover(part: number, act: (successor: number) => void): void {
    const before = this.onCommit;
    let over = false;
    this.onCommit = (body) => {
      before(body);
      const claim = claimIn(body);
      if (over || claim?.part !== String(part) || claim.node === part) return;
      over = true;
      this.trace(`n${claim.node} has claimed part ${part}`);
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
async function worldWith(east: number, west: number): Promise<MeetingWorld> {
  const w = new MeetingWorld();
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

/** Both teams at their limits of 24 CPUs, in every part; as much again waits, with room for all of it. */
async function teamsAtTheirLimits(): Promise<MeetingWorld> {
  const w = await worldWith(8, 4);
  for (const team of ['red', 'blue']) await w.submit(0, `req-${team}`, { team, tasks: 12, runMs: 600_000 });
  await w.until('both are at their limits', () => w.runningOf('req-red') + w.runningOf('req-blue') === 24);
  for (const team of ['red', 'blue'])
    await w.submit(1, `req-next-${team}`, { team, tasks: 12, runMs: 600_000 });
  await w.step(1000);
  assert.equal(w.runningOf('req-next-red'), 0);
  return w;
}

const machinesOfPart = (w: MeetingWorld, part: number, job: string): string[] =>
  w.holdersOf(job).filter((m) => partOf(w, m) === part);

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
      const lost = ['req-red', 'req-blue'].flatMap((job) => machinesOfPart(w, 0, job));
      strike(w, trouble, lost);
      w.clock.after(backAfter, () => recover(w, lost));
      await w.step(phase);
      for (const team of ['red', 'blue']) w.cancel(`req-${team}`, 1);
      await w.until('both are cancelled', () => bothCancelled(w));
      const running = await endLeader(w);
      assert.ok(running >= 8, `tasks of cancelled jobs were there when the part was claimed: ${running}`);
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
  w.state.slow = (body) => {
    if (claimed || claimIn(body)?.part !== '0') return 0;
    claimed = true;
    w.clock.after(asked, () => w.cancel('req-over', 1));
    return applied;
  };
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

test('3. a new machine gets work at once while writes lag, and its leader ends', async () => {
  const fates = ['normal', 'lose-answer', { holdMs: 700 }] as const;
  for (const fate of fates) {
    for (const endAfter of [0, 120, 900]) {
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
