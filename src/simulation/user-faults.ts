/** Faults caused by users: cancellations, irregular requests, polling of all controllers, surges of jobs. */
import type { EndFault, FaultActivation, FaultTarget } from './fault-target.js';
import type { SimulatedMachine } from './machines.js';
import type { RandomStream } from './random.js';

/** The cancellations of one `cancel_now` are sent within this time. */
const CANCEL_SPREAD_MS = 200;
/** Maximum number of machines that one `cancel_now` makes hang. */
const MAX_HANGING_MACHINES = 8;
const IRREGULAR_REQUEST_INTERVAL_MS = 400;

/** Begins a fault caused by users; returns null if there is nothing to end, and for other kinds. */
export function applyToUsers(target: FaultTarget, { fault, random }: FaultActivation): EndFault {
  const { users, queue, arrivals } = target;
  switch (fault.kind) {
    case 'cancel_now':
      cancelNow(target, fault.count, fault.hang_s, random);
      return null;
    case 'cancel_at_end':
      target.cancelOnCompletionShare = fault.share;
      return () => (target.cancelOnCompletionShare = 0);
    case 'odd_requests':
      for (let at = 0; at < fault.for_s * 1000; at += IRREGULAR_REQUEST_INTERVAL_MS)
        queue.after(at, () => users.sendIrregularRequest(Math.round(queue.now)));
      return null;
    case 'close_looks':
      users.pollAllNodesOnChange = true;
      return () => (users.pollAllNodesOnChange = false);
    case 'surge':
      arrivals.setRateFactor(fault.class, fault.times);
      return () => arrivals.setRateFactor(fault.class, 1);
    default:
      return null;
  }
}

/** Cancels random unfinished jobs at nearly the same time, and makes some of their machines hang. */
function cancelNow(target: FaultTarget, count: number, hangS: number, random: RandomStream): void {
  const { users, queue, machines } = target;
  const jobIds = random.sample(users.openJobs(), count).map((job) => job.id);
  for (const id of jobIds) queue.after(random.between(0, CANCEL_SPREAD_MS), () => users.cancel(id));
  if (hangS <= 0) return;
  const runsChosenJob = (machine: SimulatedMachine): boolean =>
    machine.worker.tasks
      .occupyingTasks()
      .some((task) => jobIds.includes(task.slice(0, task.lastIndexOf('/'))));
  for (const machine of machines.all().filter(runsChosenJob).slice(0, MAX_HANGING_MACHINES))
    machine.worker.hang(hangS * 1000);
}
