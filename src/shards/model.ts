/** The public face of the shard model: what other folders use of it. */
export type { Allocation, ExitedTask, UnacknowledgedLaunch } from './allocation.js';
export { addToMachine, allocate, release, requestStop } from './allocation-changes.js';
export {
  minimumToStart,
  requiredZone,
  waitingByZone,
  waitingRuns,
  type Reservation,
  type ShardJob,
} from './job.js';
export { freeResources, hasUnknownUsage, newMachine, type Machine } from './machine.js';
export { Shard, usageOf } from './shard.js';
export { isAssignedTo, syncJob } from './sync.js';
