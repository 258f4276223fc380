/** The added troubles: heard but not reached, late copies, cut off with its workers, back at once; as kept traces. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assertTraceMatches } from '../support/recorded-trace.js';
import { SimulatedCluster } from '../support/simulated-cluster.js';

async function startClusterWithMachines(...zones: string[]): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster();
  for (const zone of zones) cluster.addWorker('large', zone);
  await cluster.start();
  return cluster;
}

const matchingLines = (cluster: SimulatedCluster, pattern: RegExp): string[] =>
  cluster.traceLines.filter((l) => pattern.test(l));
const countTokenWrites = (cluster: SimulatedCluster): number => cluster.store.countWrites('c/token');

test('a machine is heard but cannot be reached: nothing starts there, its work moves elsewhere, it is replaced', async () => {
  const cluster = await startClusterWithMachines('east', 'east', 'west', 'west', 'east');
  await cluster.submit(0, 'req-1', { tasks: 4, runMs: 90000, zone: 'east' });
  await cluster.step(1000);
  const unreachable =
    [...cluster.workers.values()].find((machine) => machine.runningTasks().length > 0)?.id ?? '';
  cluster.trace(`${unreachable} hears nothing from now on`);
  cluster.unreachableMachines.add(unreachable);
  const before = countTokenWrites(cluster);
  await cluster.submit(1, 'req-2', { tasks: 6, runMs: 2000 });
  await cluster.step(60000);
  assertTraceMatches(cluster, 'heard-not-reached');
  const since = cluster.traceLines.findIndex((l) => l.includes('hears nothing'));
  assert.equal(cluster.traceLines.slice(since).filter((l) => l.includes(`${unreachable} runs`)).length, 0);
  assert.ok(cluster.traceLines.some((l) => l.endsWith(`${unreachable} is returned`)));
  assert.ok(countTokenWrites(cluster) - before <= 2, 'no storm of tokens');
});

test('an unreachable machine does not keep a shard unreconciled after a failover', async () => {
  const cluster = await startClusterWithMachines('east', 'east', 'west');
  await cluster.submit(0, 'req-1', { tasks: 3, cpus: 4, runMs: 30000, zone: 'east' });
  await cluster.step(1000);
  cluster.unreachableMachines.add('m-0');
  for (const node of [0, 1, 2]) cluster.killNode(node);
  await cluster.step(4000);
  await cluster.start();
  await cluster.step(75000);
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'deaf-after-takeover');
  assert.equal(matchingLines(cluster, /GET \/req-1 .* done/).length, 1);
});

test('late copies of heartbeats: after newer ones, a failover, a restart, a new agent epoch, a deletion', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.submit(0, 'req-1', { tasks: 2, runMs: 50000 });
  await cluster.step(4000);
  const holder = [...cluster.workers.values()].find((machine) => machine.runningTasks().length > 0)?.id ?? '';
  assert.equal(await cluster.replayHeartbeat(holder, 2, 0), 503, 'older than what is known');
  cluster.killNode(0);
  await cluster.step(6000);
  // The successor hears first of what was, from before the tasks started and from when they ran.
  for (const node of [1, 2]) await cluster.replayHeartbeat(holder, 4, node);
  await cluster.startNode(0);
  await cluster.replayHeartbeat(holder, 3, 0);
  await cluster.step(10000);
  for (const node of [0, 1, 2]) cluster.networkCuts.add(`n${node}|${holder}`);
  await cluster.step(20000);
  for (const node of [0, 1, 2]) cluster.networkCuts.delete(`n${node}|${holder}`);
  await cluster.step(3000);
  await cluster.replayHeartbeat(holder, 4, 0);
  cluster.removeWorker('m-1', 'taken by the cloud');
  await cluster.step(100000);
  for (const node of [0, 1, 2]) cluster.killNode(node);
  await cluster.start();
  for (const node of [0, 1, 2])
    assert.notEqual(await cluster.replayHeartbeat('m-1', 0, node), 200, 'nobody is there any more');
  await cluster.step(5000);
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'late-copies');
  assert.equal([...cluster.store.entries.keys()].filter((k) => k === 'c/machines/m-1').length, 0);
});

test('a copy of a heartbeat that lists a task proves nothing before the shard is reconciled', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.submit(0, 'req-1', { tasks: 1, runMs: 120000, zone: 'east' });
  await cluster.step(3000);
  const first = [...cluster.workers.values()].find((machine) => machine.runningTasks().length > 0)?.id ?? '';
  const other = first === 'm-0' ? 'm-2' : 'm-0';
  // It loses its lease, and the task starts on the other machine.
  for (const node of [0, 1, 2]) cluster.networkCuts.add(`n${node}|${first}`);
  await cluster.step(20000);
  for (const node of [0, 1, 2]) cluster.networkCuts.delete(`n${node}|${first}`);
  await cluster.step(4000);
  assert.equal(cluster.workers.get(other)?.runningTasks().length, 1);
  // All restart; only the first machine reaches them, and an old copy says that the task is there. The other cannot
  // be deleted either, which would settle it.
  cluster.cloudOutage = true;
  for (const node of [0, 1, 2]) cluster.killNode(node);
  for (const node of [0, 1, 2])
    for (const machine of [first, other]) cluster.networkCuts.add(`n${node}|${machine}`);
  await cluster.step(500);
  await cluster.start();
  const copies = (cluster.sentHeartbeats.get(first) ?? []).filter((r) =>
    JSON.stringify(r).includes('running'),
  );
  const back =
    (cluster.sentHeartbeats.get(first) ?? []).length -
    1 -
    (cluster.sentHeartbeats.get(first) ?? []).indexOf(copies.at(-1) as object);
  for (const node of [0, 1, 2]) await cluster.replayHeartbeat(first, back, node);
  for (const node of [0, 1, 2]) cluster.networkCuts.delete(`n${node}|${first}`);
  await cluster.step(4000);
  assertTraceMatches(cluster, 'copy-proves-nothing');
});

test('a controller keeps its workers and loses all else: it stops commanding in time, answers users at once, commits nothing', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.submit(0, 'req-1', { service: true, tasks: 2, zone: 'east' });
  await cluster.step(2000);
  // Its last write is still on its way when the cut begins.
  cluster.store.transactionFate = (node) => (node === 'n0' ? { holdMs: 30000 } : 'normal');
  void cluster.submit(0, 'req-2', { tasks: 1 });
  await cluster.step(20);
  cluster.store.disconnectedNodes.add('n0');
  for (const node of ['n1', 'n2']) cluster.networkCuts.add(`n0|${node}`);
  cluster.trace('n0 has only its workers left');
  await cluster.step(2500);
  await cluster.sendUserRequest(0, 'POST', '/v2/runs', cluster.submissionBody('req-3'));
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-1');
  await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-1/abort');
  await cluster.step(6000);
  let health = await cluster.request(0, 'GET', '/up');
  for (let probe = 0; probe < 4; probe += 1) {
    await cluster.step(1000);
    health = await cluster.request(0, 'GET', '/up');
  }
  cluster.trace(`n0 /up: ${health?.status}`);
  await cluster.step(40000);
  cluster.store.transactionFate = () => 'normal';
  cluster.store.disconnectedNodes.clear();
  cluster.networkCuts.clear();
  cluster.trace('n0 is back');
  await cluster.step(15000);
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-1');
  await cluster.sendUserRequest(2, 'GET', '/v2/runs/req-2');
  assertTraceMatches(cluster, 'only-its-workers');
  assert.equal(health?.status, 503);
});

test('a controller restarts during its failover, and the write of its earlier incarnation arrives late', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.submit(0, 'req-1', { tasks: 3, runMs: 40000 });
  await cluster.step(1000);
  cluster.killNode(0);
  cluster.store.transactionFate = (_, body) =>
    JSON.stringify(body).includes('c/token') ? { holdMs: 9000 } : 'normal';
  await cluster.startNode(0);
  await cluster.step(400);
  cluster.killNode(0);
  cluster.store.transactionFate = () => 'normal';
  await cluster.step(100);
  await cluster.startNode(0);
  await cluster.step(20000);
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-1');
  const shardEntries = [...cluster.store.entries].filter(([k]) => k.startsWith('c/parts/'));
  for (const [key, row] of shardEntries) cluster.trace(`${key} ${JSON.stringify(row.data)}`);
  assertTraceMatches(cluster, 'back-at-once');
  const tokens = shardEntries.map(([, row]) => (row.data as { token: number }).token);
  assert.equal(new Set(tokens).size, 3);
});

test('a zone recovers from a partition: its controller takes over once, and only when its own key exists', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east', 'west', 'east');
  await cluster.submit(0, 'req-1', { service: true, tasks: 4, spread: true });
  await cluster.step(3000);
  const inside = [
    'n1',
    ...[...cluster.workers.values()]
      .filter((machine) => machine.zone === 'west')
      .map((machine) => machine.id),
  ];
  const outside = ['n0', 'n2', ...[...cluster.workers.keys()].filter((machine) => !inside.includes(machine))];
  for (const near of inside) for (const far of outside) cluster.networkCuts.add(`${near}|${far}`);
  cluster.store.disconnectedNodes.add('n1');
  cluster.trace('the zone west is cut off');
  await cluster.step(40000);
  const before = countTokenWrites(cluster);
  cluster.networkCuts.clear();
  cluster.store.disconnectedNodes.clear();
  // It learns late that its key is gone.
  cluster.store.leaseDelayMs = 5000;
  cluster.trace('the zone west is back');
  await cluster.step(8000);
  cluster.store.leaseDelayMs = 0;
  await cluster.step(15000);
  cluster.trace(`claims since: ${countTokenWrites(cluster) - before}`);
  assertTraceMatches(cluster, 'zone-back');
  assert.equal(countTokenWrites(cluster) - before, 1, 'no claim follows a claim');
  const west = [...cluster.workers.values()].filter((machine) => machine.zone === 'west');
  assert.equal(west.length, 2, 'what was cut was not returned');
  assert.equal(
    west.reduce((sum, machine) => sum + machine.runningTasks().length, 0),
    2,
    'its replicas run again',
  );
});

test('a machine restarts in a new agent epoch: its tasks start again, commands of before do not', async () => {
  const cluster = await startClusterWithMachines('east', 'east');
  await cluster.submit(0, 'req-1', { tasks: 2, runMs: 30000 });
  await cluster.step(1000);
  const machine = [...cluster.workers.values()].find((x) => x.runningTasks().length > 0);
  const heldTasks = machine?.runningTasks().map((t) => t.taskId) ?? [];
  machine?.restart();
  cluster.trace(`${machine?.id} is back at once`);
  await cluster.step(8000);
  assertTraceMatches(cluster, 'machine-back-at-once');
  for (const taskId of heldTasks)
    assert.equal(matchingLines(cluster, new RegExp(`runs ${taskId}$`)).length, 2);
});

test('a machine back from a partition is reached before its heartbeat: its new agent epoch does not end with the old lease', async () => {
  const cluster = await startClusterWithMachines('east', 'west');
  await cluster.submit(0, 'req-1', { service: true, tasks: 1, zone: 'east' });
  await cluster.step(1000);
  for (const node of [0, 1, 2]) cluster.networkCuts.add(`n${node}|m-0`);
  // A call that fails: from now on the machine is called again and again.
  await cluster.sendUserRequest(1, 'POST', '/v2/runs/req-1/abort');
  await cluster.step(25000);
  cluster.machinesWithLostHeartbeats.add('m-0');
  for (const node of [0, 1, 2]) cluster.networkCuts.delete(`n${node}|m-0`);
  cluster.trace('m-0 answers calls again, and its reports do not arrive yet');
  await cluster.submit(0, 'req-2', { tasks: 4, runMs: 8000, zone: 'east' });
  await cluster.step(5000);
  cluster.machinesWithLostHeartbeats.delete('m-0');
  await cluster.step(12000);
  assertTraceMatches(cluster, 'back-before-its-report');
  for (let i = 0; i < 4; i += 1)
    assert.equal(matchingLines(cluster, new RegExp(`runs req-2/${i}$`)).length, 1);
});

test('after a failover a lost machine is deleted and delays the shard for seconds, not for its lease', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east', 'east');
  await cluster.submit(0, 'req-1', { tasks: 4, runMs: 5000, zone: 'east' });
  await cluster.submit(2, 'req-2', { tasks: 8, runMs: 5000, zone: 'east' });
  await cluster.step(1500);
  // Everything in the east ends at once: a machine, and the controller that would have noticed.
  const lostMachine = [...cluster.workers.values()].find(
    (machine) => machine.zone === 'east' && machine.runningTasks().length > 0,
  );
  for (const node of [0, 1, 2]) cluster.networkCuts.add(`n${node}|${lostMachine?.id}`);
  for (const node of [0, 2]) cluster.killNode(node);
  const from = cluster.clock.now();
  await cluster.step(14000);
  assertTraceMatches(cluster, 'gone-after-claim');
  const returned = cluster.traceLines.find((l) => l.includes(`${lostMachine?.id} is returned`));
  assert.ok(returned !== undefined && Number(returned.slice(0, 7)) * 1000 < from + 12_000);
  assert.equal(matchingLines(cluster, /runs req-1\/0$/).length, 2, 'its tasks run elsewhere');
});

test('the age of jobs outlives all controllers: time is counted on, and jobs say when they came', async () => {
  const cluster = await startClusterWithMachines('east');
  await cluster.submit(0, 'req-1', { service: true, tasks: 1 });
  const count = (): number => (cluster.store.entries.get('c/time')?.data as { ms: number }).ms;
  const came = (id: string): number => (cluster.store.entries.get(`c/live/${id}`)?.data as { at: number }).at;
  await cluster.step(6000);
  const from = cluster.clock.now() - count();
  const steps: string[] = [];
  for (let lifetime = 0; lifetime < 3; lifetime += 1) {
    await cluster.step(40_000);
    steps.push(`${Math.round((cluster.clock.now() - count() - from) / 10_000) * 10} s behind`);
    for (const node of [0, 1, 2]) cluster.killNode(node);
    await cluster.start();
  }
  await cluster.submit(1, 'req-2', { service: true, tasks: 1 });
  const apart = Math.round((came('req-2') - came('req-1')) / 10_000) * 10;
  cluster.trace(`counted: ${steps.join(', ')}; req-2 came ${apart} s after req-1`);
  assertTraceMatches(cluster, 'age-outlives-all');
  assert.ok(apart >= 100 && apart <= 130);
});

test('after all faults every job is known: all restarted, the store just back, many polls at once', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  for (let i = 0; i < 12; i += 1)
    await cluster.submit(i % 3, `req-${i}`, { service: i < 4, tasks: 1, cpus: 1, runMs: 900 });
  await cluster.step(6000);
  for (const node of [0, 1, 2]) cluster.killNode(node);
  cluster.store.outage = true;
  await cluster.start();
  await cluster.step(5000);
  cluster.store.endOutage();
  const known = new Map<string, number>();
  const from = cluster.clock.now();
  for (let round = 0; round < 40; round += 1) {
    for (let k = 0; k < 60; k += 1) {
      const id = `req-${k % 12}`;
      void cluster.request(k % 3, 'GET', `/v2/runs/${id}`).then((response) => {
        if (response?.status === 200 && !known.has(id)) known.set(id, cluster.clock.now() - from);
        if (response?.status === 404) cluster.violations.push(`forgotten ${id}`);
      });
    }
    await cluster.step(250);
  }
  assert.equal(known.size, 12);
  const slowest = Math.max(...known.values());
  cluster.trace(
    `all 12 jobs known ${Math.ceil(slowest / 1000)} s after the store was back, at 240 polls a second`,
  );
  assertTraceMatches(cluster, 'known-after-all');
  assert.ok(slowest < 20_000);
});

test('more questions than the store can settle: some are refused at once, and every job is still known', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.submit(0, 'req-0', { service: true, tasks: 1, cpus: 1 });
  await cluster.step(2000);
  // Each answer counts only while its user still waits for it.
  const counts = { inTime: 0, late: 0, refused: 0 };
  let known = 0;
  const poll = async (node: number, id: string): Promise<void> => {
    const from = cluster.clock.now();
    const answer = await cluster.request(node, 'GET', `/v2/runs/${id}`);
    const late = cluster.clock.now() - from > 2000;
    if (answer?.status === 503) counts.refused += 1;
    else if (late) counts.late += 1;
    else counts.inTime += 1;
    if (id === 'req-0' && answer?.status === 200 && !late) known += 1;
  };
  for (let round = 0; round < 80; round += 1) {
    for (let k = 0; k < 400; k += 1) void poll(0, `req-nobody-${round * 400 + k}`);
    void poll(0, 'req-0');
    await cluster.step(250);
  }
  await cluster.step(5000);
  const { inTime, late, refused } = counts;
  cluster.trace(
    `of 1,600 questions a second: ${inTime > 2000} in time, ${late} late, ${refused > 0} refused`,
  );
  assertTraceMatches(cluster, 'crowd-of-polls');
  assert.equal(late, 0);
  // Asked four times a second: known well within any 75 s.
  assert.ok(known >= 5, `known ${known} times`);
});

test('quota is transferred in a write conditional on the shard leader: late, after a failover, it moves nothing', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east', 'east');
  const quota = (body: unknown): boolean => JSON.stringify(body).includes('c/quota/');
  // The giver's write comes 12 s late, when a successor owns its part; nobody else's comes at all.
  cluster.store.transactionFate = (node, body) =>
    quota(body) ? { holdMs: node === 'n2' ? 12000 : 1e9 } : 'normal';
  // The west part uses all of its share: only n2 has some to give.
  await cluster.submit(1, 'req-0', { tasks: 4, runMs: 60000, zone: 'west' });
  await cluster.submit(2, 'req-1', { tasks: 8, runMs: 60000, zone: 'east' });
  await cluster.step(1500);
  cluster.killNode(2);
  await cluster.step(20000);
  cluster.trace(
    `shares of red: ${JSON.stringify(cluster.store.entries.get('c/quota/red')?.data ?? 'as at first')}`,
  );
  assertTraceMatches(cluster, 'late-share');
  assert.equal(cluster.store.entries.get('c/quota/red'), undefined);
});

test('tasks blocked by quota reserve no capacity, and tasks blocked by capacity keep no quota', async () => {
  const cluster = new SimulatedCluster();
  for (let i = 0; i < 4; i += 1) cluster.addWorker('large', 'east');
  await cluster.start();
  await cluster.step(2000);
  cluster.cloudOutage = true;
  // Red is at its limit in the east; blue comes to the west, where there is no machine.
  await cluster.submit(0, 'req-1', { tasks: 40, runMs: 60000 });
  await cluster.submit(2, 'req-2', { tasks: 40, runMs: 60000 });
  await cluster.step(6000);
  await cluster.submit(1, 'req-3', { tasks: 4, runMs: 60000, team: 'blue' });
  await cluster.step(3000);
  assertTraceMatches(cluster, 'limit-and-room');
  assert.equal(matchingLines(cluster, /runs req-[12]\//).length, 12, 'all of the limit is used');
  assert.equal(matchingLines(cluster, /runs req-3/).length, 4);
});

test('quota in transfer is not used while the outcome is unknown', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east', 'east', 'east', 'east');
  const quota = (body: unknown): boolean => JSON.stringify(body).includes('c/quota/');
  await cluster.submit(1, 'req-1', { tasks: 4, runMs: 60000, zone: 'west' });
  cluster.store.transactionFate = (_, body) => (quota(body) ? { holdMs: 1300 } : 'normal');
  await cluster.submit(2, 'req-2', { tasks: 8, runMs: 60000, zone: 'east' });
  await cluster.step(600);
  await cluster.submit(0, 'req-3', { tasks: 4, runMs: 60000, zone: 'east' });
  await cluster.step(8000);
  assertTraceMatches(cluster, 'share-being-given');
});

test('a worker that has seen a higher fencing token gets 421: a 200 would keep it while its lease expires', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.step(2000);
  const last = cluster.sentHeartbeats.get('m-0')?.at(-1) as { logNo: number };
  const newer = { ...last, logNo: last.logNo + 1000, helm: 99 };
  const answers = await Promise.all(
    [0, 1, 2].map((node) => cluster.request(node, 'POST', '/agent/beat', newer)),
  );
  assert.deepEqual(
    answers.map((a) => a?.status),
    [421, 421, 421],
  );
});

test('a machine registered too late for the answer to its heartbeat is answered, and used, from its next one', async () => {
  const cluster = await startClusterWithMachines('east', 'west');
  cluster.store.transactionDelayMs = (body) => (JSON.stringify(body).includes('c/machines/') ? 3000 : 0);
  const late = cluster.addWorker('large', 'east');
  await cluster.step(12000);
  const answers = cluster.heartbeatStatuses.get(late) ?? [];
  assert.notEqual(answers[0], 200, 'the worker has stopped waiting, or is about to');
  assert.ok(answers.includes(200));
});

test('when an outage ends some are served a moment before others: nobody leaves the balancer for that', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  cluster.store.outage = true;
  await cluster.step(9000);
  cluster.store.endOutage();
  cluster.store.refusedNodes.add('n1');
  const said: number[] = [];
  for (let i = 0; i < 45; i += 1) {
    await cluster.step(100);
    for (const node of [0, 1, 2]) said.push((await cluster.request(node, 'GET', '/up'))?.status ?? 0);
  }
  assert.deepEqual([...new Set(said)], [200]);
  let last = 0;
  for (let i = 0; i < 6; i += 1) {
    await cluster.step(1000);
    last = (await cluster.request(1, 'GET', '/up'))?.status ?? 0;
  }
  assert.equal(last, 503, 'refused for good: its users are served elsewhere');
});

test('controllers that start while the state service is away return none of the machines', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.submit(0, 'req-1', { service: true, tasks: 3 });
  await cluster.step(60000);
  const returned = matchingLines(cluster, /is returned/).length;
  cluster.store.outage = true;
  for (const node of [0, 1, 2]) cluster.killNode(node);
  await cluster.start();
  await cluster.step(20000);
  assert.equal(matchingLines(cluster, /is returned/).length, returned);
  cluster.store.endOutage();
  await cluster.step(8000);
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'start-without-store');
  assert.equal(matchingLines(cluster, /is returned/).length, returned);
});
