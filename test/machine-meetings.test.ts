/**
 * Two troubles at once, at machines: held and lost commands, machines that hang, are deaf or mute, zones cut off, with
 * and without a change of owner. Each is brought about by an event and judged by the rules, in several phases.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order, WorkerStandin } from './standins/worker.js';
import { World, type JobOptions } from './standins/world.js';

const NODES = [0, 1, 2];

async function worldWith(...zones: string[]): Promise<World> {
  const w = new World();
  for (const zone of zones) w.addWorker('large', zone);
  await w.start();
  return w;
}

const machines = (w: World, zone?: string): WorkerStandin[] =>
  [...w.workers.values()].filter((m) => zone === undefined || m.zone === zone);

const matching = (w: World, pattern: RegExp): number => w.lines.filter((l) => pattern.test(l)).length;
const starts = (w: World, leg: string): number => matching(w, new RegExp(` runs ${leg}$`));
const ends = (w: World, leg: string): number => matching(w, new RegExp(` ends ${leg}: done$`));

/** Steps until something holds; how long that took, in milliseconds. */
async function until(w: World, what: string, holds: () => boolean, within = 60_000): Promise<number> {
  const from = w.clock.now();
  while (!holds()) {
    assert.ok(w.clock.now() - from < within, `${what}: not within ${within} ms\n${w.lines.join('\n')}`);
    await w.step(50);
  }
  return w.clock.now() - from;
}

/** The owner of a part as the state service says, by its number; null: nobody. */
function ownerOf(w: World, shard: number): number | null {
  const row = w.state.rows.get(`c/parts/${shard}`)?.data as { owner: string | null } | undefined;
  return row?.owner ? Number(row.owner.slice(1)) : null;
}

/** Asks all nodes about a job; done is only said when every task has ended well. */
async function poll(w: World, id: string): Promise<string[]> {
  const said: string[] = [];
  for (const n of NODES) {
    const answer = await w.ask(n, 'GET', `/v2/runs/${id}`);
    said.push(answer.status === 200 ? (answer.body['status'] as string) : String(answer.status));
    if (answer.status !== 200 || answer.body['status'] !== 'done') continue;
    const tasks = w.judge.described(id)?.tasks ?? 0;
    for (let i = 0; i < tasks; i += 1) assert.ok(ends(w, `${id}/${i}`) > 0, `not_done ${id}/${i}`);
  }
  return said;
}

const rulesHold = (w: World, phase: unknown): void =>
  assert.equal(
    w.broken.join('; '),
    '',
    `${w.broken.join('; ')} in phase ${JSON.stringify(phase)}\n${w.lines.join('\n')}`,
  );

/** Tasks that started, or are on a machine, after their job's user was told that it is cancelled. */
const startsAfter = (w: World, id: string, from: number): number =>
  w.lines.slice(from).filter((l) => l.includes(` runs ${id}/`)).length;

/** Runs `act` once, when the first order that fits has been executed. */
function onceExecuted(
  w: World,
  fits: (o: Order, m: WorkerStandin) => boolean,
  act: (m: WorkerStandin) => void,
): void {
  let acted = false;
  w.onOrder = (m, o) => {
    if (acted || !fits(o, m)) return;
    acted = true;
    act(m);
  };
}

const orderIn = (call: { body?: unknown }, kind: Order['order']): boolean =>
  JSON.stringify(call.body ?? {}).includes(`"order":"${kind}"`);

const ARRAY: JobOptions = { tasks: 6, runMs: 12_000, zone: 'east' };

test('jobs bound to one zone, arrays too, lose machines one after the other: nothing runs elsewhere, all ends', async () => {
  for (const lost of [1, 2, 3]) {
    const w = await worldWith('east', 'east', 'east', 'west', 'west');
    w.capacity = 3;
    let events = 0;
    w.onOrder = (m, o) => {
      if (o.order !== 'launch' || m.zone !== 'east' || events >= lost) return;
      events += 1;
      // While the task fetches its image, or just after it began.
      w.clock.after(events % 2 === 0 ? 50 : 400, () => w.removeWorker(m.id, 'lost'));
    };
    await w.submit(1, 'req-1', ARRAY);
    await w.submit(0, 'req-2', { service: true, tasks: 2, zone: 'east' });
    await w.submit(2, 'req-3', { tasks: 2, runMs: 8000, zone: 'east', team: 'blue' });
    await w.step(90_000);
    rulesHold(w, lost);
    for (const m of machines(w, 'west')) assert.equal(m.tasks.size, 0);
    assert.deepEqual(await poll(w, 'req-1'), ['done', 'done', 'done']);
    assert.deepEqual(await poll(w, 'req-3'), ['done', 'done', 'done']);
    assert.ok((await poll(w, 'req-2')).includes('running'));
    for (let i = 0; i < 6; i += 1) assert.equal(ends(w, `req-1/${i}`), 1);
    rulesHold(w, lost);
  }
});

/** The zone west with its controller and machines loses all else, but keeps working inside. */
function cutWest(w: World): void {
  const inside = ['n1', ...machines(w, 'west').map((m) => m.id)];
  const outside = ['n0', 'n2', ...machines(w, 'east').map((m) => m.id)];
  for (const a of inside) for (const b of outside) w.cuts.add(`${a}|${b}`);
  w.state.cut.add('n1');
}

function healWest(w: World): void {
  w.cuts.clear();
  w.state.cut.clear();
}

test('a job whose tasks must be together loses machines, then its zone: its tasks are never in two zones', async () => {
  for (const ended of [0, 1, 2]) {
    const w = await worldWith('east', 'east', 'west', 'west');
    const zones = new Set<string>();
    for (let i = 0; i < 3; i += 1) w.taskRunMs.set(`req-1/${i}`, 4000 + 4000 * i);
    const body = { ...w.submission('req-1', { tasks: 3, cpus: 4 }), samePlace: true };
    await w.ask(0, 'POST', '/v2/runs', body);
    await until(w, 'all run', () => [0, 1, 2].every((i) => starts(w, `req-1/${i}`) > 0));
    await until(w, 'an end', () => [0, 1, 2].filter((i) => ends(w, `req-1/${i}`) > 0).length >= ended);
    // Until the end is in the job's record.
    await w.step(ended > 0 ? 2500 : 50);
    const zone = machines(w).find((m) => m.active().length > 0)?.zone ?? '';
    const busy = machines(w, zone).filter((m) => m.active().length > 0);
    // One that holds a task, then the others of the zone; a new one comes much later.
    for (const m of [...busy, ...machines(w, zone)]) {
      w.removeWorker(m.id, 'lost');
      await w.step(1500);
    }
    for (let s = 0; s < 60; s += 1) {
      await w.step(1000);
      const now = new Set(
        machines(w)
          .filter((m) => m.active().length > 0)
          .map((m) => m.zone),
      );
      for (const z of now) zones.add(z);
      assert.ok(now.size <= 1, `in two zones at once\n${w.lines.join('\n')}`);
    }
    rulesHold(w, ended);
    // The strictest reading: once a task of the job has ended in a zone, the others belong there too.
    if (ended > 0) assert.ok(!zones.has(zone === 'east' ? 'west' : 'east'), w.lines.join('\n'));
    else
      assert.equal(
        ends(w, 'req-1/2'),
        1,
        w.lines.join('\n') + 'none had ended: all of it moved to the other zone',
      );
    w.addWorker('large', zone);
    w.addWorker('large', zone);
    await w.step(30_000);
    assert.deepEqual(await poll(w, 'req-1'), ['done', 'done', 'done']);
    rulesHold(w, ended);
  }
});

test('a zone with workers and a controller is cut off for longer than the lease, and back: jobs cancelled meanwhile end', async () => {
  // When the cut begins after the launch was executed, how long it lasts, and when the user cancels.
  for (const [after, lasts, cancel] of [
    [0, 14_000, 500],
    [300, 20_000, 3000],
    [1200, 34_000, 9000],
    [700, 50_000, 100],
  ] as const) {
    const w = await worldWith('east', 'west', 'east', 'west');
    let cutAt = 0;
    onceExecuted(
      w,
      (o, m) => o.order === 'launch' && m.zone === 'west',
      () =>
        w.clock.after(after, () => {
          cutWest(w);
          cutAt = w.clock.now();
        }),
    );
    await w.submit(1, 'req-1', { tasks: 3, runMs: 200_000, zone: 'west' });
    await w.submit(1, 'req-2', { tasks: 2, runMs: 30_000, zone: 'west' });
    await w.submit(0, 'req-3', { tasks: 4, runMs: 30_000, team: 'blue' });
    await until(w, 'the cut', () => cutAt > 0);
    await w.step(cancel);
    await w.ask(0, 'POST', '/v2/runs/req-1/abort');
    const told = w.lines.length;
    await w.step(Math.max(50, lasts - (w.clock.now() - cutAt)));
    healWest(w);
    await w.step(80_000);
    rulesHold(w, [after, lasts, cancel]);
    assert.equal(startsAfter(w, 'req-1', told), 0, 'no start after the user was told');
    assert.deepEqual(await poll(w, 'req-1'), ['cancelled', 'cancelled', 'cancelled']);
    for (const id of ['req-2', 'req-3']) assert.deepEqual(await poll(w, id), ['done', 'done', 'done']);
    rulesHold(w, [after, lasts, cancel]);
  }
});

test('jobs of two or three tasks end far apart across a change of leader: no end is lost, repeated or foretold', async () => {
  for (const [tasks, delay, stateAway] of [
    [2, 0, false],
    [2, 60, false],
    [3, 300, false],
    [3, 900, true],
    [2, 1600, true],
    [3, 2600, false],
  ] as const) {
    const w = await worldWith('east', 'west', 'east');
    for (let i = 0; i < tasks; i += 1) w.taskRunMs.set(`req-1/${i}`, 3000 + 9000 * i);
    let owner: number | null = null;
    await w.submit(0, 'req-1', { tasks, cpus: 4, runMs: 3000 });
    // Progress is held back, so that the end of the first task is known to its machine and owner alone.
    if (stateAway) w.state.slow = (body) => (JSON.stringify(body).includes('c/live/req-1') ? 4000 : 0);
    await until(w, 'the first end', () => ends(w, 'req-1/0') > 0);
    await w.step(Math.max(50, delay));
    for (let shard = 0; shard < 3 && owner === null; shard += 1) {
      const record = w.state.rows.get('c/live/req-1')?.data as { parts: number[][] } | undefined;
      if (record?.parts.some((a) => (a[0] as number) <= 0 && a[2] === shard)) owner = ownerOf(w, shard);
    }
    w.killNode(owner ?? 0);
    const died = w.clock.now();
    while (w.clock.now() - died < 30_000 + 9000 * tasks) {
      await poll(w, 'req-1');
      await w.step(400);
    }
    w.state.slow = () => 0;
    rulesHold(w, [tasks, delay]);
    for (let i = 0; i < tasks; i += 1) {
      assert.equal(ends(w, `req-1/${i}`), 1, `task ${i} ends once\n${w.lines.join('\n')}`);
      assert.equal(starts(w, `req-1/${i}`), 1, `task ${i} starts once\n${w.lines.join('\n')}`);
    }
    const said = await poll(w, 'req-1');
    assert.equal(said.filter((s) => s === 'done').length, 2, said.join());
  }
});

test('a command or its answer is held up, and the machine goes on: nothing twice, nothing after a cancellation', async () => {
  for (const kind of ['launch', 'kill', 'clear'] as const)
    for (const how of ['held', 'answer lost', 'hanging'] as const)
      for (const phase of [2200, 2800, 6000, 11_000]) {
        const w = await worldWith('east', 'east', 'west', 'east');
        w.hangingKeepsOrders = true;
        let troubles = 0;
        const trouble = (call: { body?: unknown }): boolean => {
          if (!orderIn(call, kind) || troubles >= 3) return false;
          troubles += 1;
          return true;
        };
        if (how === 'held') w.holdOrders = (_, __, call) => (trouble(call) ? phase : null);
        if (how === 'answer lost') w.loseAnswer = (_, __, call) => trouble(call);
        if (how === 'hanging')
          onceExecuted(
            w,
            (o) => o.order === kind,
            (m) => {
              m.hanging = true;
              w.clock.after(phase, () => w.resume(m.id));
            },
          );
        await w.submit(0, 'req-1', { tasks: 6, runMs: 2500 });
        await w.submit(1, 'req-2', { tasks: 3, runMs: 200_000, team: 'blue' });
        // So short that it has ended, by the launch in a report's answer, before a direct launch arrives late.
        await w.submit(2, 'req-4', { tasks: 2, runMs: 150 });
        await w.submit(2, 'req-3', { service: true, tasks: 2, rank: 'critical', team: 'blue' });
        await w.step(1500);
        await w.ask(0, 'POST', '/v2/runs/req-2/abort');
        const told = w.lines.length;
        await w.step(45_000);
        rulesHold(w, [kind, how, phase]);
        assert.equal(
          startsAfter(w, 'req-2', told),
          0,
          `starts after the cancellation\n${w.lines.join('\n')}`,
        );
        assert.deepEqual(await poll(w, 'req-1'), ['done', 'done', 'done'], `${kind} ${how} ${phase}`);
        for (const leg of ['1/0', '1/1', '1/2', '1/3', '1/4', '1/5', '4/0', '4/1'])
          assert.equal(starts(w, `req-${leg}`), 1, `${kind} ${how} ${phase} ${leg}\n${w.lines.join('\n')}`);
        assert.ok((await poll(w, 'req-3')).includes('running'));
        rulesHold(w, [kind, how, phase]);
      }
});

test('machines reach no controller while commands reach them: their tasks end by lease, also after a change of leader', async () => {
  for (const [killOwner, lasts] of [
    [false, 20_000],
    [false, 50_000],
    [true, 20_000],
    [true, 70_000],
  ] as const) {
    const w = await worldWith('east', 'east', 'west', 'west');
    let muted: string | null = null;
    onceExecuted(
      w,
      (o, m) => o.order === 'launch' && m.zone === 'west',
      (m) => {
        muted = m.id;
        for (const x of machines(w, 'west')) w.mute.add(x.id);
        if (killOwner) w.clock.after(700, () => w.killNode(1));
      },
    );
    await w.submit(1, 'req-1', { tasks: 6, runMs: 14_000 });
    await w.submit(0, 'req-2', { tasks: 2, runMs: 200_000, zone: 'west', team: 'blue' });
    await until(w, 'mute', () => muted !== null);
    await w.step(4000);
    await w.ask(2, 'POST', '/v2/runs/req-2/abort');
    const told = w.lines.length;
    await w.step(lasts - 4000);
    // Orders do not renew a lease: what ran there at first is gone, and its tasks run elsewhere by now.
    rulesHold(w, [killOwner, lasts]);
    assert.ok(matching(w, /lease over, forgets/) > 0);
    assert.equal(startsAfter(w, 'req-2', told), 0);
    if (lasts >= 50_000)
      for (let i = 0; i < 6; i += 1)
        assert.equal(ends(w, `req-1/${i}`), 1, `mute ${lasts}\n${w.lines.join('\n')}`);
    w.mute.clear();
    await w.step(60_000);
    rulesHold(w, [killOwner, lasts]);
    for (const n of killOwner ? [0, 2] : NODES)
      assert.equal((await w.ask(n, 'GET', '/v2/runs/req-1')).body['status'], 'done');
    for (let i = 0; i < 6; i += 1) assert.ok(ends(w, `req-1/${i}`) === 1);
  }
});

test('all controllers are away, for less and for more than the lease: nothing twice, done stays done, all ends', async () => {
  for (const away of [400, 5000, 11_500, 12_500, 30_000]) {
    const w = await worldWith('east', 'east', 'east', 'east', 'west', 'west');
    await w.submit(0, 'req-0', { tasks: 1, runMs: 500 });
    await w.step(3000);
    await poll(w, 'req-0');
    await w.submit(0, 'req-1', { tasks: 8, runMs: 15_000 });
    await w.submit(1, 'req-2', { service: true, tasks: 2, spread: true, team: 'blue' });
    let killed = false;
    onceExecuted(
      w,
      (o) => o.order === 'launch',
      () => {
        killed = true;
        for (const n of NODES) w.killNode(n);
      },
    );
    await w.submit(2, 'req-3', { tasks: 3, runMs: 9000, team: 'blue' });
    await until(w, 'all are killed', () => killed);
    // One that holds tasks is reached a while after the others.
    const slow = machines(w).find((m) => m.active().length > 0);
    if (slow) for (const n of NODES) w.cuts.add(`n${n}|${slow.id}`);
    await w.step(away);
    await w.startNode(2);
    await w.step(900);
    await w.startNode(0);
    await w.step(4000);
    w.cuts.clear();
    await w.startNode(1);
    await w.step(75_000);
    rulesHold(w, away);
    for (const id of ['req-0', 'req-1', 'req-3'])
      assert.deepEqual(await poll(w, id), ['done', 'done', 'done'], `${away} ${id}`);
    assert.equal(machines(w).flatMap((m) => m.active()).length, 2, 'the replicas run');
    rulesHold(w, away);
  }
});

test('old reports arrive after newer ones, from an earlier session, attempt or owner: they free and start nothing', async () => {
  for (const phase of [0, 1, 2, 3]) {
    const w = await worldWith('east', 'east', 'west', 'west');
    await w.submit(0, 'req-1', { tasks: 4, runMs: 9000, saveS: 1 });
    await w.submit(1, 'req-2', { service: true, tasks: 2, spread: true, team: 'blue' });
    await w.step(2500);
    const busy = machines(w).filter((m) => m.active().length > 0);
    // Phases: the same session; a new session; a new owner; a new owner that has just begun.
    const first = busy[0] as WorkerStandin;
    if (phase === 1) first.restart();
    if (phase === 2) w.killNode(0);
    await w.step(phase === 2 ? 2500 : 700);
    for (let again = 0; again < 3; again += 1) {
      if (phase === 3 && again === 1) {
        for (const n of NODES) w.killNode(n);
        for (const n of NODES) await w.startNode(n);
      }
      for (const m of busy)
        for (const back of [1, 2, 4])
          for (const n of NODES) {
            const body = (w.sent.get(m.id) ?? []).at(-1 - back);
            if (body) void w.request(n, 'POST', '/agent/beat', body);
            await w.step(phase === 3 ? 50 : 150);
          }
      await w.step(1900);
    }
    await w.step(60_000);
    rulesHold(w, phase);
    const said = await poll(w, 'req-1');
    assert.ok(said.filter((s) => s === 'done').length >= 2, `phase ${phase}: ${said.join()}`);
    assert.equal(machines(w).flatMap((m) => m.active()).length, 2, 'the replicas run');
    if (phase === 0) for (let i = 0; i < 4; i += 1) assert.equal(starts(w, `req-1/${i}`), 1);
    rulesHold(w, phase);
  }
});

test('a cancelled task goes on after its machine hung, the kill lost, with and without a change of leader', async () => {
  for (const [hangs, killOwner, orders] of [
    [3000, false, 'lost'],
    [9000, false, 'kept'],
    [11_500, false, 'lost'],
    [9000, true, 'lost'],
    [11_500, true, 'kept'],
    [5000, true, 'lost'],
  ] as const) {
    const w = await worldWith('east', 'east', 'west');
    w.hangingKeepsOrders = orders === 'kept';
    await w.submit(0, 'req-1', { tasks: 4, runMs: 300_000 });
    await w.submit(1, 'req-2', { service: true, tasks: 2, team: 'blue' });
    await until(w, 'it runs', () => [0, 1, 2, 3].every((i) => starts(w, `req-1/${i}`) > 0));
    await w.step(1200);
    const hung = machines(w).filter((m) => m.active().some((t) => t.leg.startsWith('req-1/')));
    for (const m of hung) m.hanging = true;
    w.trace(`${hung.map((m) => m.id).join(' ')} hang`);
    const hungAt = w.clock.now();
    await w.ask(2, 'POST', '/v2/runs/req-1/abort');
    const told = w.lines.length;
    // Kills that reach a machine just as it goes on are lost as well: only its reports tell that the tasks live.
    w.holdOrders = (_, __, call) => (orderIn(call, 'kill') ? 1e9 : null);
    if (killOwner) {
      await w.step(600);
      w.killNode(0);
    }
    await w.step(Math.max(50, hangs - (w.clock.now() - hungAt)));
    for (const m of hung) w.resume(m.id);
    w.trace('they go on');
    await w.step(45_000);
    rulesHold(w, [hangs, killOwner, orders]);
    assert.equal(startsAfter(w, 'req-1', told), 0);
    for (const m of machines(w)) assert.ok(!m.active().some((t) => t.leg.startsWith('req-1/')));
  }
});

test('two troubles at one machine: deaf and a new leader, deaf and then hanging, sick and deaf', async () => {
  for (const trouble of ['leader', 'leader at once', 'hanging', 'sick'] as const) {
    const w = await worldWith('east', 'east', 'west', 'west');
    let deaf: WorkerStandin | null = null;
    onceExecuted(
      w,
      (o) => o.order === 'launch',
      (m) => {
        deaf = m;
        w.deaf.add(m.id);
        // It cannot be deleted either, which would settle everything that it may hold.
        w.cloudOutage = trouble !== 'sick';
        if (trouble === 'sick') m.sick = true;
        if (trouble === 'leader at once') w.killNode(0);
      },
    );
    await w.submit(0, 'req-1', { tasks: 4, runMs: 20_000 });
    await w.submit(1, 'req-2', { service: true, tasks: 2, team: 'blue' });
    await w.submit(1, 'req-3', { tasks: 3, runMs: 100_000, team: 'blue' });
    await until(w, 'deaf', () => deaf !== null);
    const m = deaf as unknown as WorkerStandin;
    await w.step(2500);
    let launches = 0;
    w.holdOrders = (_, id, call) => {
      if (id === m.id && orderIn(call, 'launch')) launches += 1;
      return null;
    };
    if (trouble === 'leader') w.killNode(0);
    if (trouble === 'hanging') {
      m.hanging = true;
      w.clock.after(7000, () => w.resume(m.id));
    }
    await w.step(500);
    await w.ask(2, 'POST', '/v2/runs/req-3/abort');
    const told = w.lines.length;
    await w.step(75_000);
    assert.equal(launches, 0, `${trouble}: nothing new is sent to a machine that is not reached`);
    for (let i = 0; i < 4; i += 1)
      assert.ok(ends(w, `req-1/${i}`) > 0, `${trouble}: what it held runs elsewhere\n${w.lines.join('\n')}`);
    w.deaf.clear();
    w.cloudOutage = false;
    m.sick = false;
    await w.step(30_000);
    rulesHold(w, trouble);
    assert.equal(startsAfter(w, 'req-3', told), 0);
    const said = await poll(w, 'req-1');
    assert.ok(said.filter((s) => s === 'done').length >= 2, `${trouble}: ${said.join()}`);
    assert.equal(machines(w).flatMap((x) => x.active()).length, 2, `${trouble}: the replicas run`);
    rulesHold(w, trouble);
  }
});
