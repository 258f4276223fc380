/** Machines and instance types of the simulated cloud, and how its HTTP interface shows them. */

/** An instance type that the cloud offers; times in seconds, prices relative to each other. */
export interface SimulatedInstanceType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** A machine as the cloud knows it; times in simulated milliseconds, Infinity: not yet. */
export interface CloudMachine {
  readonly id: string;
  readonly type: SimulatedInstanceType;
  readonly zone: string;
  readonly spot: boolean;
  readonly endpoint: string;
  readonly rentedAt: number;
  readyAt: number;
  /** Stopped on its own, with all that was on it. */
  failedAt: number;
  /** Deleted or interrupted. */
  removedAt: number;
}

/** How long after its failure the list shows it. */
const FAILURE_LISTED_AFTER_MS = 30_000;

/** A machine as the list showed it at the time `at`. */
export function encodeMachine(machine: CloudMachine, at: number): object {
  const failed = at > machine.failedAt + FAILURE_LISTED_AFTER_MS;
  return {
    uid: machine.id,
    endpoint: machine.endpoint,
    hull: machine.type.name,
    harbor: machine.zone,
    driftboats: machine.spot,
    status: failed ? 'failed' : at < machine.readyAt ? 'starting' : 'running',
    ageS: (at - machine.rentedAt) / 1000,
  };
}

/** An instance type as the catalog shows it. */
export const encodeInstanceType = (type: SimulatedInstanceType): object => ({
  name: type.name,
  vcpus: type.cpus,
  cards: type.gpus,
  memoryGb: type.memoryGb,
  cacheGb: type.cacheGb,
  pullGbPerS: type.fetchGbPerS,
  rate: type.price,
  lowPrice: type.spotPrice,
  startupS: type.bootS,
  harbors: type.zones,
});
