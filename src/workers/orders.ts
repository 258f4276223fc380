/** Which orders a worker should get now. Every order may be repeated, except a launch after its clear. */
import type { SteadyMs, Seconds } from '../model/units.js';
import type { Allocation, ExitedTask, Machine, Shard } from '../shards/model.js';
import type { WorkerCommand } from './wire.js';

/** Keeps an answer's one line well under 64 KiB. */
const MAX_ORDERS = 400;

const start = (b: Allocation): WorkerCommand => ({
  op: 'start',
  job: b.job,
  index: b.index,
  attempt: b.attempt,
});
const stop = (b: Allocation): WorkerCommand => ({
  op: 'stop',
  job: b.job,
  index: b.index,
  attempt: b.attempt,
  grace: (b.stop?.grace ?? 0) as Seconds,
});

/**
 * An exited task may be removed from the worker once its end is in the job's record, and never while a launch
 * of the same attempt may still arrive: the worker would start it anew.
 */
export function mayForget(shard: Shard, e: ExitedTask): boolean {
  if (e.unacknowledged) return false;
  const job = shard.jobs.get(e.job);
  return e.cause !== 'done' || !job || !job.finished.has(e.index);
}

function forgets(shard: Shard, machine: Machine): WorkerCommand[] {
  const out: WorkerCommand[] = [];
  for (const e of machine.exitedTasks.values()) {
    const inFlight = machine.allocations.get(e.id);
    if (inFlight && inFlight.attempt === e.attempt) continue;
    if (mayForget(shard, e)) out.push({ op: 'forget', job: e.job, index: e.index, attempt: e.attempt });
  }
  return out;
}

/** For the answer to a report: everything that the worker does not show yet. */
export function ordersInAnswer(shard: Shard, machine: Machine): WorkerCommand[] {
  const out = forgets(shard, machine);
  for (const b of machine.allocations.values()) {
    if (out.length >= MAX_ORDERS) break;
    if (b.stop) out.push(stop(b));
    else if (b.phase === 'ordered' && !b.launchInFlight) {
      out.push(start(b));
      b.answeredSequence = machine.lastHeartbeatSequence;
      b.launchPending = false;
    }
  }
  return out.slice(0, MAX_ORDERS);
}

/** For a direct request: what is due and not yet sent. Marks it as on its way. */
export function ordersDirect(
  shard: Shard,
  machine: Machine,
  now: SteadyMs,
): { orders: WorkerCommand[]; launches: Allocation[] } {
  const stops: WorkerCommand[] = [];
  const launches: Allocation[] = [];
  for (const b of machine.allocations.values()) {
    if (stops.length + launches.length >= MAX_ORDERS) break;
    if (b.stop) {
      if (b.stop.direct === 'due') {
        b.stop.direct = 'sent';
        stops.push(stop(b));
      }
    } else if (b.phase === 'ordered' && b.launchPending && !b.launchInFlight && b.answeredSequence === null) {
      b.launchInFlight = true;
      b.launchPending = false;
      launches.push(b);
    }
  }
  if (stops.length + launches.length === 0) return { orders: [], launches };
  void now;
  return {
    orders: [...stops, ...forgets(shard, machine), ...launches.map(start)].slice(0, MAX_ORDERS * 2),
    launches,
  };
}
