/** CPUs, GPUs and memory are treated alike, a guarantee of 0 means no guarantee, and a quota of 0 no limit. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { rejectionReason } from '../../src/jobs/admission.js';
import type { JobRecord } from '../../src/jobs/record.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import { UNLIMITED, ZERO } from '../../src/model/resources.js';
import { selectGuaranteedJobs } from '../../src/quota/guaranteed-jobs.js';
import { decodeQuotas, encodeQuotas } from '../../src/quota/codec.js';
import { evenQuotas, transferableQuota } from '../../src/quota/shard-quota.js';
import { RangeSet } from '../../src/model/ranges.js';
import { buildJobSpec, buildTeam } from '../support/job-specs.js';
import { assertTraceMatches } from '../support/recorded-trace.js';
import { SMALL_CLUSTER, SimulatedCluster, type ClusterConfig } from '../support/simulated-cluster.js';

const GPU_MACHINES = [{ name: 'gpu', cpus: 64, gpus: 8, memoryGb: 512 }];
const GPU_TEAMS: ClusterConfig = {
  ...SMALL_CLUSTER,
  machineTypes: GPU_MACHINES,
  teams: [
    { name: 'red', cpus: 0, cpusMax: 0, gpus: 6, gpusMax: 12 },
    { name: 'blue', cpus: 0, cpusMax: 0, gpus: 6, gpusMax: 24 },
  ],
};

const gpuTeam = buildTeam({ gpus: 8, gpusMax: 20 });
const cpuTeam = buildTeam({ cpus: 8, cpusMax: 20 });

async function startWithThreeGpuMachines(config: ClusterConfig): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster(config);
  for (const zone of ['east', 'west', 'east']) cluster.addWorker('gpu', zone);
  await cluster.start();
  return cluster;
}

const startedTasks = (cluster: SimulatedCluster, job: string): number =>
  cluster.traceLines.filter((line) => line.includes(` runs ${job}/`)).length;

test('teams with GPU limits only: their tasks start, run and stay within the GPU limit', async () => {
  const cluster = await startWithThreeGpuMachines(GPU_TEAMS);
  // 12 of the 18 tasks may run at a time, regardless of their CPUs.
  await cluster.submit(0, 'req-1', { tasks: 18, cpus: 6, gpus: 1, runMs: 6000 });
  await cluster.submit(1, 'req-2', { service: true, team: 'blue', tasks: 4, cpus: 5, gpus: 1 });
  await cluster.submit(2, 'req-3', { service: true, tasks: 13, cpus: 1, gpus: 1 });
  await cluster.step(5000);
  assert.equal(startedTasks(cluster, 'req-1'), 12);
  assert.equal(startedTasks(cluster, 'req-2'), 4);
  await cluster.step(15000);
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'gpu-only-teams');
});

test('teams with quotas in CPUs, in GPUs and in both use the same machines, each within its own quota', async () => {
  const config: ClusterConfig = {
    ...SMALL_CLUSTER,
    machineTypes: GPU_MACHINES,
    teams: [
      { name: 'red', cpus: 8, cpusMax: 24, gpus: 2, gpusMax: 4 },
      { name: 'blue', cpus: 8, cpusMax: 20 },
      { name: 'green', cpus: 0, cpusMax: 0, gpus: 2, gpusMax: 3 },
    ],
  };
  const cluster = new SimulatedCluster(config);
  for (let i = 0; i < 3; i += 1) cluster.addWorker('gpu', 'east');
  await cluster.start();
  await cluster.submit(0, 'req-gpus', { tasks: 8, cpus: 1, gpus: 1, runMs: 15_000 });
  await cluster.submit(0, 'req-cpus', { tasks: 8, cpus: 4, runMs: 15_000 });
  await cluster.submit(0, 'req-blue', { team: 'blue', tasks: 8, cpus: 4, runMs: 15_000 });
  await cluster.submit(0, 'req-green', { team: 'green', tasks: 6, cpus: 12, gpus: 1, runMs: 15_000 });
  await cluster.step(11_000);
  // The GPU tasks of red use 4 of its 24 CPUs. Blue has 20 CPUs. Green has 3 GPUs and unlimited CPUs.
  const jobs = ['req-gpus', 'req-cpus', 'req-blue', 'req-green'];
  assert.deepEqual(
    jobs.map((job) => startedTasks(cluster, job)),
    [4, 5, 5, 3],
  );
  await cluster.step(35_000);
  for (const job of jobs) await cluster.sendUserRequest(0, 'GET', `/v2/runs/${job}`);
  assertTraceMatches(cluster, 'limits-of-each-kind');
});

test('a job that requests a GPU is refused for its type if no team has a GPU limit and no machine a GPU', async () => {
  const cluster = new SimulatedCluster();
  cluster.addWorker('large', 'east');
  await cluster.start();
  const answer = await cluster.submit(0, 'req-1', { gpus: 1 });
  assert.equal(answer.status, 422);
  assert.equal(answer.body['error'], 'cards: a task needs 1, no allowed machine type has more than 0');
});

test('a quota of 0 means no limit: no job is refused, shard quotas are unlimited and cannot be transferred', () => {
  const teams = new Map([[gpuTeam.name, gpuTeam]]);
  const types = [{ name: 'gpu', cpus: 64, gpus: 8, memoryGb: 512, zones: ['east'] }] as never;
  const rejection = (changes: Partial<JobSpec>): string | null =>
    rejectionReason(buildJobSpec(changes), types, teams);
  assert.equal(rejection({ cpus: 64, gpus: 1 }), null);
  assert.equal(rejection({ kind: 'service', tasks: 20, cpus: 60, gpus: 1 }), null);
  assert.equal(
    rejection({ kind: 'service', tasks: 21, gpus: 1 }),
    'cards: needs 21 at once, more than the limit of 20 of team red',
  );

  const even = evenQuotas(gpuTeam, 3);
  assert.deepEqual(even, [
    { ...UNLIMITED, gpus: 7 },
    { ...UNLIMITED, gpus: 7 },
    { ...UNLIMITED, gpus: 6 },
  ]);
  const encoded = JSON.parse(JSON.stringify(encodeQuotas(gpuTeam, even))) as unknown;
  assert.deepEqual(encoded, { max: [0, 20], cpus: [0, 0, 0], gpus: [7, 7, 6] });
  assert.deepEqual(decodeQuotas(encoded, gpuTeam, 3), even);
  const shardQuota = { ...UNLIMITED, gpus: 7 };
  const requested = { cpus: 100, gpus: 100, memoryGb: 100 };
  const used = { ...UNLIMITED, gpus: 2 };
  assert.deepEqual(transferableQuota(shardQuota, used, { cpus: 4, gpus: 1, memoryGb: 8 }, requested), {
    ...ZERO,
    gpus: 4,
  });
});

test('a guarantee of 0 means no guarantee: the resource is not counted, and no job is guaranteed because of it', () => {
  const job = (id: string, acceptedRevision: number, changes: Partial<JobSpec>): JobRecord =>
    ({
      spec: buildJobSpec({ id, ...changes }),
      acceptedRevision,
      done: RangeSet.empty(),
    }) as unknown as JobRecord;
  const jobs = [
    job('req-a', 1, { tasks: 6, cpus: 6, gpus: 1 }),
    job('req-b', 2, { tasks: 2, cpus: 60, gpus: 1 }),
    job('req-c', 3, { tasks: 1, cpus: 1, gpus: 0 }),
    job('req-d', 4, { tasks: 1, cpus: 1, gpus: 1 }),
  ];
  assert.deepEqual([...selectGuaranteedJobs(jobs, gpuTeam)], ['req-a', 'req-b'], 'only GPUs are guaranteed');
  const cpuJobs = [job('req-a', 1, { tasks: 3 }), job('req-b', 2, { tasks: 2 })];
  assert.deepEqual([...selectGuaranteedJobs(cpuJobs, cpuTeam)], ['req-a'], 'only CPUs are guaranteed');
  assert.deepEqual([...selectGuaranteedJobs(cpuJobs, buildTeam({ cpusMax: 20 }))], [], 'no guarantee at all');
  const both = buildTeam({ cpus: 8, cpusMax: 20, gpus: 4, gpusMax: 10 });
  assert.deepEqual(
    [...selectGuaranteedJobs([job('req-a', 1, { tasks: 3, gpus: 2 })], both)],
    [],
    'fits into the guarantee of CPUs but not of GPUs',
  );
});

test('the error text of a refused job names the field and its limit', async () => {
  const cluster = await startWithThreeGpuMachines(GPU_TEAMS);
  const responses: string[] = [];
  const submit = async (changes: Record<string, unknown>): Promise<void> => {
    const body = { ...cluster.submissionBody(`req-${responses.length}`, { gpus: 1 }), ...changes };
    const answer = await cluster.sendUserRequest(0, 'POST', '/v2/runs', body);
    responses.push(`${answer.status} ${String(answer.body['error'])}`);
  };
  await submit({ cards: -1 });
  await submit({ cards: 0.5 });
  await submit({ cards: 2e9 });
  await submit({ vcpus: -0.1 });
  await submit({ memoryGb: '1' });
  await submit({ cards: 9 });
  await submit({ vcpus: 64.5 });
  await submit({ memoryGb: 513 });
  await submit({ cards: 1e9 });
  await submit({ shape: 'standing', legs: 13 });
  await submit({ hulls: ['tpu', 'fpga'] });
  await submit({ harbor: 'north' });
  await submit({ crew: 'nobody' });
  assert.deepEqual(responses, [
    '400 cards: expected a whole number from 0 to 1000000000',
    '400 cards: expected a whole number from 0 to 1000000000',
    '400 cards: expected a whole number from 0 to 1000000000',
    '400 vcpus: expected a number from 0 to 1000000000',
    '400 memoryGb: expected a number from 0 to 1000000000',
    '422 cards: a task needs 9, no allowed machine type has more than 8',
    '422 vcpus: a task needs 64.5, no allowed machine type has more than 64',
    '422 memoryGb: a task needs 513, no allowed machine type has more than 512',
    '422 cards: needs 1000000000 at once, more than the limit of 12 of team red',
    '422 cards: needs 13 at once, more than the limit of 12 of team red',
    '422 hulls: tpu, fpga not in the catalog, which has gpu',
    '422 harbor: north has no allowed machine type',
    '422 unknown team nobody',
  ]);
});

test('a task is refused if no type has capacity for all of it, although each amount fits some type', () => {
  const teams = new Map([[gpuTeam.name, gpuTeam]]);
  const types = [
    { name: 'gpu', cpus: 8, gpus: 8, memoryGb: 64, zones: ['east'] },
    { name: 'cpu', cpus: 64, gpus: 0, memoryGb: 64, zones: ['east'] },
  ] as never;
  assert.equal(
    rejectionReason(buildJobSpec({ cpus: 16, gpus: 1 }), types, teams),
    'vcpus 16, cards 1, memoryGb 1: no allowed machine type has room for all of a task',
  );
});
