/** The model of a part, in one place for its users. */
export { addToMachine, allocate, release } from './allocations.js';
export {
  minimumToStart,
  requiredZone,
  waitingByZone,
  waitingRuns,
  type Reservation,
  type ShardJob,
} from './job.js';
export {
  hasUnknownUsage,
  newMachine,
  freeResources,
  type Allocation,
  type UnacknowledgedLaunch,
  type ExitedTask,
  type Machine,
} from './machine.js';
export { Shard, usageOf, type Usage } from './shard.js';
export { isAssignedTo, syncJob } from './sync.js';
