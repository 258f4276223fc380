/** An array that may have half of its tasks in a zone at a time, and only one zone: the other half waits. See claim.txt. */
import { runCase } from '../lib-2/case.mjs';
import { SMALL_SITE } from '../lib-2/cluster.mjs';
import { jobBody } from '../lib-2/users.mjs';

const TEAM = 'ghoshana-toli-1';
/** No job is left waiting for this long while a machine that fits has room and its team is under its limit. */
const WAIT_MS = 90_000;

await runCase(import.meta.dirname, SMALL_SITE, async (cluster, trouble) => {
  const [zone, otherZone] = SMALL_SITE.zones;
  for (const harbor of [zone, otherZone, zone]) cluster.cloud.add('sano-ghar', harbor, false, 0);
  cluster.startAll();
  await cluster.waitReady();
  const job = jobBody('req-000001', TEAM, { legs: 4, harbor: zone, apart: trouble });
  const { status } = await cluster.users.submit(job, 1000);
  if (status === 422) return [];
  if (status !== 201) throw new Error(`the job was answered with ${status}`);
  const { users, jobs, log } = cluster;
  if (await users.waitFor('req-000001', 'done', 10_000)) return [];
  const completed = jobs.finished.size;
  const isDone = await users.waitFor('req-000001', 'done', WAIT_MS);
  if (isDone || jobs.finished.size > completed) return [];
  // Idle machines are returned to the cloud; one in the zone must have been there all the time.
  const empty = [...cluster.cloud.machines.values()].filter(({ harbor }) => harbor === zone).length;
  log.add('still waiting', { completed, empty });
  if (empty === 0) throw new Error('no machine in the zone');
  return [
    `${completed} of 4 tasks have completed; for 90 s no other task was started, with an empty machine in the zone`,
  ];
});
