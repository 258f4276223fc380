/** Stand-ins for the users: they submit jobs, ask for them and cancel them as the protocol's page says. */
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { callJson, sleep } from './net-tools.mjs';

const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const RETRY_FOR_MS = 60_000;

/** A submission with the values of a small job; `fields` replaces some of them. */
export function jobBody(uid, crew, fields = {}) {
  return {
    uid,
    lane: 'lane',
    crew,
    shape: 'batch',
    rank: 'standard',
    legs: 1,
    vcpus: 1,
    cards: 0,
    memoryGb: 1,
    cargo: 'img-01',
    sizeGb: 0.1,
    hulls: null,
    harbor: null,
    samePlace: false,
    apart: false,
    driftboats: false,
    passageS: 1,
    moorS: 0,
    stowS: 0,
    tideS: null,
    ...fields,
  };
}

/** Gangs: the tasks of one attempt start together, complete together and notice when one is gone. */
class Gangs {
  attempts = new Map();

  constructor(terms) {
    this.terms = terms;
  }

  of(task) {
    const key = `${task.job.uid}#${task.sailing}`;
    if (!this.attempts.has(key)) this.attempts.set(key, new Map());
    return this.attempts.get(key);
  }

  join(task, worker) {
    const members = this.of(task);
    members.set(task.leg, { task, worker });
    setTimeout(() => {
      if (task.status === 'gathering') worker.exit(task, 'alone');
    }, this.terms.gangWaitS * 1000);
    if (members.size < task.job.legs) return;
    for (const { task: member, worker: host } of members.values()) {
      member.status = 'running';
      member.endsAt = task.endsAt;
      host.changed = true;
    }
  }

  complete(task) {
    const members = [...this.of(task).values()];
    this.attempts.delete(`${task.job.uid}#${task.sailing}`);
    for (const { task: member, worker } of members)
      if (member.status === 'running') worker.exit(member, 'done');
  }

  leave(task, why) {
    const members = this.of(task);
    members.delete(task.leg);
    if (why === 'done' || task.status !== 'running') return;
    setTimeout(() => {
      for (const { task: member, worker } of members.values())
        if (member.status === 'running') worker.exit(member, 'peers');
    }, this.terms.gangPeerS * 500);
  }
}

/** The descriptions that workers fetch, the true run times, and the results that are kept. */
export class Jobs {
  specs = new Map();
  finished = new Set();
  runTimes = new Map();
  gangs = new Gangs({ gangWaitS: 50, gangPeerS: 8 });

  get(uid) {
    return this.specs.get(uid);
  }

  runMs(leg) {
    const [uid, index] = leg.split('/');
    const times = this.runTimes.get(uid);
    return Array.isArray(times) ? times[Number(index)] : times;
  }

  add(body, runMs) {
    this.specs.set(body.uid, body);
    this.runTimes.set(body.uid, runMs);
  }
}

export class Users {
  constructor(jobs, log, nodes) {
    Object.assign(this, { jobs, log, nodes });
  }

  async call(kind, node, method, path, body, timeoutMs) {
    const answer = await callJson(node.address, method, path, body, timeoutMs);
    this.log.add(kind, { node: node.label, path, status: answer.status, body: answer.body });
    return answer;
  }

  /** Submits at the nodes in turn until one answers with 2xx or 4xx; returns the answer. */
  async submit(body, runMs, first = 0) {
    this.jobs.add(body, runMs);
    const until = performance.now() + RETRY_FOR_MS;
    for (let i = first; ; i += 1) {
      const node = this.nodes[i % this.nodes.length];
      const answer = await this.call('submit', node, 'POST', '/v2/runs', body, SUBMIT_TIMEOUT_MS);
      const isFinal = [200, 201, 400, 422].includes(answer.status);
      if (isFinal || performance.now() > until) return answer;
      await sleep(Math.max(1000, answer.retryAfterS * 1000 || 0));
    }
  }

  poll(uid, index) {
    return this.call('poll', this.nodes[index], 'GET', `/v2/runs/${uid}`, undefined, POLL_TIMEOUT_MS);
  }

  abort(uid, index) {
    const path = `/v2/runs/${uid}/abort`;
    return this.call('abort', this.nodes[index], 'POST', path, {}, SUBMIT_TIMEOUT_MS);
  }

  /** Cancels at one node, repeated until it has an answer that counts. */
  async cancel(uid, index) {
    for (;;) {
      const answer = await this.abort(uid, index);
      if (answer.status === 200) return answer;
      await sleep(1000);
    }
  }

  /** Asks about every 1 s until the job has the status; returns whether it had it in time. */
  async waitFor(uid, status, timeoutMs, indices = [0, 1, 2]) {
    const until = performance.now() + timeoutMs;
    for (let i = 0; performance.now() < until; i += 1) {
      const answer = await this.poll(uid, indices[i % indices.length]);
      if (answer.status === 200 && answer.body.status === status) return true;
      await sleep(1000);
    }
    return false;
  }
}
