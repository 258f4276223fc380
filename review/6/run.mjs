/** Jobs of a class come three times as often, and a machine is given more tasks than it can report. See claim.txt. */
import { runCase } from '../lib-2/case.mjs';
import { SMALL_SITE } from '../lib-2/cluster.mjs';
import { sleep } from '../lib-2/net-tools.mjs';
import { jobBody } from '../lib-2/users.mjs';

const BURST_FACTOR = 3;
const TASKS = 500;
const TASK_MS = 20_000;
const PATIENCE_MS = 95_000;
const SITE = {
  ...SMALL_SITE,
  teams: [
    { name: 'ghoshana-toli-1', cpus: 40, cpusMax: 120 },
    { name: 'ghoshana-toli-2', cpus: 40, cpusMax: 120 },
  ],
};

await runCase(import.meta.dirname, SITE, async (cluster, trouble) => {
  const berth = cluster.cloud.add('sano-ghar', SITE.zones[0], false, 0);
  cluster.startAll();
  await cluster.waitReady();
  const service = jobBody('req-000001', 'ghoshana-toli-1', {
    shape: 'standing',
    rank: 'critical',
    lane: 'sewa',
  });
  await cluster.users.submit(service, Infinity);
  if (!(await cluster.users.waitFor('req-000001', 'running', 10_000)))
    throw new Error('the service does not run');
  const uids = Array.from({ length: trouble ? BURST_FACTOR : 1 }, (_, index) => `req-00001${index}`);
  for (const uid of uids) {
    const size = { legs: TASKS, vcpus: 0.01, memoryGb: 0.02, passageS: 20 };
    const { status } = await cluster.users.submit(jobBody(uid, 'ghoshana-toli-2', size), TASK_MS);
    if (status !== 201) throw new Error(`a job was answered with ${status}`);
  }
  const until = cluster.log.now() + PATIENCE_MS;
  const isDone = async (uid) => cluster.users.waitFor(uid, 'done', Math.max(1, until - cluster.log.now()));
  const findings = [];
  for (const uid of uids)
    if (!(await isDone(uid))) findings.push(`${uid} is not done 95 s after it was accepted`);
  await sleep(500);
  const kills = cluster.log
    .of('ends')
    .filter(({ leg, why }) => leg === 'req-000001/0' && why === 'lease ended');
  if (kills.length > 0)
    findings.push(
      `the lease of ${berth} ended ${kills.length} times and took the other team's replica with it`,
    );
  return findings;
});
