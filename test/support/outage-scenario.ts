/**
 * Plays one case: jobs are cancelled while the leader alone is refused by the store, and the store is down for all
 * afterwards. Measures how much of the cancel time and of the command deadline is left.
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

/** The first of these jobs that has a task on a machine. */
const firstJobWithTask = (tasks: readonly { taskId: string }[], jobs: readonly string[]): string =>
  jobs.find((id) => tasks.some((task) => task.taskId === `${id}/0`)) ?? '';

/** One case, from full machines to the end of the outage. */
export class OutageScenario {
  readonly cluster: SimulatedCluster;
  private refusedAt = Infinity;
  private readonly lastCommandAt = { answer: -Infinity, direct: -Infinity };
  private readonly lastAnswerAt = new Map<string, number>();
  private confirmedCancellations = 0;
  private failedOver = false;
  private outageArmed = false;

  constructor(private readonly outageCase: OutageCase) {
    const cluster = new SimulatedCluster(outageCase.failover === 'none' ? WITHOUT_FAILOVER : OUTAGE_CLUSTER);
    this.cluster = cluster;
    cluster.clockRate = (who) =>
      who === `n${LEADER}`
        ? outageCase.leaderClockRate
        : who.startsWith('m-')
          ? outageCase.workerClockRate
          : 1;
    cluster.onCommandSent = (node, worker, how) => {
      if (node !== LEADER) return;
      this.lastCommandAt[how] = cluster.clock.now();
      if (how === 'answer' && this.refusedAt === Infinity) this.lastAnswerAt.set(worker, cluster.clock.now());
    };
    cluster.store.transactionFate = (node, body) => {
      const isFailover = body.apply?.some((a) => a.put === `c/parts/${LEADER}`) ?? false;
      if (isFailover && node !== `n${LEADER}` && this.refusedAt < Infinity) this.onFailover();
      return 'normal';
    };
  }

  /** Ends the faults, the refusal of the old leader too, and checks that a job is served. */
  async recover(): Promise<void> {
    const { cluster } = this;
    cluster.store.refusedNodes.clear();
    cluster.store.readDelayMs = () => 0;
    cluster.connectDelayMs = () => 0;
    cluster.commandDelayMs = () => null;
    cluster.networkCuts.clear();
    cluster.store.endOutage();
    cluster.trace('all is over');
    await cluster.step(6000);
    const served = await cluster.submit(0, 'req-after', { cpus: 1, runMs: 1000 });
    assert.equal(served.status, 201);
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
    // Where the refusal falls in the intervals of heartbeats and of store requests.
    await cluster.step(1000 + ((outageCase.seed * 37) % 100));
    const jobs = this.shuffled(
      [...cluster.jobs.keys()].filter((id) => id !== 'req-queue' && id !== UNCANCELLED_JOB),
    );
    const last = new Set(
      [...cluster.workers.values()].map((machine) => firstJobWithTask(machine.runningTasks(), jobs)),
    );
    const others = jobs.filter((id) => !last.has(id));
    others.forEach((id, i) => this.cancelAfter(id, Math.floor(i / 2) * STEP_MS));
    this.cancelAfter('req-queue', FIRST_CANCELLATION_MS + STEP_MS);
    if (outageCase.slowAnswers !== 'list') this.pollLeader();
    // What the leader reads is current when the store answers, and old when it arrives.
    if (outageCase.slowAnswers === 'watch' || outageCase.slowAnswers === 'question')
      cluster.store.readDelayMs = (node) => (node === `n${LEADER}` ? SLOW_ANSWER_MS : 0);
    await cluster.step(FIRST_CANCELLATION_MS);
    this.refuseLeaderAfterItsNextRead([...last]);
    await cluster.step(CANCEL_MS + 4500);
    assert.ok(this.refusedAt < Infinity);
    return this.measure();
  }

  /** From then on its store cache cannot be confirmed any more; the first confirmations that it cannot know of follow. */
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
      // A read for a user's question was sent just now; a watch that blocks, up to seconds ago.
      if (node === `n${LEADER}` && (blockMs === 0) !== (outageCase.slowAnswers === 'watch')) refuse();
    };
  }

  /** Users ask the leader until it is refused: its store cache is as current as it can be. */
  private pollLeader(): void {
    const { cluster, outageCase } = this;
    const until =
      2 * FIRST_CANCELLATION_MS + (outageCase.slowAnswers === 'question' ? 2 * SLOW_ANSWER_MS : 0);
    for (let delayMs = 0; delayMs < until; delayMs += 7)
      cluster.clock.after(delayMs, () => void cluster.request(LEADER, 'GET', `/v2/runs/${UNCANCELLED_JOB}`));
  }

  /** Long tasks on every machine, and short ones that come and go in the capacity beside them. */
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
    const bystander = cluster.submissionBody(UNCANCELLED_JOB, { cpus: 0.25, runMs: 1e6 });
    void cluster.request(0, 'POST', '/v2/runs', bystander);
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
        const all = MACHINES * JOBS_PER_MACHINE + 1;
        if (outageCase.failover === 'none' && this.confirmedCancellations === all) this.scheduleOutage();
      });
    });
  }

  private onFailover(): void {
    this.failedOver = true;
    if (this.outageCase.failover !== 'none') this.scheduleOutage();
  }

  private scheduleOutage(): void {
    if (this.outageArmed) return;
    this.outageArmed = true;
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

  /** Some go on within their lease, at another time each; with odd seeds, most after it. */
  private hangHalfOfMachines(): void {
    const { cluster, outageCase } = this;
    const longer = outageCase.seed % 2 === 1 ? 2 * HEARTBEAT_INTERVAL_MS : 0;
    [...cluster.workers.values()].forEach((machine, i) => {
      if (i % 2 === 1) return;
      const from = 400 + i * 450;
      cluster.clock.after(from, () => machine.hang());
      cluster.clock.after(from + LEASE_MS - HEARTBEAT_INTERVAL_MS - 100 * i + longer, () => machine.resume());
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
    const latest = this.refusedAt + CANCEL_MS - LEASE_MS;
    const phases = [...this.lastAnswerAt.values()].map((answeredAt) => {
      const since = (this.refusedAt - answeredAt) % HEARTBEAT_INTERVAL_MS;
      return Math.floor((since * 10) / HEARTBEAT_INTERVAL_MS);
    });
    return {
      remainingMs: cluster.invariantChecker.minRemainingMs,
      answerSlackMs: latest - this.lastCommandAt.answer,
      directSlackMs: latest - this.lastCommandAt.direct,
      confirmed: this.confirmedCancellations,
      lateStarts: cluster.invariantChecker.startsAfterCancellation.length,
      phases: new Set(phases),
      failedOver: this.failedOver,
    };
  }
}
