/** The model of a part, in one place for its users. */
export { attach, allocate, release } from './allocations.js';
export {
  leastStart,
  requiredZone,
  waitingByZone,
  waitingRuns,
  type Reservation,
  type ShardJob,
} from './job.js';
export {
  isUnclear,
  newMachine,
  roomOn,
  type Allocation,
  type UnacknowledgedLaunch,
  type Exited,
  type Machine,
} from './machine.js';
export { Shard, usageOf, type Usage } from './shard.js';
export { isOurs, syncJob } from './sync.js';
