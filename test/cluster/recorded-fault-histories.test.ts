/**
 * Recorded traces of clusters under faults: machines that send but cannot be reached, late copies of messages,
 * controllers that reach only their workers, immediate restarts, quota transfers that arrive late.
 */
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

test('a machine sends heartbeats but cannot be reached: no task starts there, its tasks move, and it is replaced', async () => {
  const cluster = await startClusterWithMachines('east', 'east', 'west', 'west', 'east');
  await cluster.submit(0, 'req-1', { tasks: 4, runMs: 90000, zone: 'east' });
  await cluster.step(1000);
  const unreachable =
    [...cluster.workers.values()].find((machine) => machine.runningTasks().length > 0)?.id ?? '';
  cluster.trace(`${unreachable} hears nothing from now on`);
  cluster.unreachableMachines.add(unreachable);
  const tokenWritesBefore = countTokenWrites(cluster);
  await cluster.submit(1, 'req-2', { tasks: 6, runMs: 2000 });
  await cluster.step(60000);
  assertTraceMatches(cluster, 'heard-not-reached');
  const cutLine = cluster.traceLines.findIndex((l) => l.includes('hears nothing'));
  assert.equal(cluster.traceLines.slice(cutLine).filter((l) => l.includes(`${unreachable} runs`)).length, 0);
  assert.ok(cluster.traceLines.some((l) => l.endsWith(`${unreachable} is returned`)));
  assert.ok(countTokenWrites(cluster) - tokenWritesBefore <= 2, 'few writes of fencing tokens');
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
  assert.equal(await cluster.replayHeartbeat(holder, 2, 0), 503, 'older than the last heartbeat');
  cluster.killNode(0);
  await cluster.step(6000);
  // The first heartbeats that the successor receives are old: from before the tasks started and from when they ran.
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
    assert.notEqual(await cluster.replayHeartbeat('m-1', 0, node), 200, 'the machine is deleted');
  await cluster.step(5000);
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'late-copies');
  assert.equal([...cluster.store.entries.keys()].filter((k) => k === 'c/machines/m-1').length, 0);
});

test('a late copy of a heartbeat that lists a task proves nothing before the shard is reconciled', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.submit(0, 'req-1', { tasks: 1, runMs: 120000, zone: 'east' });
  await cluster.step(3000);
  const firstMachine =
    [...cluster.workers.values()].find((machine) => machine.runningTasks().length > 0)?.id ?? '';
  const otherMachine = firstMachine === 'm-0' ? 'm-2' : 'm-0';
  // The first machine loses its lease, and the task starts on the other one.
  for (const node of [0, 1, 2]) cluster.networkCuts.add(`n${node}|${firstMachine}`);
  await cluster.step(20000);
  for (const node of [0, 1, 2]) cluster.networkCuts.delete(`n${node}|${firstMachine}`);
  await cluster.step(4000);
  assert.equal(cluster.workers.get(otherMachine)?.runningTasks().length, 1);
  // All controllers restart and reach only the first machine, of which an old heartbeat says that it has the task. The
  // other machine cannot be deleted, which would free the task.
  cluster.cloudOutage = true;
  for (const node of [0, 1, 2]) cluster.killNode(node);
  for (const node of [0, 1, 2])
    for (const machine of [firstMachine, otherMachine]) cluster.networkCuts.add(`n${node}|${machine}`);
  await cluster.step(500);
  await cluster.start();
  const heartbeatsWithTask = (cluster.sentHeartbeats.get(firstMachine) ?? []).filter((r) =>
    JSON.stringify(r).includes('running'),
  );
  const heartbeatsBack =
    (cluster.sentHeartbeats.get(firstMachine) ?? []).length -
    1 -
    (cluster.sentHeartbeats.get(firstMachine) ?? []).indexOf(heartbeatsWithTask.at(-1) as object);
  for (const node of [0, 1, 2]) await cluster.replayHeartbeat(firstMachine, heartbeatsBack, node);
  for (const node of [0, 1, 2]) cluster.networkCuts.delete(`n${node}|${firstMachine}`);
  await cluster.step(4000);
  assertTraceMatches(cluster, 'copy-proves-nothing');
});

test('a controller reaches only its workers: it stops commanding in time, answers users at once, and commits nothing', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.submit(0, 'req-1', { service: true, tasks: 2, zone: 'east' });
  await cluster.step(2000);
  // Its last write is still in flight when the partition begins.
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
  for (const insideEnd of inside)
    for (const outsideEnd of outside) cluster.networkCuts.add(`${insideEnd}|${outsideEnd}`);
  cluster.store.disconnectedNodes.add('n1');
  cluster.trace('the zone west is cut off');
  await cluster.step(40000);
  const tokenWritesBefore = countTokenWrites(cluster);
  cluster.networkCuts.clear();
  cluster.store.disconnectedNodes.clear();
  // The controller in the west learns late that its key has expired.
  cluster.store.leaseDelayMs = 5000;
  cluster.trace('the zone west is back');
  await cluster.step(8000);
  cluster.store.leaseDelayMs = 0;
  await cluster.step(15000);
  cluster.trace(`claims since: ${countTokenWrites(cluster) - tokenWritesBefore}`);
  assertTraceMatches(cluster, 'zone-back');
  assert.equal(countTokenWrites(cluster) - tokenWritesBefore, 1, 'only one new fencing token');
  const west = [...cluster.workers.values()].filter((machine) => machine.zone === 'west');
  assert.equal(west.length, 2, 'no partitioned machine was returned');
  assert.equal(
    west.reduce((sum, machine) => sum + machine.runningTasks().length, 0),
    2,
    'its replicas run again',
  );
});

test('a machine restarts in a new agent epoch: its tasks start again, commands of the earlier epoch have no effect', async () => {
  const cluster = await startClusterWithMachines('east', 'east');
  await cluster.submit(0, 'req-1', { tasks: 2, runMs: 30000 });
  await cluster.step(1000);
  const machine = [...cluster.workers.values()].find((candidate) => candidate.runningTasks().length > 0);
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
  // The kill fails: from now on the machine is called repeatedly.
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

test('after a failover a lost machine is deleted and delays the shard for seconds, not until its lease expires', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east', 'east');
  await cluster.submit(0, 'req-1', { tasks: 4, runMs: 5000, zone: 'east' });
  await cluster.submit(2, 'req-2', { tasks: 8, runMs: 5000, zone: 'east' });
  await cluster.step(1500);
  // In the east a machine and both controllers, which would have detected its loss, fail at the same time.
  const lostMachine = [...cluster.workers.values()].find(
    (machine) => machine.zone === 'east' && machine.runningTasks().length > 0,
  );
  for (const node of [0, 1, 2]) cluster.networkCuts.add(`n${node}|${lostMachine?.id}`);
  for (const node of [0, 2]) cluster.killNode(node);
  const failedAt = cluster.clock.now();
  await cluster.step(14000);
  assertTraceMatches(cluster, 'gone-after-claim');
  const returned = cluster.traceLines.find((l) => l.includes(`${lostMachine?.id} is returned`));
  assert.ok(returned !== undefined && Number(returned.slice(0, 7)) * 1000 < failedAt + 12_000);
  assert.equal(matchingLines(cluster, /runs req-1\/0$/).length, 2, 'its tasks run on other machines');
});

test('the cluster clock and the acceptance times of jobs survive restarts of all controllers', async () => {
  const cluster = await startClusterWithMachines('east');
  await cluster.submit(0, 'req-1', { service: true, tasks: 1 });
  const clusterTimeMs = (): number => (cluster.store.entries.get('c/time')?.data as { ms: number }).ms;
  const acceptedAtMs = (id: string): number =>
    (cluster.store.entries.get(`c/live/${id}`)?.data as { at: number }).at;
  await cluster.step(6000);
  const offsetMs = cluster.clock.now() - clusterTimeMs();
  const lags: string[] = [];
  for (let lifetime = 0; lifetime < 3; lifetime += 1) {
    await cluster.step(40_000);
    lags.push(`${Math.round((cluster.clock.now() - clusterTimeMs() - offsetMs) / 10_000) * 10} s behind`);
    for (const node of [0, 1, 2]) cluster.killNode(node);
    await cluster.start();
  }
  await cluster.submit(1, 'req-2', { service: true, tasks: 1 });
  const intervalS = Math.round((acceptedAtMs('req-2') - acceptedAtMs('req-1')) / 10_000) * 10;
  cluster.trace(`counted: ${lags.join(', ')}; req-2 came ${intervalS} s after req-1`);
  assertTraceMatches(cluster, 'age-outlives-all');
  assert.ok(intervalS >= 100 && intervalS <= 130);
});

test('every job is known after all controllers restarted during an outage, under many polls at once', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  for (let i = 0; i < 12; i += 1)
    await cluster.submit(i % 3, `req-${i}`, { service: i < 4, tasks: 1, cpus: 1, runMs: 900 });
  await cluster.step(6000);
  for (const node of [0, 1, 2]) cluster.killNode(node);
  cluster.store.outage = true;
  await cluster.start();
  await cluster.step(5000);
  cluster.store.endOutage();
  const knownAfterMs = new Map<string, number>();
  const outageEndedAt = cluster.clock.now();
  for (let round = 0; round < 40; round += 1) {
    for (let poll = 0; poll < 60; poll += 1) {
      const id = `req-${poll % 12}`;
      void cluster.request(poll % 3, 'GET', `/v2/runs/${id}`).then((response) => {
        if (response?.status === 200 && !knownAfterMs.has(id))
          knownAfterMs.set(id, cluster.clock.now() - outageEndedAt);
        if (response?.status === 404) cluster.violations.push(`forgotten ${id}`);
      });
    }
    await cluster.step(250);
  }
  assert.equal(knownAfterMs.size, 12);
  const slowestMs = Math.max(...knownAfterMs.values());
  cluster.trace(
    `all 12 jobs known ${Math.ceil(slowestMs / 1000)} s after the store was back, at 240 polls a second`,
  );
  assertTraceMatches(cluster, 'known-after-all');
  assert.ok(slowestMs < 20_000);
});

test('more polls than the store can answer: some are refused at once, and every job is still known', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.submit(0, 'req-0', { service: true, tasks: 1, cpus: 1 });
  await cluster.step(2000);
  // An answer counts as in time only within the 2 s that its user waits.
  const counts = { inTime: 0, late: 0, refused: 0 };
  let knownCount = 0;
  const poll = async (node: number, id: string): Promise<void> => {
    const sentAt = cluster.clock.now();
    const answer = await cluster.request(node, 'GET', `/v2/runs/${id}`);
    const late = cluster.clock.now() - sentAt > 2000;
    if (answer?.status === 503) counts.refused += 1;
    else if (late) counts.late += 1;
    else counts.inTime += 1;
    if (id === 'req-0' && answer?.status === 200 && !late) knownCount += 1;
  };
  for (let round = 0; round < 80; round += 1) {
    for (let i = 0; i < 400; i += 1) void poll(0, `req-nobody-${round * 400 + i}`);
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
  // At four polls a second, 5 answers in 20 s keep the job known well within 75 s.
  assert.ok(knownCount >= 5, `known ${knownCount} times`);
});

test('a quota transfer is conditional on the shard leader: applied late, after a failover, it moves nothing', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east', 'east');
  const isQuotaWrite = (body: unknown): boolean => JSON.stringify(body).includes('c/quota/');
  // The donor's write arrives 12 s late, when a successor leads its shard; writes of other controllers never arrive.
  cluster.store.transactionFate = (node, body) =>
    isQuotaWrite(body) ? { holdMs: node === 'n2' ? 12000 : 1e9 } : 'normal';
  // The west shard uses all of its quota: only n2 has some to transfer.
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
  // Red is at its limit in the east; a job of blue arrives in the west, where there is no machine.
  await cluster.submit(0, 'req-1', { tasks: 40, runMs: 60000 });
  await cluster.submit(2, 'req-2', { tasks: 40, runMs: 60000 });
  await cluster.step(6000);
  await cluster.submit(1, 'req-3', { tasks: 4, runMs: 60000, team: 'blue' });
  await cluster.step(3000);
  assertTraceMatches(cluster, 'limit-and-room');
  assert.equal(matchingLines(cluster, /runs req-[12]\//).length, 12, 'the whole limit is used');
  assert.equal(matchingLines(cluster, /runs req-3/).length, 4);
});

test('quota in transfer is not used while the outcome is unknown', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east', 'east', 'east', 'east');
  const isQuotaWrite = (body: unknown): boolean => JSON.stringify(body).includes('c/quota/');
  await cluster.submit(1, 'req-1', { tasks: 4, runMs: 60000, zone: 'west' });
  cluster.store.transactionFate = (_, body) => (isQuotaWrite(body) ? { holdMs: 1300 } : 'normal');
  await cluster.submit(2, 'req-2', { tasks: 8, runMs: 60000, zone: 'east' });
  await cluster.step(600);
  await cluster.submit(0, 'req-3', { tasks: 4, runMs: 60000, zone: 'east' });
  await cluster.step(8000);
  assertTraceMatches(cluster, 'share-being-given');
});

/** Above the ranges that the controllers of a test acquire. */
const NEVER_ISSUED_TOKEN = 1_000_000;

test('a worker that has seen a higher fencing token gets 421: after a 200 it would stay at that node while its lease expires', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.step(2000);
  const last = cluster.sentHeartbeats.get('m-0')?.at(-1) as { logNo: number };
  const newer = { ...last, logNo: last.logNo + 1000, helm: NEVER_ISSUED_TOKEN };
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
  assert.notEqual(answers[0], 200, 'the worker has stopped waiting for this answer, or is about to');
  assert.ok(answers.includes(200));
});

test('when the store serves some controllers a moment before others after an outage, all stay in the load balancer', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  cluster.store.outage = true;
  await cluster.step(9000);
  cluster.store.endOutage();
  cluster.store.refusedNodes.add('n1');
  const statuses: number[] = [];
  for (let i = 0; i < 45; i += 1) {
    await cluster.step(100);
    for (const node of [0, 1, 2]) statuses.push((await cluster.request(node, 'GET', '/up'))?.status ?? 0);
  }
  assert.deepEqual([...new Set(statuses)], [200]);
  let lastStatus = 0;
  for (let i = 0; i < 6; i += 1) {
    await cluster.step(1000);
    lastStatus = (await cluster.request(1, 'GET', '/up'))?.status ?? 0;
  }
  assert.equal(lastStatus, 503, 'still refused: its users go to other controllers');
});

test('controllers that start during an outage of the state service return no machine', async () => {
  const cluster = await startClusterWithMachines('east', 'west', 'east');
  await cluster.submit(0, 'req-1', { service: true, tasks: 3 });
  await cluster.step(60000);
  const returnedBefore = matchingLines(cluster, /is returned/).length;
  cluster.store.outage = true;
  for (const node of [0, 1, 2]) cluster.killNode(node);
  await cluster.start();
  await cluster.step(20000);
  assert.equal(matchingLines(cluster, /is returned/).length, returnedBefore);
  cluster.store.endOutage();
  await cluster.step(8000);
  await cluster.sendUserRequest(1, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'start-without-store');
  assert.equal(matchingLines(cluster, /is returned/).length, returnedBefore);
});
