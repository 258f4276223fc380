/** Which orders a worker should get now. Every order may be repeated, except a launch after its clear. */
import type { SteadyMs, Seconds } from '../units.js';
import type { Binding, Exited, Machine, Part } from '../parts/model.js';
import type { Order } from './wire.js';

/** Keeps an answer's one line well under 64 KiB. */
const MAX_ORDERS = 400;

const start = (b: Binding): Order => ({ op: 'start', job: b.job, index: b.index, attempt: b.attempt });
const stop = (b: Binding): Order => ({
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
export function mayForget(part: Part, e: Exited): boolean {
  if (e.doubt) return false;
  const job = part.jobs.get(e.job);
  return e.cause !== 'done' || !job || !job.finished.has(e.index);
}

function forgets(part: Part, machine: Machine): Order[] {
  const out: Order[] = [];
  for (const e of machine.exited.values()) {
    const inFlight = machine.bindings.get(e.id);
    if (inFlight && inFlight.attempt === e.attempt) continue;
    if (mayForget(part, e)) out.push({ op: 'forget', job: e.job, index: e.index, attempt: e.attempt });
  }
  return out;
}

/** For the answer to a report: everything that the worker does not show yet. */
export function ordersInAnswer(part: Part, machine: Machine): Order[] {
  const out = forgets(part, machine);
  for (const b of machine.bindings.values()) {
    if (out.length >= MAX_ORDERS) break;
    if (b.stop) out.push(stop(b));
    else if (b.phase === 'ordered' && !b.inFlight) {
      out.push(start(b));
      b.answered = machine.lastReportSequence;
      b.due = false;
    }
  }
  return out.slice(0, MAX_ORDERS);
}

/** For a direct request: what is due and not yet sent. Marks it as on its way. */
export function ordersDirect(
  part: Part,
  machine: Machine,
  now: SteadyMs,
): { orders: Order[]; launches: Binding[] } {
  const stops: Order[] = [];
  const launches: Binding[] = [];
  for (const b of machine.bindings.values()) {
    if (stops.length + launches.length >= MAX_ORDERS) break;
    if (b.stop) {
      if (b.stop.direct === 'due') {
        b.stop.direct = 'sent';
        stops.push(stop(b));
      }
    } else if (b.phase === 'ordered' && b.due && !b.inFlight && b.answered === null) {
      b.inFlight = true;
      b.due = false;
      launches.push(b);
    }
  }
  if (stops.length + launches.length === 0) return { orders: [], launches };
  void now;
  return {
    orders: [...stops, ...forgets(part, machine), ...launches.map(start)].slice(0, MAX_ORDERS * 2),
    launches,
  };
}
