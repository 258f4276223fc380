/**
 * A scenario for large deployments: all controllers start, a third of the machines lose the network and one controller
 * crashes and restarts meanwhile, the machines reconnect, and then all controllers restart. Checks the protocol's rules
 * and the limits on messages, store requests, changes, bytes and open calls; measures no wall-clock time.
 */
import assert from 'node:assert/strict';
import { SimulatedCluster, type JobOptions, type ClusterConfig } from './simulated-cluster.js';

export const LARGE_CLUSTER: ClusterConfig = {
  zones: ['east', 'east', 'east'],
  teams: ['red', 'blue', 'green'].map((name) => ({ name, cpus: 2500, cpusMax: 6000 })),
  heartbeatIntervalS: 6,
  leaseS: 30,
  cancelS: 55,
  storeLimits: { rps: 250, writeRps: 35, valueKb: 16, txnOps: 32, enforced: true },
  cloudRps: 10,
  connections: 2900,
  recordHeartbeats: false,
  checkIntervalMs: 500,
  machineBootS: 50,
  // Machines are returned to the cloud only if they are silent, failed or missing, not because they are idle.
  tuning: 'fleet.idle.return.ms = 3600000',
};
export const TWO_ZONE_CLUSTER: ClusterConfig = {
  ...LARGE_CLUSTER,
  zones: ['east', 'west', 'east', 'west', 'east'],
  heartbeatIntervalS: 2.5,
  leaseS: 15.25,
  cancelS: 35.25,
  storeLimits: { rps: 200, writeRps: 40, valueKb: 4, txnOps: 12, enforced: true },
  cloudRps: 7,
  connections: 1900,
};

/** One zone with machines of one type with 8 GPUs; the quotas of the teams limit only GPUs. */
export const GPU_CLUSTER: ClusterConfig = {
  ...LARGE_CLUSTER,
  zones: ['east', 'east', 'east', 'east', 'east'],
  machineTypes: [{ name: 'gpu', cpus: 64, gpus: 8, memoryGb: 512 }],
  teams: [
    { name: 'red', cpus: 0, cpusMax: 0, gpus: 1500, gpusMax: 5000 },
    { name: 'blue', cpus: 0, cpusMax: 0, gpus: 3000, gpusMax: 8000 },
    { name: 'green', cpus: 0, cpusMax: 0, gpus: 1000, gpusMax: 5000 },
  ],
  heartbeatIntervalS: 2.5,
  leaseS: 16,
  cancelS: 36,
  storeLimits: { rps: 200, writeRps: 25, valueKb: 8, txnOps: 16, enforced: true },
  cloudRps: 6,
  connections: 1800,
  machineBootS: 40,
};

/** The machine types of a scenario and the jobs that it submits, one a second. */
export interface Workload {
  readonly machineTypes: readonly string[];
  readonly service: JobOptions;
  readonly array: JobOptions;
}

const CPU_WORKLOAD: Workload = {
  machineTypes: ['large', 'small', 'small', 'small'],
  service: { tasks: 8, cpus: 1 },
  array: { tasks: 35, cpus: 2 },
};
/**
 * Array jobs run for 40 s and are submitted in 5 of every 6 seconds: together with the services they keep 8 tasks on
 * each of 975 machines.
 */
export const GPU_WORKLOAD: Workload = {
  machineTypes: ['gpu'],
  service: { tasks: 4, cpus: 5, gpus: 1, memoryGb: 38 },
  array: { tasks: 235, cpus: 6, gpus: 1, memoryGb: 48 },
};

export interface SubmissionCounts {
  asked: number;
  accepted: number;
  refused: number;
}

/** Each second submits one job and queries 20 accepted jobs; reports a violation if an accepted job is not found. */
export async function runWorkload(
  cluster: SimulatedCluster,
  seconds: number,
  counts: SubmissionCounts,
  jobIds: string[],
  workload: Workload,
): Promise<void> {
  for (let second = 0; second < seconds; second += 1) {
    const nodes = cluster.nodes.map((_, node) => node).filter((node) => cluster.nodes[node]?.handler);
    const node = nodes[second % nodes.length] ?? 0;
    const id = `req-${counts.asked}`;
    const service = second % 6 === 0;
    const options = { service, runMs: 40_000, ...(service ? workload.service : workload.array) };
    const team = ['red', 'blue', 'green'][second % 3] ?? 'red';
    counts.asked += 1;
    const body = cluster.submissionBody(id, { ...options, team, image: `img-${second % 12}` });
    void cluster.request(node, 'POST', '/v2/runs', body).then((answer) => {
      if (answer?.status === 201) {
        counts.accepted += 1;
        jobIds.push(id);
      } else counts.refused += 1;
    });
    for (let k = 0; k < 20 && jobIds.length > 0; k += 1) {
      const acceptedId = jobIds[(second * 20 + k) % jobIds.length] ?? '';
      void cluster.request(node, 'GET', `/v2/runs/${acceptedId}`).then((answer) => {
        if (answer?.status === 404) cluster.violations.push(`forgotten ${acceptedId}`);
      });
    }
    await cluster.step(1000);
  }
}

export const countRunningTasks = (cluster: SimulatedCluster): number =>
  [...cluster.workers.values()].reduce((sum, machine) => sum + machine.runningTasks().length, 0);

/**
 * How many calls to workers a controller may have open at once: a tenth of its connections for direct commands, and the
 * calls to machines that are being registered.
 */
const maxOpenCalls = (config: ClusterConfig): number =>
  Math.floor(config.connections / 10) + 2 * Math.max(config.storeLimits.txnOps, config.storeLimits.writeRps);

function assertWithinLimits(cluster: SimulatedCluster): void {
  const { store, config, observed } = cluster;
  assert.deepEqual(cluster.violations, []);
  assert.ok(observed.maxOpenCalls <= maxOpenCalls(config), `${observed.maxOpenCalls} open calls to workers`);
  assert.ok(observed.maxFrameBytes <= 64 * 1024, `a frame of ${observed.maxFrameBytes} bytes`);
  assert.ok(
    store.observed.maxValueBytes <= config.storeLimits.valueKb * 1024,
    `a value of ${store.observed.maxValueBytes} bytes`,
  );
  assert.ok(
    store.observed.maxTransactionBytes <= 64 * 1024,
    `a transaction of ${store.observed.maxTransactionBytes} bytes`,
  );
  assert.ok(
    store.observed.maxOperations <= config.storeLimits.txnOps,
    `a transaction of ${store.observed.maxOperations} changes`,
  );
  // Bursts of one second's allowance are permitted, and the controllers' shares of the limit may overlap briefly while
  // controllers start or stop.
  assert.ok(
    store.observed.rateLimited <= store.requests.total / 100,
    `${store.observed.rateLimited} requests refused by the rate limit`,
  );
  assert.ok(
    cluster.cloudCalls.maxPerSecond <= 3 * config.cloudRps,
    `${cluster.cloudCalls.maxPerSecond} calls to the cloud in a second`,
  );
}

/** Fraction of the store's write limit that registers machines during startup; the rest is left for jobs. */
const REGISTRATION_WRITE_FRACTION = 0.6;

/** Runs the whole scenario, checks the rules and limits, and returns the cluster in its final state. */
export async function runScaleScenario(
  config: ClusterConfig,
  machines: number,
  workload = CPU_WORKLOAD,
): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster(config);
  const counts = { asked: 0, accepted: 0, refused: 0 };
  const jobIds: string[] = [];
  const zones = [...new Set(config.zones)];
  for (let i = 0; i < machines; i += 1)
    cluster.addWorker(
      workload.machineTypes[i % workload.machineTypes.length] ?? '',
      zones[Math.floor(i / 4) % zones.length] ?? 'east',
    );
  await cluster.start();
  await runWorkload(
    cluster,
    Math.max(90, Math.ceil(machines / (REGISTRATION_WRITE_FRACTION * config.storeLimits.writeRps))),
    counts,
    jobIds,
    workload,
  );
  const registeredCount = [...cluster.store.entries.keys()].filter((k) => k.startsWith('c/machines/')).length;
  assert.equal(registeredCount, machines, 'every machine is registered');
  const before = {
    deletions: cluster.observed.deletions,
    changes: cluster.store.changes.total,
    tokenWrites: cluster.store.countWrites('c/token'),
  };
  const runningBefore = countRunningTasks(cluster);

  const cutMachines = [...cluster.workers.keys()].filter((_, i) => i % 3 === 0);
  for (const machine of cutMachines)
    for (const node of cluster.nodes.keys()) cluster.networkCuts.add(`n${node}|${machine}`);
  await runWorkload(cluster, 3, counts, jobIds, workload);
  cluster.killNode(1);
  await runWorkload(cluster, 6, counts, jobIds, workload);
  await cluster.startNode(1);
  await runWorkload(cluster, Math.ceil(config.leaseS) + 10, counts, jobIds, workload);
  cluster.trace('cut ends');
  cluster.networkCuts.clear();
  await runWorkload(cluster, 25, counts, jobIds, workload);
  assert.deepEqual(
    cutMachines.filter((machine) => !cluster.workers.has(machine)),
    [],
    'no disconnected machine is returned to the cloud',
  );
  assert.equal(cluster.observed.deletions, before.deletions);
  assert.ok(
    cluster.store.countWrites('c/token') - before.tokenWrites <= 3,
    'at most three fencing tokens are issued',
  );
  const changes = cluster.store.changes.total - before.changes;
  assert.ok(
    changes < cutMachines.length + 10 * counts.asked,
    `${changes} changes: reconnecting machines cause less than one write each`,
  );
  assert.ok(
    countRunningTasks(cluster) > 0.8 * runningBefore,
    'more than 80% as many tasks run as before the faults',
  );

  const tokenWritesBeforeRestart = cluster.store.countWrites('c/token');
  for (const node of cluster.nodes.keys()) cluster.killNode(node);
  await cluster.step(1000);
  for (const node of cluster.nodes.keys()) await cluster.startNode(node);
  await runWorkload(cluster, 30, counts, jobIds, workload);
  assert.equal(
    cluster.store.countWrites('c/token') - tokenWritesBeforeRestart,
    cluster.nodes.length,
    'each controller acquires its own shard exactly once',
  );
  assert.ok(countRunningTasks(cluster) > 0.8 * runningBefore);
  assert.ok(counts.refused <= 0.1 * counts.asked, `${counts.refused} of ${counts.asked} submissions refused`);
  assertWithinLimits(cluster);
  return cluster;
}
