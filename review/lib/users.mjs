/** A user: submits, asks and cancels as PROTOCOL says, and records each request with its answer. */
import { performance } from 'node:perf_hooks';
import { call, pause } from './wire.mjs';

/** Submits a job until it is accepted, as a user does: for 60 s at the most, at one node after another. */
export async function submit(cluster, job, first = 0) {
  const description = {
    uid: job.uid,
    lane: 'sanjh-milan',
    crew: cluster.deployment.teams[0].name,
    shape: 'batch',
    rank: 'standard',
    legs: 1,
    vcpus: 2.0,
    cards: 0.0,
    memoryGb: 3.4,
    cargo: 'img-01',
    sizeGb: 0.1,
    hulls: null,
    harbor: null,
    samePlace: false,
    apart: false,
    driftboats: false,
    passageS: 5.0,
    moorS: 0.0,
    stowS: 0.0,
    tideS: null,
    ...job.fields,
  };
  cluster.jobs.set(job.uid, { ...description, runS: job.runS ?? 3 });
  const deadline = performance.now() + 60_000;
  for (let attempt = 0; performance.now() < deadline; attempt += 1) {
    const node = cluster.nodes[(first + attempt) % cluster.nodes.length];
    const answer = await call(node.port, 'POST', '/v2/runs', description, 5000);
    cluster.record(
      `user: submit ${job.uid} at ${node.name}: ${answer.status} ${JSON.stringify(answer.body)}`,
    );
    if ([200, 201, 400, 422].includes(answer.status)) return answer;
    await pause(Math.max(1000, (answer.retryAfterS ?? 0) * 1000));
  }
  return null;
}

/** Asks once about a job. */
export async function ask(cluster, uid, node) {
  const answer = await call(node.port, 'GET', `/v2/runs/${uid}`, undefined, 2000);
  cluster.record(`user: ask ${uid} at ${node.name}: ${answer.status} ${JSON.stringify(answer.body)}`);
  return answer;
}

/** Cancels a job, as a user does: repeated until it is confirmed. */
export async function abort(cluster, uid, nodes, timeoutS = 30) {
  const deadline = performance.now() + timeoutS * 1000;
  for (let attempt = 0; performance.now() < deadline; attempt += 1) {
    const node = nodes[attempt % nodes.length];
    const answer = await call(node.port, 'POST', `/v2/runs/${uid}/abort`, undefined, 5000);
    cluster.record(`user: abort ${uid} at ${node.name}: ${answer.status} ${JSON.stringify(answer.body)}`);
    if (answer.status === 200) return answer;
    await pause(1000);
  }
  return null;
}
