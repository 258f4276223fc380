/** Public interface of the shard model for other folders. */
export type { Allocation, ExitedTask, UnacknowledgedLaunch } from './allocation.js';
export { addToMachine, allocate, release, stopOrRelease } from './allocation-changes.js';
export {
  minimumToStart,
  requiredZone,
  waitingByZone,
  waitingRanges,
  withdrawFromQueue,
  type Reservation,
  type ReservationObstacle,
  type ShardJob,
} from './job.js';
export { freeResources, hasUnknownUsage, newMachine, type Machine } from './machine.js';
export { Shard } from './shard.js';
export { isAssignedTo, syncJob } from './sync.js';
export { usageOf } from './usage.js';
