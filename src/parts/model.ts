/** The model of a part, in one place for its users. */
export { attach, bind, unbind } from './bindings.js';
export { leastStart, pinOf, waitingByZone, waitingRuns, type Hold, type PartJob } from './job.js';
export {
  isUnclear,
  newMachine,
  roomOn,
  type Binding,
  type Doubt,
  type Exited,
  type Machine,
} from './machine.js';
export { Part, usageOf, type Usage } from './part.js';
export { isOurs, syncJob } from './sync.js';
