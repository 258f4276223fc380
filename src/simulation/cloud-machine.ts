/** Machines and instance types of the simulated cloud, and their encoding in its HTTP interface. */

/** An instance type of the catalog; prices are relative to each other. */
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

/** State of a machine in the cloud; times in simulated milliseconds, Infinity if not yet reached. */
export interface CloudMachine {
  readonly id: string;
  readonly type: SimulatedInstanceType;
  readonly zone: string;
  readonly spot: boolean;
  readonly endpoint: string;
  readonly rentedAt: number;
  readyAt: number;
  /** When it failed, with all tasks on it. */
  failedAt: number;
  /** When it was deleted or interrupted. */
  removedAt: number;
}

/** The list shows a failure this long after it happened. */
const FAILURE_LISTED_AFTER_MS = 30_000;

/** Encodes a machine as it was listed at the time `at`. */
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

/** Encodes an instance type for the catalog. */
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
