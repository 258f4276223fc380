/** A gang's machine dies, and the machines with room for its tasks belong to two controllers. See claim.txt. */
import { runCase } from '../lib-2/case.mjs';
import { SMALL_SITE } from '../lib-2/cluster.mjs';
import { sleep } from '../lib-2/net-tools.mjs';
import { jobBody } from '../lib-2/users.mjs';

const TEAM = 'ghoshana-toli-1';
const [ZONE, OTHER_ZONE] = SMALL_SITE.zones;
/** No job is left waiting for this long while there is room for it. */
const WAIT_MS = 91_000;

/** Fills ten CPUs of the machine in each of two zones with the replicas of a service; six stay free on each. */
async function fillMachines(cluster) {
  const { cloud, users, log } = cluster;
  for (const [i, harbor] of [ZONE, OTHER_ZONE].entries()) {
    const service = { shape: 'standing', rank: 'critical', lane: 'sewa', legs: 5, vcpus: 2, harbor };
    await users.submit(jobBody(`req-00001${i}`, TEAM, service), Infinity, i);
  }
  await cluster.waitUntil(() => log.of('starts').length === 10, 15_000, 'the replicas');
  const third = cloud.add('sano-ghar', ZONE, false, 0);
  await cluster.waitUntil(() => cloud.machines.get(third).worker.helm > 0, 10_000, 'the third machine');
  await sleep(2000);
  return third;
}

await runCase(import.meta.dirname, SMALL_SITE, async (cluster, trouble) => {
  const { cloud, users, log } = cluster;
  for (const harbor of [ZONE, OTHER_ZONE]) cloud.add('sano-ghar', harbor, false, 0);
  cluster.startAll();
  await cluster.waitReady();
  const third = await fillMachines(cluster);
  const gang = jobBody('req-000002', TEAM, { shape: 'gang', legs: 2, vcpus: 6, memoryGb: 4, passageS: 15 });
  const { status } = await users.submit(gang, 15_000);
  if (status !== 201) throw new Error(`the gang was answered with ${status}`);
  const starts = () => log.of('starts').filter(({ leg }) => leg.startsWith('req-000002/'));
  await cluster.waitUntil(() => starts().length === 2, 10_000, 'the gang');
  if (starts().every(({ berth }) => berth !== third)) throw new Error('the gang runs on other machines');
  await sleep(1000);
  if (trouble) cloud.fail(third);
  if (await users.waitFor('req-000002', 'done', WAIT_MS)) return [];
  if (starts().length > 2) return [];
  return [
    '91 s after its machine died the gang has not started again; two machines have six CPUs free, one for each task',
  ];
});
