/** Which orders a worker should get now. Every order may be repeated, except a launch after its clear. */
import type { SteadyMs, Seconds } from '../model/units.js';
import type { Allocation, ExitedTask, Machine, Shard } from '../shards/model.js';
import type { WorkerCommand } from './wire.js';

/** Keeps an answer's one line well under 64 KiB. */
const MAX_COMMANDS = 400;

const startCommand = (allocation: Allocation): WorkerCommand => ({
  op: 'start',
  job: allocation.job,
  index: allocation.index,
  attempt: allocation.attempt,
});
const stopCommand = (allocation: Allocation): WorkerCommand => ({
  op: 'stop',
  job: allocation.job,
  index: allocation.index,
  attempt: allocation.attempt,
  grace: (allocation.stop?.grace ?? 0) as Seconds,
});

/**
 * An exited task may be removed from the worker once its end is in the job's record, and never while a launch
 * of the same attempt may still arrive: the worker would start it anew.
 */
export function mayForget(shard: Shard, exitedTask: ExitedTask): boolean {
  if (exitedTask.unacknowledged) return false;
  const job = shard.jobs.get(exitedTask.job);
  return exitedTask.cause !== 'done' || !job || !job.finished.has(exitedTask.index);
}

function forgetCommands(shard: Shard, machine: Machine): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  for (const exitedTask of machine.exitedTasks.values()) {
    const inFlight = machine.allocations.get(exitedTask.id);
    if (inFlight && inFlight.attempt === exitedTask.attempt) continue;
    if (mayForget(shard, exitedTask))
      commands.push({
        op: 'forget',
        job: exitedTask.job,
        index: exitedTask.index,
        attempt: exitedTask.attempt,
      });
  }
  return commands;
}

/** For the answer to a report: everything that the worker does not show yet. */
export function commandsInReply(shard: Shard, machine: Machine): WorkerCommand[] {
  const commands = forgetCommands(shard, machine);
  for (const allocation of machine.allocations.values()) {
    if (commands.length >= MAX_COMMANDS) break;
    if (allocation.stop) commands.push(stopCommand(allocation));
    else if (allocation.phase === 'ordered' && !allocation.launchInFlight) {
      commands.push(startCommand(allocation));
      allocation.answeredSequence = machine.lastHeartbeatSequence;
      allocation.launchPending = false;
    }
  }
  return commands.slice(0, MAX_COMMANDS);
}

/** For a direct request: what is due and not yet sent. Marks it as on its way. */
export function takeDirectCommands(
  shard: Shard,
  machine: Machine,
  now: SteadyMs,
): { commands: WorkerCommand[]; launches: Allocation[] } {
  const stops: WorkerCommand[] = [];
  const launches: Allocation[] = [];
  for (const allocation of machine.allocations.values()) {
    if (stops.length + launches.length >= MAX_COMMANDS) break;
    if (allocation.stop) {
      if (allocation.stop.direct === 'due') {
        allocation.stop.direct = 'sent';
        stops.push(stopCommand(allocation));
      }
    } else if (
      allocation.phase === 'ordered' &&
      allocation.launchPending &&
      !allocation.launchInFlight &&
      allocation.answeredSequence === null
    ) {
      allocation.launchInFlight = true;
      allocation.launchPending = false;
      launches.push(allocation);
    }
  }
  if (stops.length + launches.length === 0) return { commands: [], launches };
  void now;
  return {
    commands: [...stops, ...forgetCommands(shard, machine), ...launches.map(startCommand)].slice(
      0,
      MAX_COMMANDS * 2,
    ),
    launches,
  };
}
