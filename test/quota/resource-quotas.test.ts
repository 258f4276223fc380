/** CPUs, GPUs and memory count alike, and a guarantee or quota of 0 means that there is none. */
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

async function threeGpuMachines(shape: ClusterConfig): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster(shape);
  for (const zone of ['east', 'west', 'east']) cluster.addWorker('gpu', zone);
  await cluster.start();
  return cluster;
}

const started = (cluster: SimulatedCluster, job: string): number =>
  cluster.traceLines.filter((l) => l.includes(` runs ${job}/`)).length;

test('teams with GPU limits only: their tasks start, run and stay within the GPU limit', async () => {
  const cluster = await threeGpuMachines(GPU_TEAMS);
  // 12 of its 18 tasks may run at a time, whatever CPUs they take.
  await cluster.submit(0, 'req-1', { tasks: 18, cpus: 6, gpus: 1, runMs: 6000 });
  await cluster.submit(1, 'req-2', { service: true, team: 'blue', tasks: 4, cpus: 5, gpus: 1 });
  await cluster.submit(2, 'req-3', { service: true, tasks: 13, cpus: 1, gpus: 1 });
  await cluster.step(5000);
  assert.equal(started(cluster, 'req-1'), 12);
  assert.equal(started(cluster, 'req-2'), 4);
  await cluster.step(15000);
  await cluster.sendUserRequest(0, 'GET', '/v2/runs/req-1');
  assertTraceMatches(cluster, 'gpu-only-teams');
});

test('teams with quotas in CPUs, in GPUs and in both use the same machines, each within its own quota', async () => {
  const shape: ClusterConfig = {
    ...SMALL_CLUSTER,
    machineTypes: GPU_MACHINES,
    teams: [
      { name: 'red', cpus: 8, cpusMax: 24, gpus: 2, gpusMax: 4 },
      { name: 'blue', cpus: 8, cpusMax: 20 },
      { name: 'green', cpus: 0, cpusMax: 0, gpus: 2, gpusMax: 3 },
    ],
  };
  const cluster = new SimulatedCluster(shape);
  for (let i = 0; i < 3; i += 1) cluster.addWorker('gpu', 'east');
  await cluster.start();
  await cluster.submit(0, 'req-gpus', { tasks: 8, cpus: 1, gpus: 1, runMs: 15_000 });
  await cluster.submit(0, 'req-cpus', { tasks: 8, cpus: 4, runMs: 15_000 });
  await cluster.submit(0, 'req-blue', { team: 'blue', tasks: 8, cpus: 4, runMs: 15_000 });
  await cluster.submit(0, 'req-green', { team: 'green', tasks: 6, cpus: 12, gpus: 1, runMs: 15_000 });
  await cluster.step(11_000);
  // Of red's 24 CPUs its GPU tasks take 4; blue has 20 CPUs; green has 3 GPUs and any number of CPUs.
  const jobs = ['req-gpus', 'req-cpus', 'req-blue', 'req-green'];
  assert.deepEqual(
    jobs.map((job) => started(cluster, job)),
    [4, 5, 5, 3],
  );
  await cluster.step(35_000);
  for (const job of jobs) await cluster.sendUserRequest(0, 'GET', `/v2/runs/${job}`);
  assertTraceMatches(cluster, 'limits-of-each-kind');
});

test('where no team has a GPU limit and no machine a GPU, a job that asks for one is refused by type', async () => {
  const cluster = new SimulatedCluster();
  cluster.addWorker('large', 'east');
  await cluster.start();
  const answer = await cluster.submit(0, 'req-1', { gpus: 1 });
  assert.equal(answer.status, 422);
  assert.equal(answer.body['error'], 'cards: a task needs 1, no allowed machine type has more than 0');
});

test('a quota of 0 is none: it refuses nothing, and its shard quotas are unlimited and cannot be transferred', () => {
  const teams = new Map([[gpuTeam.name, gpuTeam]]);
  const types = [{ name: 'gpu', cpus: 64, gpus: 8, memoryGb: 512, zones: ['east'] }] as never;
  const why = (changes: Partial<JobSpec>): string | null =>
    rejectionReason(buildJobSpec(changes), types, teams);
  assert.equal(why({ cpus: 64, gpus: 1 }), null);
  assert.equal(why({ kind: 'service', tasks: 20, cpus: 60, gpus: 1 }), null);
  assert.equal(
    why({ kind: 'service', tasks: 21, gpus: 1 }),
    'cards: needs 21 at once, more than the limit of 20 of team red',
  );

  const even = evenQuotas(gpuTeam, 3);
  assert.deepEqual(even, [
    { ...UNLIMITED, gpus: 7 },
    { ...UNLIMITED, gpus: 7 },
    { ...UNLIMITED, gpus: 6 },
  ]);
  const written = JSON.parse(JSON.stringify(encodeQuotas(gpuTeam, even))) as unknown;
  assert.deepEqual(written, { max: [0, 20], cpus: [0, 0, 0], gpus: [7, 7, 6] });
  assert.deepEqual(decodeQuotas(written, gpuTeam, 3), even);
  const shardQuota = { ...UNLIMITED, gpus: 7 };
  const asked = { cpus: 100, gpus: 100, memoryGb: 100 };
  const used = { ...UNLIMITED, gpus: 2 };
  assert.deepEqual(transferableQuota(shardQuota, used, { cpus: 4, gpus: 1, memoryGb: 8 }, asked), {
    ...ZERO,
    gpus: 4,
  });
});

test('a guarantee of 0 is none: the resource is not counted, and nothing is guaranteed by it', () => {
  const job = (id: string, born: number, changes: Partial<JobSpec>): JobRecord =>
    ({
      spec: buildJobSpec({ id, ...changes }),
      acceptedRevision: born,
      done: RangeSet.empty(),
    }) as unknown as JobRecord;
  const jobs = [
    job('req-a', 1, { tasks: 6, cpus: 6, gpus: 1 }),
    job('req-b', 2, { tasks: 2, cpus: 60, gpus: 1 }),
    job('req-c', 3, { tasks: 1, cpus: 1, gpus: 0 }),
    job('req-d', 4, { tasks: 1, cpus: 1, gpus: 1 }),
  ];
  assert.deepEqual([...selectGuaranteedJobs(jobs, gpuTeam)], ['req-a', 'req-b'], 'by GPUs alone');
  const plain = [job('req-a', 1, { tasks: 3 }), job('req-b', 2, { tasks: 2 })];
  assert.deepEqual([...selectGuaranteedJobs(plain, cpuTeam)], ['req-a'], 'by CPUs alone, as before');
  assert.deepEqual([...selectGuaranteedJobs(plain, buildTeam({ cpusMax: 20 }))], [], 'no guarantee at all');
  const both = buildTeam({ cpus: 8, cpusMax: 20, gpus: 4, gpusMax: 10 });
  assert.deepEqual(
    [...selectGuaranteedJobs([job('req-a', 1, { tasks: 3, gpus: 2 })], both)],
    [],
    'fits in CPUs alone',
  );
});

test('a refused job: the text names the field and its bound', async () => {
  const cluster = await threeGpuMachines(GPU_TEAMS);
  const said: string[] = [];
  const ask = async (changes: Record<string, unknown>): Promise<void> => {
    const body = { ...cluster.submissionBody(`req-${said.length}`, { gpus: 1 }), ...changes };
    const answer = await cluster.sendUserRequest(0, 'POST', '/v2/runs', body);
    said.push(`${answer.status} ${String(answer.body['error'])}`);
  };
  await ask({ cards: -1 });
  await ask({ cards: 0.5 });
  await ask({ cards: 2e9 });
  await ask({ vcpus: -0.1 });
  await ask({ memoryGb: '1' });
  await ask({ cards: 9 });
  await ask({ vcpus: 64.5 });
  await ask({ memoryGb: 513 });
  await ask({ cards: 1e9 });
  await ask({ shape: 'standing', legs: 13 });
  await ask({ hulls: ['tpu', 'fpga'] });
  await ask({ harbor: 'north' });
  await ask({ crew: 'nobody' });
  assert.deepEqual(said, [
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

test('no type has room for all of a task, though each amount fits some type', () => {
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
