/** What a worker's message means for its part: which tasks are where, ended, done or lost. */
import type { Log } from '../logging/log.js';
import type { ExitCause } from '../model/exit-cause.js';
import type { GangHistory } from '../model/gang.js';
import type { Attempt, Millis, SteadyMs, TaskId } from '../model/units.js';
import { plus, elapsed, taskId, toMillis } from '../model/units.js';
import {
  addToMachine,
  allocate,
  isAssignedTo,
  release,
  type Allocation,
  type ExitedTask,
  type Machine,
  type Shard,
  type ShardJob,
} from '../shards/model.js';
import type { JobSpec } from '../jobs/spec.js';
import type { Heartbeat, TaskStatus } from './wire.js';

/** `report`: the worker's own message. `direct`: its answer to an order of ours. */
export type Channel = 'report' | 'direct';

export interface ReconciliationContext {
  readonly now: SteadyMs;
  /** Of jobs that are over but may still have tasks on machines. */
  readonly endedJobSpec: (task: TaskStatus) => JobSpec | null;
  readonly onTaskDone: (allocation: Allocation) => void;
  /** A worker that heard our answer reports again within this time. */
  readonly heartbeatTimeout: Millis;
  readonly log: Log;
}

/** Applies a message in the order of (session, number); false: it is older than what we know. */
export function reconcileHeartbeat(
  shard: Shard,
  machine: Machine,
  heartbeat: Heartbeat,
  channel: Channel,
  context: ReconciliationContext,
): boolean {
  const older =
    heartbeat.agentEpoch < machine.minimumAgentEpoch ||
    heartbeat.agentEpoch < machine.agentEpoch ||
    (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.sequence);
  // A held report may arrive minutes late, with a list as old as itself.
  if (older) return false;
  if (channel === 'report' && wentUnanswered(machine, heartbeat, context)) {
    // To be reached directly before anything new is placed there.
    machine.unreachableSince ??= context.now;
    shard.machinesWithPendingCommands.add(machine);
  }
  if (heartbeat.agentEpoch > machine.agentEpoch) {
    endAgentEpoch(shard, machine, context);
    machine.agentEpochSeenAt = context.now;
  }
  machine.agentEpoch = heartbeat.agentEpoch;
  machine.sequence = heartbeat.sequence;
  machine.fencingToken = heartbeat.fencingToken;
  machine.address = heartbeat.address;
  machine.lastHeardAt = context.now;
  const noticeS = heartbeat.interruptionNoticeS;
  shard.setInterruption(machine, noticeS === null ? null : plus(context.now, toMillis(noticeS)));
  if (channel === 'report') {
    if (
      machine.lastHeartbeatAt === null ||
      elapsed(context.now, machine.lastHeartbeatAt) > context.heartbeatTimeout
    )
      machine.continuouslyHeardSince = context.now;
    machine.lastHeartbeatAt = context.now;
    machine.lastHeartbeatSequence = heartbeat.sequence;
  }
  resolveUnacknowledgedLaunches(machine, heartbeat);
  const seen = new Set<TaskId>();
  machine.exitedTasks = reconcileExited(shard, machine, heartbeat, seen, context);
  for (const task of heartbeat.tasks)
    if (task.state !== 'exited') reconcileActive(shard, machine, task, seen, context);
  for (const allocation of [...machine.allocations.values()]) {
    if (!seen.has(allocation.id)) reconcileAbsent(shard, machine, allocation, channel, context);
  }
  if (heartbeat.fencingToken >= shard.fencingToken) shard.markReconciled(machine);
  return true;
}

/** Hearing is not reaching: a new session, or a longer silence than between reports that we answered. */
function wentUnanswered(machine: Machine, heartbeat: Heartbeat, context: ReconciliationContext): boolean {
  if (machine.lastHeartbeatAt === null || !machine.reconciled) return false;
  return (
    heartbeat.agentEpoch > machine.agentEpoch ||
    elapsed(context.now, machine.lastHeartbeatAt) > context.heartbeatTimeout
  );
}

/** The worker's lease ran out: it killed and forgot every task, and takes no order of that session. */
export function endAgentEpoch(
  shard: Shard,
  machine: Machine,
  context: Pick<ReconciliationContext, 'log'>,
): void {
  for (const allocation of [...machine.allocations.values()]) {
    context.log.debug(
      { task: allocation.id, machine: machine.id, attempt: allocation.attempt },
      'lost with its session',
    );
    release(shard, machine, allocation);
  }
  machine.exitedTasks = new Map();
}

/**
 * A direct launch may be executed late as long as token and session match; a newer session or a higher token
 * seen by the worker rules that out.
 */
function resolveUnacknowledgedLaunches(machine: Machine, heartbeat: Heartbeat): void {
  const over = (launch: Allocation['unacknowledged']): boolean =>
    launch !== null &&
    (heartbeat.agentEpoch > launch.agentEpoch || heartbeat.fencingToken > launch.fencingToken);
  for (const allocation of machine.allocations.values())
    if (over(allocation.unacknowledged)) allocation.unacknowledged = null;
  for (const exitedTask of machine.exitedTasks.values())
    if (over(exitedTask.unacknowledged)) exitedTask.unacknowledged = null;
}

function reconcileExited(
  shard: Shard,
  machine: Machine,
  heartbeat: Heartbeat,
  seen: Set<TaskId>,
  context: ReconciliationContext,
): Map<TaskId, ExitedTask> {
  const exited = new Map<TaskId, ExitedTask>();
  for (const task of heartbeat.tasks) {
    if (task.state !== 'exited' || task.cause === null) continue;
    const id = taskId(task.job, task.index);
    const before = machine.exitedTasks.get(id);
    const allocation = machine.allocations.get(id);
    const ours = allocation?.attempt === task.attempt ? allocation : null;
    const unacknowledged =
      ours?.unacknowledged ?? (before?.attempt === task.attempt ? before.unacknowledged : null);
    exited.set(id, {
      id,
      job: task.job,
      index: task.index,
      attempt: task.attempt,
      cause: task.cause,
      unacknowledged,
    });
    if (ours) {
      seen.add(id);
      onTaskExited(shard, machine, ours, task, context);
    } else if (!before && task.cause === 'done') markFinished(shard, task);
  }
  return exited;
}

function markFinished(shard: Shard, task: TaskStatus): void {
  const job = shard.jobs.get(task.job);
  if (!job || job.spec.kind === 'service' || job.record.done.has(task.index)) return;
  if (!isAssignedTo(shard, task.job, task.index)) return;
  if (job.gangHistory) return markGangFinished(shard, job);
  if (shard.allocations.has(taskId(task.job, task.index))) return;
  job.finished.add(task.index);
  shard.jobsWithUnrecordedEnds.add(job);
  job.waiting.remove(task.index);
  job.unaccounted.remove(task.index);
}

/** The tasks of a gang complete together: one that is done says that all are. */
function markGangFinished(shard: Shard, job: ShardJob): void {
  job.finished.addRange(0, job.spec.tasks);
  job.finished.removeAll(job.record.done);
  shard.jobsWithUnrecordedEnds.add(job);
  job.waiting.removeRange(0, job.spec.tasks);
  job.unaccounted.removeRange(0, job.spec.tasks);
}

/** A task that still waits says that the attempt has not started; one that runs, that it has. */
function learnGangState(gang: GangHistory, attempt: Attempt, state: TaskStatus['state']): void {
  if (hasBegun(state)) gang.started = attempt;
  else gang.mayHaveStarted = false;
}

/** Exits after which the attempt had certainly not started: the task has not been one of those that wait. */
const NEVER_STARTED_CAUSES: readonly ExitCause[] = ['no-room', 'busy', 'unknown', 'alone'];

/** What the end of a gang's task says about its attempt. */
function learnGangExit(
  { gangHistory: gang }: ShardJob,
  machine: Machine,
  { attempt, cause }: TaskStatus,
): void {
  if (!gang) return;
  gang.leftMachines.add(machine.id);
  if (cause === 'peers') gang.started = attempt;
  if (cause === 'alone') gang.failed = attempt;
  if (cause !== null && NEVER_STARTED_CAUSES.includes(cause)) gang.mayHaveStarted = false;
}

function onTaskExited(
  shard: Shard,
  machine: Machine,
  allocation: Allocation,
  task: TaskStatus,
  context: ReconciliationContext,
): void {
  release(shard, machine, allocation);
  const job = shard.jobs.get(allocation.job);
  context.log.debug(
    { task: allocation.id, machine: machine.id, attempt: allocation.attempt, cause: task.cause },
    'exited',
  );
  if (job) learnGangExit(job, machine, task);
  if (task.cause === 'done') {
    machine.taskFailures = [];
    if (job) job.successes += 1;
    context.onTaskDone(allocation);
    markFinished(shard, task);
  } else if (task.cause === 'error') recordFailure(machine, allocation, job, context);
  else if (task.cause === 'no-room' || task.cause === 'busy')
    machine.quarantinedUntil = plus(context.now, toMillis(2 as never));
  else if (task.cause === 'unknown' && job) job.backoffUntil = plus(context.now, toMillis(1 as never));
}

/** Many jobs failing on one machine: the machine. One job failing on many machines: the job. */
function recordFailure(
  machine: Machine,
  allocation: Allocation,
  job: ReturnType<Shard['jobs']['get']>,
  context: ReconciliationContext,
): void {
  if (job) {
    job.errors += 1;
    job.failedMachines.add(machine.id);
  }
  const failsEverywhere = job !== undefined && job.successes === 0 && job.failedMachines.size >= 3;
  if (failsEverywhere) {
    const backoffS = Math.min(60, 2 ** Math.min(6, job.failedMachines.size - 2));
    job.backoffUntil = plus(context.now, toMillis(backoffS as never));
    context.log.info(
      { job: allocation.job, machines: job.failedMachines.size, backoffS },
      'job fails wherever it starts',
    );
    return;
  }
  machine.taskFailures.push({ at: context.now, job: allocation.job });
  machine.taskFailures = machine.taskFailures.slice(-20);
  const jobs = new Set(machine.taskFailures.map((fault) => fault.job)).size;
  const quarantineS = machine.taskFailures.length >= 2 || jobs >= 2 ? 45 : 5;
  machine.quarantinedUntil = plus(context.now, toMillis(quarantineS as never));
  context.log.info(
    { machine: machine.id, faults: machine.taskFailures.length, jobs, avoidS: quarantineS },
    'tasks fail on machine',
  );
}

function reconcileActive(
  shard: Shard,
  machine: Machine,
  task: TaskStatus,
  seen: Set<TaskId>,
  context: ReconciliationContext,
): void {
  if (task.state === 'exited') return;
  const id = taskId(task.job, task.index);
  seen.add(id);
  const known = machine.allocations.get(id);
  if (known && known.attempt === task.attempt) {
    updatePhase(shard, machine, known, task.state, context);
    return;
  }
  const elsewhere = shard.allocations.get(id);
  const job = shard.jobs.get(task.job);
  const assignedHere = !elsewhere && !known && job !== undefined && isAssignedTo(shard, task.job, task.index);
  const shouldRun = assignedHere && !job.record.done.has(task.index) && !job.finished.has(task.index);
  // Seen on a machine without our having started it: adopted if it is ours to run, else stopped and counted
  // until it is gone.
  const spec = job?.spec ?? context.endedJobSpec(task);
  const observed: Allocation = {
    id,
    job: task.job,
    index: task.index,
    attempt: task.attempt,
    machine: machine.id,
    spec,
    phase: task.state,
    allocatedAt: context.now,
    runningSince: hasBegun(task.state) ? context.now : null,
    gatheringSince: task.state === 'gathering' ? context.now : null,
    stop: shouldRun ? null : { grace: 0, direct: 'due' },
    launchInFlight: false,
    launchPending: false,
    unacknowledged: known ? unacknowledgedLaunchOf(known, machine, shard, context.now) : null,
    answeredSequence: null,
  };
  if (shouldRun) allocate(shard, machine, observed);
  else {
    addToMachine(shard, machine, observed);
    if (!elsewhere || elsewhere === known) shard.allocations.set(id, observed);
    job?.waiting.remove(task.index);
    context.log.info({ task: id, machine: machine.id, attempt: task.attempt }, 'not ours to run, stopping');
  }
  if (task.state !== 'fetching' && spec) shard.recordImage(machine, spec.image, spec.imageGb);
}

/**
 * Another attempt is on the machine than the one we sent there. Ours may still arrive, and would start once this
 * one has ended: until a newer session or a higher token rules that out, the task stays bound to this machine.
 */
function unacknowledgedLaunchOf(
  known: Allocation,
  machine: Machine,
  shard: Shard,
  now: SteadyMs,
): Allocation['unacknowledged'] {
  if (known.unacknowledged) return known.unacknowledged;
  if (!known.launchInFlight && known.answeredSequence === null) return null;
  return { fencingToken: shard.fencingToken, agentEpoch: machine.agentEpoch, sentAt: now };
}

const hasBegun = (state: TaskStatus['state']): boolean => state === 'running' || state === 'saving';

function updatePhase(
  shard: Shard,
  machine: Machine,
  allocation: Allocation,
  state: Exclude<TaskStatus['state'], 'exited'>,
  context: ReconciliationContext,
): void {
  if (allocation.phase !== state)
    context.log.debug({ task: allocation.id, machine: machine.id, state }, 'task moves on');
  allocation.phase = state;
  allocation.launchPending = false;
  const gang = shard.jobs.get(allocation.job)?.gangHistory;
  if (gang) learnGangState(gang, allocation.attempt, state);
  if (state === 'fetching') return;
  if (state === 'gathering') allocation.gatheringSince ??= context.now;
  else allocation.runningSince ??= context.now;
  if (allocation.spec) shard.recordImage(machine, allocation.spec.image, allocation.spec.imageGb);
}

/** Not in the worker's list. Only certain when nothing that could still start it is on its way. */
function reconcileAbsent(
  shard: Shard,
  machine: Machine,
  allocation: Allocation,
  channel: Channel,
  context: ReconciliationContext,
): void {
  if (allocation.launchInFlight || allocation.unacknowledged) return;
  if (allocation.answeredSequence !== null) {
    // Launched in the answer to a report: settled only by the worker's next report, which it sends after it
    // has executed or dropped that answer.
    if (channel !== 'report' || machine.sequence <= allocation.answeredSequence) return;
  } else if (allocation.phase === 'ordered' && allocation.launchPending) return;
  context.log.debug(
    { task: allocation.id, machine: machine.id, attempt: allocation.attempt },
    'not on its machine',
  );
  release(shard, machine, allocation);
}
