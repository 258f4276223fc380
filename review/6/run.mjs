/** A gang's machine dies, and the machines with room for its tasks belong to two controllers. See claim.txt. */
import { runCase } from '../lib-2/case.mjs';
import { SMALL_SITE } from '../lib-2/cluster.mjs';
import { sleep } from '../lib-2/net-tools.mjs';
import { jobBody } from '../lib-2/users.mjs';

const TEAM = 'ghoshana-toli-1';
const [ZONE, OTHER_ZONE] = SMALL_SITE.zones;
/** No job is left waiting for this long while there is room for it; counted from when no task of the gang is left. */
const WAIT_MS = 90_500;
/** The third machine was rented before the run and comes up when the replicas have been placed. */
const THIRD_BOOTS_MS = 8000;

/** Fills ten CPUs of the machine in each of two zones with the replicas of a service; six stay free on each. */
async function fillMachines({ users, log, cloud, waitUntil }, third) {
  for (const [i, harbor] of [ZONE, OTHER_ZONE].entries()) {
    const service = { shape: 'standing', rank: 'critical', lane: 'sewa', legs: 5, vcpus: 2, harbor };
    await users.submit(jobBody(`req-00001${i}`, TEAM, service), Infinity, i);
  }
  await waitUntil(() => log.of('starts').length === 10, 10_000, 'the replicas');
  if (cloud.machines.get(third).status !== 'starting') throw new Error('the third machine is up too soon');
  await waitUntil(() => cloud.machines.get(third).worker.helm > 0, 15_000, 'the third machine');
}

await runCase(import.meta.dirname, SMALL_SITE, async (cluster, trouble) => {
  const { cloud, users, log } = cluster;
  for (const harbor of [ZONE, OTHER_ZONE]) cloud.add('sano-ghar', harbor, false, 0);
  const third = cloud.add('sano-ghar', ZONE, false, THIRD_BOOTS_MS);
  cloud.machines.get(third).late = true;
  cluster.startAll();
  await cluster.waitReady();
  await fillMachines({ users, log, cloud, waitUntil: cluster.waitUntil.bind(cluster) }, third);
  const gang = jobBody('req-000002', TEAM, { shape: 'gang', legs: 2, vcpus: 6, memoryGb: 4, passageS: 15 });
  const { status } = await users.submit(gang, 15_000);
  if (status !== 201) throw new Error(`the gang was answered with ${status}`);
  const of = (kind) => log.of(kind).filter(({ leg }) => leg.startsWith('req-000002/'));
  await cluster.waitUntil(() => of('starts').length === 2, 10_000, 'the gang');
  if (of('starts').every(({ berth }) => berth !== third)) throw new Error('the gang runs on other machines');
  await sleep(500);
  if (trouble) {
    cloud.fail(third);
    await cluster.waitUntil(() => of('ends').length === 2, 9000, 'the end of the other task');
  }
  if (await users.waitFor('req-000002', 'done', WAIT_MS)) return [];
  if (of('starts').length > 2) return [];
  return [
    '90 s after its last task was gone the gang has not started again; two machines have six CPUs free, one for each task',
  ];
});
