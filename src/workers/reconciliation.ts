/** What a worker's message means for its part: which tasks are where, ended, done or lost. */
import type { Log } from '../log.js';
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
  readonly pastSpec: (task: TaskStatus) => JobSpec | null;
  readonly onDone: (b: Allocation) => void;
  /** A worker that heard our answer reports again within this time. */
  readonly reportsWithin: Millis;
  readonly log: Log;
}

/** Applies a message in the order of (session, number); false: it is older than what we know. */
export function reconcileHeartbeat(
  shard: Shard,
  machine: Machine,
  report: Heartbeat,
  channel: Channel,
  ctx: ReconciliationContext,
): boolean {
  const older =
    report.session < machine.minimumAgentEpoch ||
    report.session < machine.agentEpoch ||
    (report.session === machine.agentEpoch && report.sequence <= machine.sequence);
  // A held report may arrive minutes late, with a list as old as itself.
  if (older) return false;
  if (channel === 'report' && leftUnanswered(machine, report, ctx)) {
    // To be reached directly before anything new is placed there.
    machine.unreachableSince ??= ctx.now;
    shard.machinesWithPendingCommands.add(machine);
  }
  if (report.session > machine.agentEpoch) {
    endSession(shard, machine, ctx);
    machine.agentEpochSeenAt = ctx.now;
  }
  machine.agentEpoch = report.session;
  machine.sequence = report.sequence;
  machine.fencingToken = report.token;
  machine.address = report.address;
  machine.lastHeardAt = ctx.now;
  machine.interruptedAt = report.noticeS === null ? null : plus(ctx.now, toMillis(report.noticeS));
  if (machine.interruptedAt === null) shard.interruptionNoticed.delete(machine);
  else shard.interruptionNoticed.add(machine);
  if (channel === 'report') {
    if (machine.lastHeartbeatAt === null || elapsed(ctx.now, machine.lastHeartbeatAt) > ctx.reportsWithin)
      machine.continuouslyHeardSince = ctx.now;
    machine.lastHeartbeatAt = ctx.now;
    machine.lastHeartbeatSequence = report.sequence;
  }
  settleDoubts(machine, report);
  const seen = new Set<TaskId>();
  machine.exitedTasks = applyExits(shard, machine, report, seen, ctx);
  for (const task of report.tasks) if (task.state !== 'exited') applyActive(shard, machine, task, seen, ctx);
  for (const b of [...machine.allocations.values()]) {
    if (!seen.has(b.id)) applyAbsent(shard, machine, b, channel, ctx);
  }
  if (report.token >= shard.fencingToken) shard.markReconciled(machine);
  return true;
}

/** Hearing is not reaching: a new session, or a longer silence than between reports that we answered. */
function leftUnanswered(machine: Machine, report: Heartbeat, ctx: ReconciliationContext): boolean {
  if (machine.lastHeartbeatAt === null || !machine.reconciled) return false;
  return report.session > machine.agentEpoch || elapsed(ctx.now, machine.lastHeartbeatAt) > ctx.reportsWithin;
}

/** The worker's lease ran out: it killed and forgot every task, and takes no order of that session. */
export function endSession(shard: Shard, machine: Machine, ctx: Pick<ReconciliationContext, 'log'>): void {
  for (const b of [...machine.allocations.values()]) {
    ctx.log.debug({ task: b.id, machine: machine.id, attempt: b.attempt }, 'lost with its session');
    release(shard, machine, b);
  }
  machine.exitedTasks = new Map();
}

/**
 * A direct launch may be executed late as long as token and session match; a newer session or a higher token
 * seen by the worker rules that out.
 */
function settleDoubts(machine: Machine, report: Heartbeat): void {
  const over = (d: Allocation['unacknowledged']): boolean =>
    d !== null && (report.session > d.agentEpoch || report.token > d.fencingToken);
  for (const b of machine.allocations.values()) if (over(b.unacknowledged)) b.unacknowledged = null;
  for (const e of machine.exitedTasks.values()) if (over(e.unacknowledged)) e.unacknowledged = null;
}

function applyExits(
  shard: Shard,
  machine: Machine,
  report: Heartbeat,
  seen: Set<TaskId>,
  ctx: ReconciliationContext,
): Map<TaskId, ExitedTask> {
  const exited = new Map<TaskId, ExitedTask>();
  for (const task of report.tasks) {
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
      unacknowledged: unacknowledged,
    });
    if (ours) {
      seen.add(id);
      ended(shard, machine, ours, task, ctx);
    } else if (!before && task.cause === 'done') finished(shard, task);
  }
  return exited;
}

function finished(shard: Shard, task: TaskStatus): void {
  const job = shard.jobs.get(task.job);
  if (!job || job.spec.shape === 'service' || job.record.done.has(task.index)) return;
  if (!isAssignedTo(shard, task.job, task.index)) return;
  if (job.gangHistory) return finishGang(shard, job);
  if (shard.allocations.has(taskId(task.job, task.index))) return;
  job.finished.add(task.index);
  shard.jobsWithUnrecordedEnds.add(job);
  job.waiting.remove(task.index);
  job.unaccounted.remove(task.index);
}

/** The tasks of a gang complete together: one that is done says that all are. */
function finishGang(shard: Shard, job: ShardJob): void {
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
const NEVER_JOINED: readonly ExitCause[] = ['no-room', 'busy', 'unknown', 'alone'];

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
  if (cause !== null && NEVER_JOINED.includes(cause)) gang.mayHaveStarted = false;
}

function ended(
  shard: Shard,
  machine: Machine,
  b: Allocation,
  task: TaskStatus,
  ctx: ReconciliationContext,
): void {
  release(shard, machine, b);
  const job = shard.jobs.get(b.job);
  ctx.log.debug({ task: b.id, machine: machine.id, attempt: b.attempt, cause: task.cause }, 'exited');
  if (job) learnGangExit(job, machine, task);
  if (task.cause === 'done') {
    machine.taskFailures = [];
    if (job) job.successes += 1;
    ctx.onDone(b);
    finished(shard, task);
  } else if (task.cause === 'error') blame(machine, b, job, ctx);
  else if (task.cause === 'no-room' || task.cause === 'busy')
    machine.quarantinedUntil = plus(ctx.now, toMillis(2 as never));
  else if (task.cause === 'unknown' && job) job.backoffUntil = plus(ctx.now, toMillis(1 as never));
}

/** Many jobs failing on one machine: the machine. One job failing on many machines: the job. */
function blame(
  machine: Machine,
  b: Allocation,
  job: ReturnType<Shard['jobs']['get']>,
  ctx: ReconciliationContext,
): void {
  if (job) {
    job.errors += 1;
    job.failedMachines.add(machine.id);
  }
  const jobIsBad = job !== undefined && job.successes === 0 && job.failedMachines.size >= 3;
  if (jobIsBad) {
    const backoffS = Math.min(60, 2 ** Math.min(6, job.failedMachines.size - 2));
    job.backoffUntil = plus(ctx.now, toMillis(backoffS as never));
    ctx.log.info({ job: b.job, machines: job.failedMachines.size, backoffS }, 'job fails wherever it starts');
    return;
  }
  machine.taskFailures.push({ at: ctx.now, job: b.job });
  machine.taskFailures = machine.taskFailures.slice(-20);
  const jobs = new Set(machine.taskFailures.map((f) => f.job)).size;
  const avoidS = machine.taskFailures.length >= 2 || jobs >= 2 ? 45 : 5;
  machine.quarantinedUntil = plus(ctx.now, toMillis(avoidS as never));
  ctx.log.info(
    { machine: machine.id, faults: machine.taskFailures.length, jobs, avoidS },
    'tasks fail on machine',
  );
}

function applyActive(
  shard: Shard,
  machine: Machine,
  task: TaskStatus,
  seen: Set<TaskId>,
  ctx: ReconciliationContext,
): void {
  if (task.state === 'exited') return;
  const id = taskId(task.job, task.index);
  seen.add(id);
  const known = machine.allocations.get(id);
  if (known && known.attempt === task.attempt) {
    progress(shard, machine, known, task.state, ctx);
    return;
  }
  const elsewhere = shard.allocations.get(id);
  const job = shard.jobs.get(task.job);
  const wanted = !elsewhere && !known && job !== undefined && isAssignedTo(shard, task.job, task.index);
  const open = wanted && !job.record.done.has(task.index) && !job.finished.has(task.index);
  // Seen on a machine without our having started it: adopted if it is ours to run, else stopped and counted
  // until it is gone.
  const spec = job?.spec ?? ctx.pastSpec(task);
  const found: Allocation = {
    id,
    job: task.job,
    index: task.index,
    attempt: task.attempt,
    machine: machine.id,
    spec,
    phase: task.state,
    allocatedAt: ctx.now,
    runningSince: hasBegun(task.state) ? ctx.now : null,
    gatheringSince: task.state === 'gathering' ? ctx.now : null,
    stop: open ? null : { grace: 0, direct: 'due' },
    launchInFlight: false,
    launchPending: false,
    unacknowledged: known ? doubtOf(known, machine, shard, ctx.now) : null,
    answeredSequence: null,
  };
  if (open) allocate(shard, machine, found);
  else {
    addToMachine(shard, machine, found);
    if (!elsewhere || elsewhere === known) shard.allocations.set(id, found);
    job?.waiting.remove(task.index);
    ctx.log.info({ task: id, machine: machine.id, attempt: task.attempt }, 'not ours to run, stopping');
  }
  if (task.state !== 'fetching' && spec) shard.recordImage(machine, spec.image, spec.imageGb);
}

/**
 * Another attempt is on the machine than the one we sent there. Ours may still arrive, and would start once this
 * one has ended: until a newer session or a higher token rules that out, the task stays bound to this machine.
 */
function doubtOf(
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

function progress(
  shard: Shard,
  machine: Machine,
  b: Allocation,
  state: Exclude<TaskStatus['state'], 'exited'>,
  ctx: ReconciliationContext,
): void {
  if (b.phase !== state) ctx.log.debug({ task: b.id, machine: machine.id, state }, 'task moves on');
  b.phase = state;
  b.launchPending = false;
  const gang = shard.jobs.get(b.job)?.gangHistory;
  if (gang) learnGangState(gang, b.attempt, state);
  if (state === 'fetching') return;
  if (state === 'gathering') b.gatheringSince ??= ctx.now;
  else b.runningSince ??= ctx.now;
  if (b.spec) shard.recordImage(machine, b.spec.image, b.spec.imageGb);
}

/** Not in the worker's list. Only certain when nothing that could still start it is on its way. */
function applyAbsent(
  shard: Shard,
  machine: Machine,
  b: Allocation,
  channel: Channel,
  ctx: ReconciliationContext,
): void {
  if (b.launchInFlight || b.unacknowledged) return;
  if (b.answeredSequence !== null) {
    // Launched in the answer to a report: settled only by the worker's next report, which it sends after it
    // has executed or dropped that answer.
    if (channel !== 'report' || machine.sequence <= b.answeredSequence) return;
  } else if (b.phase === 'ordered' && b.launchPending) return;
  ctx.log.debug({ task: b.id, machine: machine.id, attempt: b.attempt }, 'not on its machine');
  release(shard, machine, b);
}
