/**
 * A simulated cluster of three controllers for failover tests: calls the test back at commits, starts and direct
 * commands, delays watches and transactions, and disconnects machines or makes them hang.
 */
import assert from 'node:assert/strict';
import type { Call, CallOutcome } from '../../src/http/client.js';
import type { FakeStore } from './fake-store.js';
import type { FakeWorker } from './fake-worker.js';
import { SMALL_CLUSTER, SimulatedCluster } from './simulated-cluster.js';

type Transaction = Parameters<FakeStore['applyTransaction']>[0];

export const NODES = [0, 1, 2];
/** A quota in CPUs that is larger than the capacity of all machines. */
export const UNLIMITED_CPUS = 300;

interface FailoverWrite {
  readonly shard: string;
  readonly node: number;
}

/** Returns the acquisition of shard leadership in a transaction, or null. */
export function failoverIn(body: Transaction): FailoverWrite | null {
  for (const change of body.apply ?? []) {
    const leader = (change.data as { owner?: string | null } | undefined)?.owner;
    if (change.put?.startsWith('c/parts/') && leader) {
      return { shard: change.put.slice('c/parts/'.length), node: Number(leader.slice(1)) };
    }
  }
  return null;
}

/** A simulated cluster with callbacks at the exact moment of an event. */
export class FaultInjectionCluster extends SimulatedCluster {
  /** A transaction has just been applied. */
  onCommit: (body: Transaction) => void = () => undefined;
  /** A task has just started. */
  onStart: (machine: string, task: string) => void = () => undefined;
  /** A controller has just sent a direct command to a worker. */
  onDirectCall: (node: number, machine: string) => void = () => undefined;
  /** Delay, in milliseconds, of the answers to a controller's watch requests. */
  watchDelayMs: (node: string) => number = () => 0;

  private readonly confirmedCancellations = new Set<string>();

  constructor(cpusMax: number) {
    const teams = SMALL_CLUSTER.teams.map((team) => ({ ...team, cpusMax }));
    super({ ...SMALL_CLUSTER, teams, tuning: 'fleet.idle.return.ms = 300000' });
    this.reportCommits();
    this.delayWatches();
    this.commandDelayMs = (node, machine) => {
      this.onDirectCall(node, machine);
      return null;
    };
  }

  private reportCommits(): void {
    const apply = this.store.applyTransaction.bind(this.store);
    this.store.applyTransaction = (body) => {
      const outcome = apply(body);
      if (outcome.kind === 'answer' && outcome.status === 200) this.onCommit(body);
      return outcome;
    };
  }

  private delayWatches(): void {
    const call = this.store.call.bind(this.store);
    this.store.call = async (node: string, request: Call): Promise<CallOutcome> => {
      const outcome = await call(node, request);
      if (request.path.startsWith('/follow')) await this.clock.sleep(this.watchDelayMs(node));
      return outcome;
    };
  }

  override trace(line: string): void {
    super.trace(line);
    const started = /^(\S+) runs (\S+)$/.exec(line);
    if (!started) return;
    this.invariantChecker.checkOverdue();
    this.onStart(started[1] ?? '', started[2] ?? '');
  }

  worker(id: string): FakeWorker {
    const worker = this.workers.get(id);
    assert.ok(worker, `${id} exists`);
    return worker;
  }

  /** Machines on which a task of the job runs now. */
  machinesRunning(job: string): string[] {
    const runsJob = (worker: FakeWorker): boolean =>
      worker.runningTasks().some((t) => t.taskId.startsWith(`${job}/`));
    return [...this.workers.values()].filter(runsJob).map((worker) => worker.id);
  }

  countRunningTasks(job: string): number {
    let count = 0;
    for (const worker of this.workers.values())
      count += worker.runningTasks().filter((t) => t.taskId.startsWith(`${job}/`)).length;
    return count;
  }

  /** The number of the controller that leads a shard according to its record in the store; -1 if there is no leader. */
  leaderOf(shard: number): number {
    const leader = (this.store.entries.get(`c/parts/${shard}`)?.data as { owner: string | null }).owner;
    return Number(leader?.slice(1) ?? -1);
  }

  /** Cuts the connections between machines and controllers in both directions. */
  cutOff(machines: readonly string[], nodes: readonly number[] = NODES): void {
    for (const node of nodes) for (const machine of machines) this.networkCuts.add(`n${node}|${machine}`);
  }

  heal(machines: readonly string[]): void {
    for (const node of NODES) for (const machine of machines) this.networkCuts.delete(`n${node}|${machine}`);
  }

  /** Cancels a job as a user, and retries every 300 ms at the next controller until the cancellation is confirmed. */
  cancel(job: string, at: number): void {
    void this.request(at, 'POST', `/v2/runs/${job}/abort`).then((answer) => {
      const state = (answer?.body as { status?: string } | undefined)?.status;
      if (answer?.status === 200 && state === 'cancelled') {
        this.recordConfirmedCancellation(job, at);
        return;
      }
      this.clock.after(300, () => this.cancel(job, (at + 1) % NODES.length));
    });
  }

  private recordConfirmedCancellation(job: string, at: number): void {
    if (this.confirmedCancellations.has(job)) return;
    this.confirmedCancellations.add(job);
    this.trace(`user is told at n${at} that ${job} is cancelled`);
  }

  /** Runs `action` once, when a controller other than the home controller first acquires the shard. */
  onFailover(shard: number, action: (successor: number) => void): void {
    this.onLeaderWrite(shard, (node) => node !== shard, action);
  }

  /** Runs `action` once, when a controller for which `matches` is true first acquires the shard. */
  onLeaderWrite(shard: number, matches: (node: number) => boolean, action: (node: number) => void): void {
    const previousOnCommit = this.onCommit;
    let hasRun = false;
    this.onCommit = (body) => {
      previousOnCommit(body);
      const failover = failoverIn(body);
      if (hasRun || failover?.shard !== String(shard) || !matches(failover.node)) return;
      hasRun = true;
      this.trace(`n${failover.node} leads shard ${shard}`);
      action(failover.node);
    };
  }

  /** Advances the simulation until `condition` holds; fails after `limitMs`. */
  async until(description: string, condition: () => boolean, limitMs = 20_000): Promise<void> {
    for (let remainingMs = limitMs; remainingMs > 0 && !condition(); remainingMs -= 50) await this.step(50);
    assert.ok(condition(), `${description}, within ${limitMs} ms:\n${this.traceLines.join('\n')}`);
  }

  /** Fails if a rule of the protocol has been violated. */
  assertNoViolations(phase: string): void {
    this.invariantChecker.checkOverdue();
    assert.deepEqual(this.violations, [], `${phase}:\n${this.traceLines.join('\n')}`);
  }
}

/**
 * Starts all controllers with machines of 8 CPUs, registered alternately in shards 0 and 2 (east) and in shard 1
 * (west).
 */
export async function startCluster(
  east: number,
  west: number,
  cpusMax = 24,
  logOf?: SimulatedCluster['logOf'],
): Promise<FaultInjectionCluster> {
  const cluster = new FaultInjectionCluster(cpusMax);
  if (logOf) cluster.logOf = logOf;
  for (let i = 0; i < east; i += 1) cluster.addWorker('large', 'east');
  for (let i = 0; i < west; i += 1) cluster.addWorker('large', 'west');
  await cluster.start();
  await cluster.until('all machines are registered', () => countRegisteredMachines(cluster) === east + west);
  await cluster.step(1500);
  return cluster;
}

const countRegisteredMachines = (cluster: SimulatedCluster): number =>
  [...cluster.store.entries.keys()].filter((key) => key.startsWith('c/machines/')).length;

export const shardOfMachine = (cluster: SimulatedCluster, machine: string): number =>
  (cluster.store.entries.get(`c/machines/${machine}`)?.data as { part: number } | undefined)?.part ?? -1;

export const machinesOfShard = (cluster: FaultInjectionCluster, shard: number, job: string): string[] =>
  cluster.machinesRunning(job).filter((machine) => shardOfMachine(cluster, machine) === shard);

export type MachineFault = 'hang' | 'cut';

export function injectFault(
  cluster: FaultInjectionCluster,
  fault: MachineFault,
  machines: readonly string[],
): void {
  cluster.trace(`${machines.join(' ')}: ${fault}`);
  if (fault === 'cut') cluster.cutOff(machines);
  else for (const machine of machines) cluster.worker(machine).hanging = true;
}

export function recover(cluster: FaultInjectionCluster, machines: readonly string[]): void {
  cluster.trace(`${machines.join(' ')} are back`);
  cluster.heal(machines);
  for (const machine of machines) if (cluster.workers.has(machine)) cluster.worker(machine).hanging = false;
}

/** Runs `action` when the first failover of shard 0 reaches the store; delays the commit of each by `delayMs`. */
export function whenFailoverArrives(
  cluster: FaultInjectionCluster,
  delayMs: number,
  action: () => void,
): void {
  let arrived = false;
  cluster.store.transactionDelayMs = (body) => {
    if (failoverIn(body)?.shard !== '0') return 0;
    if (!arrived) action();
    arrived = true;
    return delayMs;
  };
}
