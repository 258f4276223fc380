/**
 * The store refuses only the leader; another controller confirms cancellations; then the store is down for all
 * controllers for longer than the cancel time, while the workers still send heartbeats to the old leader. The tasks of
 * the cancelled jobs must nevertheless end within the cancel time. The tests measure the margins that ensure this and
 * check that they have not shrunk.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import {
  OUTAGE_CLUSTER,
  CANCEL_MS,
  LEASE_MS,
  HEARTBEAT_INTERVAL_MS,
  LEADER,
  MACHINES,
  JOBS_PER_MACHINE,
  OUTAGE_STEP_MS,
  SLOW_CLOCK_RATE,
  type OutageCase,
  type OutageMeasurement,
} from '../support/outage-case.js';
import { OutageScenario } from '../support/outage-scenario.js';
import { SimulatedCluster } from '../support/simulated-cluster.js';

/**
 * Minimum remaining time until the end of the cancel time, and until the latest time at which the old leader may send
 * commands: twice 500 ms, a thousandth of the cancel time for clock drift, and the time between the old leader's last
 * read and the first confirmation, less the loss through clocks that are slow by 0.05%.
 */
const MIN_REMAINING_MS = 1012;
const MIN_SLACK_MS = 1008;
/** A successor that reaches the machines sends them its fencing token long before the old leader must stop. */
const MIN_REMAINING_REACHED_MS = 4000;

const DEFAULT_CASE: Omit<OutageCase, 'seed' | 'outageAfterMs'> = {
  failover: 'none',
  hanging: false,
  unacknowledgedLaunches: false,
  slowAnswers: 'none',
  slowConnections: false,
  leaderClockRate: SLOW_CLOCK_RATE,
  workerClockRate: SLOW_CLOCK_RATE,
};

const FAILOVERS = ['none', 'reaches the machines', 'reaches no machine'] as const;
const CLOCK_RATES = [
  [SLOW_CLOCK_RATE, SLOW_CLOCK_RATE],
  [SLOW_CLOCK_RATE, SLOW_CLOCK_RATE],
  [1, 1],
  [SLOW_CLOCK_RATE, 1 / SLOW_CLOCK_RATE],
  [1 / SLOW_CLOCK_RATE, SLOW_CLOCK_RATE],
] as const;

/**
 * Cases with an outage 0 to 3 s after the last confirmation or the failover, for each kind of failover; the other
 * parameters alternate.
 */
function casesByOutageMoment(): OutageCase[] {
  const cases: OutageCase[] = [];
  for (const failover of FAILOVERS) {
    for (let outageAfterMs = 0; outageAfterMs <= 3000; outageAfterMs += OUTAGE_STEP_MS) {
      const seed = cases.length;
      const [leaderRate, workerRate] = CLOCK_RATES[seed % CLOCK_RATES.length] ?? CLOCK_RATES[0];
      const hanging = seed % 3 === 1;
      const unacknowledgedLaunches = seed % 3 === 2 || seed % 5 === 0;
      cases.push({
        ...DEFAULT_CASE,
        seed,
        outageAfterMs,
        failover,
        hanging,
        unacknowledgedLaunches,
        leaderClockRate: leaderRate,
        workerClockRate: workerRate,
      });
    }
  }
  return cases;
}

/**
 * 25 cases with 10 machines each: the heartbeat intervals are at 250 phases when the leader is refused. There is no
 * other fault.
 */
const casesByHeartbeatPhase = (): OutageCase[] =>
  Array.from({ length: 25 }, (_, i) => ({ ...DEFAULT_CASE, seed: 100 + i, outageAfterMs: 40 * i }));

async function runAll(cases: readonly OutageCase[], recover = false): Promise<OutageMeasurement[]> {
  const measurements: OutageMeasurement[] = [];
  for (const outageCase of cases) {
    const scenario = new OutageScenario(outageCase);
    const measured = await scenario.run();
    if (recover) await scenario.recover();
    const { traceLines: lines, violations: broken } = scenario.cluster;
    assert.deepEqual(broken, [], `${JSON.stringify(outageCase)}\n${lines.slice(-150).join('\n')}`);
    assert.equal(measured.failedOver, outageCase.failover !== 'none');
    assert.equal(measured.confirmed, MACHINES * JOBS_PER_MACHINE + 1);
    measurements.push(measured);
  }
  return measurements;
}

const minimumOf = (
  measurements: readonly OutageMeasurement[],
  select: (measurement: OutageMeasurement) => number,
): number => Math.floor(Math.min(...measurements.map(select)));

/** Reports the smallest margins over all cases, and checks that none has shrunk. */
function checkMargins(context: TestContext, measurements: readonly OutageMeasurement[]): void {
  const leftMs = minimumOf(measurements, ({ remainingMs }) => remainingMs);
  const answerMs = minimumOf(measurements, ({ answerSlackMs }) => answerSlackMs);
  const directMs = minimumOf(measurements, ({ directSlackMs }) => directSlackMs);
  const starts = measurements.reduce((sum, { lateStarts }) => sum + lateStarts, 0);
  context.diagnostic(
    `${measurements.length} cases: least time left of the cancel time ${leftMs} ms; last answer ${answerMs} ms and last direct command ` +
      `${directMs} ms before the limit; ${starts} starts after a confirmed cancellation, in time`,
  );
  assert.ok(leftMs >= MIN_REMAINING_MS, `${leftMs} ms left`);
  assert.ok(answerMs >= MIN_SLACK_MS, `the old leader's last answer: ${answerMs} ms before the limit`);
  assert.ok(
    directMs >= MIN_SLACK_MS,
    `the old leader's last direct command: ${directMs} ms before the limit`,
  );
}

test('an outage 0 to 3 s after the last confirmation or the failover, with and without hanging machines and unacknowledged launches', async (context) => {
  const cases = casesByOutageMoment();
  const measurements = await runAll(cases);
  checkMargins(context, measurements);
  const reached = measurements.filter((_, i) => cases[i]?.failover === 'reaches the machines');
  const remainingMs = minimumOf(reached, ({ remainingMs }) => remainingMs);
  context.diagnostic(
    `${reached.length} of them with a successor that reaches the machines: ${remainingMs} ms left`,
  );
  assert.ok(
    remainingMs >= MIN_REMAINING_REACHED_MS,
    `${remainingMs} ms left after a failover that reaches the machines`,
  );
});

test('the store refuses the leader at every phase of a heartbeat interval', async (context) => {
  const measurements = await runAll(casesByHeartbeatPhase());
  checkMargins(context, measurements);
  const phases = new Set(measurements.flatMap((measurement) => [...measurement.phases]));
  assert.equal(phases.size, 10);
});

test('store responses that reach the leader late do not extend its command deadline: watches, reads, full lists', async (context) => {
  const kinds = ['watch', 'question', 'list'] as const;
  const cases = [0, 1, 2, 3, 4, 5, 6, 7, 8].map((i): OutageCase => {
    const slowAnswers = kinds[i % kinds.length] ?? 'list';
    return { ...DEFAULT_CASE, slowAnswers, seed: 200 + i, outageAfterMs: 100 * i };
  });
  checkMargins(context, await runAll(cases));
});

test('a slow connection carries no command beyond the command deadline', async (context) => {
  const cases = [0, 1, 2, 3, 4, 5].map((i): OutageCase => {
    return { ...DEFAULT_CASE, slowConnections: true, seed: 300 + i, outageAfterMs: 300 * i };
  });
  checkMargins(context, await runAll(cases));
});

test('after the faults end, no invariant is violated and work continues', async (context) => {
  const cases = FAILOVERS.flatMap((failover, i) =>
    [0, 1].map((k): OutageCase => {
      return {
        ...DEFAULT_CASE,
        failover,
        hanging: k === 0,
        unacknowledgedLaunches: true,
        seed: 400 + 2 * i + k,
        outageAfterMs: 500 * k,
      };
    }),
  );
  checkMargins(context, await runAll(cases, true));
});

/**
 * The store refuses the leader, which keeps machines that reach no other controller; its successor has other
 * machines.
 */
async function restartTasksElsewhere(seed: number): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster(OUTAGE_CLUSTER);
  cluster.clockRate = (who) => (who === `n${LEADER}` || who.startsWith('m-') ? SLOW_CLOCK_RATE : 1);
  await cluster.start();
  for (let i = 0; i < 4; i += 1) {
    cluster.addWorker('large', 'west');
    await cluster.step(HEARTBEAT_INTERVAL_MS / 4);
  }
  await cluster.step(2000);
  await cluster.submit(0, 'req-1', { tasks: 16, cpus: 2, runMs: 1e6 });
  await cluster.step(1000 + 70 * seed);
  // Without the outage the deletion of a machine would prove that its tasks have ended.
  cluster.cloudOutage = true;
  const heldMachines = [...cluster.workers.keys()];
  for (const machine of heldMachines)
    for (const node of cluster.nodes.keys())
      if (node !== LEADER) cluster.networkCuts.add(`n${node}|${machine}`);
  for (let i = 0; i < 4; i += 1) cluster.addWorker('large', 'west');
  await cluster.step(2000);
  // The leader is refused right after a read of changes for a user's request, so that it can send commands as long as
  // possible.
  cluster.store.onWatchAnswered = (node, blockMs) => {
    if (node !== `n${LEADER}` || blockMs > 0 || cluster.store.refusedNodes.has(node)) return;
    cluster.store.refusedNodes.add(node);
    cluster.trace('the leader alone is refused');
  };
  for (let delayMs = 0; delayMs < 400; delayMs += 7)
    cluster.clock.after(delayMs, () => void cluster.request(LEADER, 'GET', '/v2/runs/req-1'));
  // Users query the other controllers too: the successor's watch cache is always current, and it waits only for leases.
  const durationMs = CANCEL_MS + LEASE_MS + 6000;
  for (let delayMs = 0; delayMs < durationMs; delayMs += 200)
    for (const node of cluster.nodes.keys())
      if (node !== LEADER)
        cluster.clock.after(delayMs, () => void cluster.request(node, 'GET', '/v2/runs/req-1'));
  await cluster.step(durationMs);
  assert.ok(cluster.store.refusedNodes.has(`n${LEADER}`));
  const restartedTasks = [...cluster.workers.values()]
    .filter((machine) => !heldMachines.includes(machine.id))
    .flatMap((machine) => machine.runningTasks());
  assert.equal(restartedTasks.length, 16, `every task runs again\n${cluster.traceLines.join('\n')}`);
  return cluster;
}

test('after a failover that reaches no machine, tasks start elsewhere only when the old leader can no longer renew their leases', async () => {
  for (let seed = 0; seed < 8; seed += 1) {
    const cluster = await restartTasksElsewhere(seed);
    assert.deepEqual(cluster.violations, [], cluster.traceLines.join('\n'));
  }
});
