/**
 * Runs one case: jobs are cancelled while the store refuses only the leader, and afterwards the store is down for all
 * controllers. Measures how much of the cancellation limit and of the command deadline remains.
 */
import assert from 'node:assert/strict';
import { SimulatedCluster } from './simulated-cluster.js';
import {
  OUTAGE_CLUSTER,
  WITHOUT_FAILOVER,
  CANCEL_MS,
  LEASE_MS,
  HEARTBEAT_INTERVAL_MS,
  LEADER,
  MACHINES,
  JOBS_PER_MACHINE,
  STEP_MS,
  UNCANCELLED_JOB,
  FIRST_CANCELLATION_MS,
  SLOW_ANSWER_MS,
  type OutageCase,
  type OutageMeasurement,
} from './outage-case.js';

/** Returns the first of `jobs` whose first task is among `tasks`. */
const firstJobWithTask = (tasks: readonly { taskId: string }[], jobs: readonly string[]): string =>
  jobs.find((id) => tasks.some((task) => task.taskId === `${id}/0`)) ?? '';

/** Runs one case, from filling the machines to the end of the outage. */
export class OutageScenario {
  readonly cluster: SimulatedCluster;
  private refusedAt = Infinity;
  private readonly lastCommandAt = { answer: -Infinity, direct: -Infinity };
  private readonly lastAnswerAt = new Map<string, number>();
  private confirmedCancellations = 0;
  private failedOver = false;
  private outageScheduled = false;

  constructor(private readonly outageCase: OutageCase) {
    const cluster = new SimulatedCluster(outageCase.failover === 'none' ? WITHOUT_FAILOVER : OUTAGE_CLUSTER);
    this.cluster = cluster;
    cluster.clockRate = (nodeOrMachine) =>
      nodeOrMachine === `n${LEADER}`
        ? outageCase.leaderClockRate
        : nodeOrMachine.startsWith('m-')
          ? outageCase.workerClockRate
          : 1;
    cluster.onCommandSent = (node, worker, channel) => {
      if (node !== LEADER) return;
      this.lastCommandAt[channel] = cluster.clock.now();
      if (channel === 'answer' && this.refusedAt === Infinity)
        this.lastAnswerAt.set(worker, cluster.clock.now());
    };
    cluster.store.transactionFate = (node, body) => {
      const isFailover = body.apply?.some((change) => change.put === `c/parts/${LEADER}`) ?? false;
      if (isFailover && node !== `n${LEADER}` && this.refusedAt < Infinity) this.onFailover();
      return 'normal';
    };
  }

  /** Ends all faults, including the refusal of the old leader, and checks that a new job runs. */
  async recover(): Promise<void> {
    const { cluster } = this;
    cluster.store.refusedNodes.clear();
    cluster.store.readDelayMs = () => 0;
    cluster.connectDelayMs = () => 0;
    cluster.commandDelayMs = () => null;
    cluster.networkCuts.clear();
    cluster.store.endOutage();
    cluster.trace('all faults are over');
    await cluster.step(6000);
    const accepted = await cluster.submit(0, 'req-after', { cpus: 1, runMs: 1000 });
    assert.equal(accepted.status, 201);
    await cluster.step(6000);
    const { body } = await cluster.sendUserRequest(LEADER, 'GET', '/v2/runs/req-after');
    assert.equal(body['status'], 'done');
  }

  async run(): Promise<OutageMeasurement> {
    const { cluster, outageCase } = this;
    await this.fillMachines();
    if (outageCase.slowConnections) cluster.connectDelayMs = (node) => (node === LEADER ? 1900 : 0);
    if (outageCase.unacknowledgedLaunches) this.dropLaunchAnswers();
    if (outageCase.hanging) this.hangHalfOfMachines();
    if (outageCase.failover === 'reaches no machine')
      for (const node of cluster.nodes.keys())
        if (node !== LEADER)
          for (const machine of cluster.workers.keys()) cluster.networkCuts.add(`n${node}|${machine}`);
    // The seed determines at which point of the heartbeat and store request intervals the refusal falls.
    await cluster.step(1000 + ((outageCase.seed * 37) % 100));
    const jobs = this.shuffled(
      [...cluster.jobs.keys()].filter((id) => id !== 'req-queue' && id !== UNCANCELLED_JOB),
    );
    const lastJobs = new Set(
      [...cluster.workers.values()].map((machine) => firstJobWithTask(machine.runningTasks(), jobs)),
    );
    const earlierJobs = jobs.filter((id) => !lastJobs.has(id));
    earlierJobs.forEach((id, i) => this.cancelAfter(id, Math.floor(i / 2) * STEP_MS));
    this.cancelAfter('req-queue', FIRST_CANCELLATION_MS + STEP_MS);
    if (outageCase.slowAnswers !== 'list') this.pollLeader();
    // The store's answers are current when sent and outdated when they reach the leader.
    if (outageCase.slowAnswers === 'watch' || outageCase.slowAnswers === 'question')
      cluster.store.readDelayMs = (node) => (node === `n${LEADER}` ? SLOW_ANSWER_MS : 0);
    await cluster.step(FIRST_CANCELLATION_MS);
    this.refuseLeaderAfterItsNextRead([...lastJobs]);
    await cluster.step(CANCEL_MS + 4500);
    assert.ok(this.refusedAt < Infinity);
    return this.measure();
  }

  /** Refuses the leader after its next read, so that it cannot confirm its watch cache again, and cancels `jobs`. */
  private refuseLeaderAfterItsNextRead(jobs: readonly string[]): void {
    const { cluster, outageCase } = this;
    const refuse = (): void => {
      if (this.refusedAt < Infinity) return;
      this.refusedAt = cluster.clock.now();
      cluster.store.refusedNodes.add(`n${LEADER}`);
      cluster.trace('the leader alone is refused');
      for (const id of jobs) this.cancelAfter(id, 0);
    };
    if (outageCase.slowAnswers === 'list') {
      cluster.store.compactedForNodes.add(`n${LEADER}`);
      cluster.store.readDelayMs = (node, path) => {
        if (node !== `n${LEADER}` || !path.startsWith('/kv?')) return 0;
        refuse();
        return SLOW_ANSWER_MS;
      };
      return;
    }
    cluster.store.onWatchAnswered = (node, blockMs) => {
      // A read for a user's question was sent just before its answer; a blocking watch was sent up to seconds before.
      if (node === `n${LEADER}` && (blockMs === 0) !== (outageCase.slowAnswers === 'watch')) refuse();
    };
  }

  /** Queries the leader until it is refused, which keeps its watch cache as current as possible. */
  private pollLeader(): void {
    const { cluster, outageCase } = this;
    const durationMs =
      2 * FIRST_CANCELLATION_MS + (outageCase.slowAnswers === 'question' ? 2 * SLOW_ANSWER_MS : 0);
    for (let delayMs = 0; delayMs < durationMs; delayMs += 7)
      cluster.clock.after(delayMs, () => void cluster.request(LEADER, 'GET', `/v2/runs/${UNCANCELLED_JOB}`));
  }

  /** Starts long tasks on every machine, and a queue of short tasks that use the remaining capacity. */
  private async fillMachines(): Promise<void> {
    const { cluster } = this;
    await cluster.start();
    for (let i = 0; i < MACHINES; i += 1) {
      cluster.addWorker('large', 'west');
      await cluster.step(HEARTBEAT_INTERVAL_MS / MACHINES);
    }
    await cluster.step(2500);
    for (let i = 0; i < MACHINES * JOBS_PER_MACHINE; i += 1)
      void cluster.request(
        0,
        'POST',
        '/v2/runs',
        cluster.submissionBody(`req-${i}`, { cpus: 1.75, runMs: 1e6 }),
      );
    const uncancelledJob = cluster.submissionBody(UNCANCELLED_JOB, { cpus: 0.25, runMs: 1e6 });
    void cluster.request(0, 'POST', '/v2/runs', uncancelledJob);
    await cluster.step(1500);
    const queue = cluster.submissionBody('req-queue', { cpus: 1, tasks: 400, runMs: 650 });
    void cluster.request(LEADER, 'POST', '/v2/runs', queue);
    await cluster.step(500);
    const busy = [...cluster.workers.values()].filter(
      (machine) => machine.runningTasks().length > JOBS_PER_MACHINE,
    );
    assert.equal(busy.length, MACHINES, 'every machine is full');
  }

  private cancelAfter(id: string, delayMs: number): void {
    const { cluster, outageCase } = this;
    cluster.clock.after(delayMs, () => {
      void cluster.request(id.length % 2 === 0 ? 0 : 2, 'POST', `/v2/runs/${id}/abort`).then((answer) => {
        if (answer?.status !== 200) return;
        this.confirmedCancellations += 1;
        const expectedCancellations = MACHINES * JOBS_PER_MACHINE + 1;
        if (outageCase.failover === 'none' && this.confirmedCancellations === expectedCancellations)
          this.scheduleOutage();
      });
    });
  }

  private onFailover(): void {
    this.failedOver = true;
    if (this.outageCase.failover !== 'none') this.scheduleOutage();
  }

  private scheduleOutage(): void {
    if (this.outageScheduled) return;
    this.outageScheduled = true;
    this.cluster.clock.after(this.outageCase.outageAfterMs, () => {
      this.cluster.store.outage = true;
      this.cluster.trace('the store is down');
    });
  }

  private dropLaunchAnswers(): void {
    const { cluster, outageCase } = this;
    let count = 0;
    cluster.commandDelayMs = (node) => {
      count += 1;
      return node === LEADER && count % 3 === 0 ? 500 + ((count * 791 + outageCase.seed * 333) % 9000) : null;
    };
  }

  /** Half of the machines hang; each resumes at a different time: within its lease, or for odd seeds mostly later. */
  private hangHalfOfMachines(): void {
    const { cluster, outageCase } = this;
    const additionalMs = outageCase.seed % 2 === 1 ? 2 * HEARTBEAT_INTERVAL_MS : 0;
    [...cluster.workers.values()].forEach((machine, i) => {
      if (i % 2 === 1) return;
      const hangAfterMs = 400 + i * 450;
      cluster.clock.after(hangAfterMs, () => machine.hang());
      cluster.clock.after(hangAfterMs + LEASE_MS - HEARTBEAT_INTERVAL_MS - 100 * i + additionalMs, () =>
        machine.resume(),
      );
    });
  }

  private shuffled(ids: string[]): string[] {
    let state = this.outageCase.seed * 2654435761 + 1;
    for (let i = ids.length - 1; i > 0; i -= 1) {
      state = (state * 1103515245 + 12345) % 2147483648;
      const j = state % (i + 1);
      [ids[i], ids[j]] = [ids[j] as string, ids[i] as string];
    }
    return ids;
  }

  private measure(): OutageMeasurement {
    const { cluster } = this;
    cluster.invariantChecker.checkOverdue();
    const commandDeadline = this.refusedAt + CANCEL_MS - LEASE_MS;
    const phases = [...this.lastAnswerAt.values()].map((answeredAt) => {
      const elapsedMs = (this.refusedAt - answeredAt) % HEARTBEAT_INTERVAL_MS;
      return Math.floor((elapsedMs * 10) / HEARTBEAT_INTERVAL_MS);
    });
    return {
      remainingMs: cluster.invariantChecker.minRemainingMs,
      answerSlackMs: commandDeadline - this.lastCommandAt.answer,
      directSlackMs: commandDeadline - this.lastCommandAt.direct,
      confirmed: this.confirmedCancellations,
      lateStarts: cluster.invariantChecker.startsAfterCancellation.length,
      phases: new Set(phases),
      failedOver: this.failedOver,
    };
  }
}
