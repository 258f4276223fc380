/**
 * Resource vectors of machines and tasks (CPUs, GPUs and memory) and their arithmetic. Decisions that need a single
 * number use the dominant resource: the resource of which a task takes the largest share of a machine.
 */

/** An amount of each resource: a capacity, a request or a free amount. CPUs may be fractional. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  /** In GB. */
  readonly memoryGb: number;
}

/** A sum of amounts that is updated in place. */
export type MutableResources = { -readonly [K in keyof Resources]: Resources[K] };

/** The kinds of resources; of two kinds with equal shares the earlier one is dominant. */
export const RESOURCE_KINDS = ['cpus', 'gpus', 'memoryGb'] as const satisfies readonly (keyof Resources)[];
/** A kind of resource. */
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/** The zero amount. */
export const ZERO: Resources = Object.freeze({ cpus: 0, gpus: 0, memoryGb: 0 });
/** An infinite amount of every resource. */
export const UNLIMITED: Resources = Object.freeze({ cpus: Infinity, gpus: Infinity, memoryGb: Infinity });

/** Upper bound of the rounding errors in sums of fractional amounts. */
export const TOLERANCE = 1e-6;

/** Number of slots that `taskSlots` returns, instead of infinity, for a task that requests nothing. */
const MAX_SLOTS = 1000;

/** Builds an amount by calling `amountOf` for each kind of resource. */
export const mapResources = (amountOf: (kind: ResourceKind) => number): MutableResources => ({
  cpus: amountOf('cpus'),
  gpus: amountOf('gpus'),
  memoryGb: amountOf('memoryGb'),
});

/** Returns the sum as a new amount. */
export const add = (amount: Resources, other: Resources): MutableResources => ({
  cpus: amount.cpus + other.cpus,
  gpus: amount.gpus + other.gpus,
  memoryGb: amount.memoryGb + other.memoryGb,
});

/** Returns the difference as a new amount, which may be negative. */
export const subtract = (amount: Resources, other: Resources): MutableResources => ({
  cpus: amount.cpus - other.cpus,
  gpus: amount.gpus - other.gpus,
  memoryGb: amount.memoryGb - other.memoryGb,
});

/** Returns the amount multiplied by the factor as a new amount. */
export const scale = (amount: Resources, factor: number): MutableResources => ({
  cpus: amount.cpus * factor,
  gpus: amount.gpus * factor,
  memoryGb: amount.memoryGb * factor,
});

/** Adds `count` times an amount to a sum in place; a negative count subtracts. */
export function addTo(sum: MutableResources, amount: Resources, count = 1): void {
  sum.cpus += count * amount.cpus;
  sum.gpus += count * amount.gpus;
  sum.memoryGb += count * amount.memoryGb;
}

/** Sets a sum to exactly 0. Call it when the last amount has been subtracted, so that rounding errors do not add up. */
export function resetToZero(sum: MutableResources): void {
  sum.cpus = 0;
  sum.gpus = 0;
  sum.memoryGb = 0;
}

/** Returns whether the need fits into the free amount, within the rounding tolerance. */
export const fits = (need: Resources, free: Resources): boolean =>
  free.cpus + TOLERANCE >= need.cpus &&
  free.gpus + TOLERANCE >= need.gpus &&
  free.memoryGb + TOLERANCE >= need.memoryGb;

/** Returns whether the amount is at least as large as the other in every resource, without tolerance. */
export const covers = (amount: Resources, other: Resources): boolean =>
  amount.cpus >= other.cpus && amount.gpus >= other.gpus && amount.memoryGb >= other.memoryGb;

/** Returns whether the amount is 0 in every resource, within the rounding tolerance. */
export const isZero = (amount: Resources): boolean =>
  amount.cpus <= TOLERANCE && amount.gpus <= TOLERANCE && amount.memoryGb <= TOLERANCE;

/** Returns how many times the need fits into the free amount, as a fraction: the scarcest needed resource decides. */
export function fittingRatio(free: Resources, need: Resources): number {
  let lowestRatio = Infinity;
  for (const kind of RESOURCE_KINDS) {
    if (need[kind] > 0) lowestRatio = Math.min(lowestRatio, free[kind] / need[kind]);
  }
  return lowestRatio;
}

/** Returns how many tasks with this need fit into the free amount. */
export function taskSlots(free: Resources, need: Resources): number {
  const slots = (available: number, needed: number): number =>
    needed > 0 ? Math.floor(available / needed + TOLERANCE) : MAX_SLOTS;
  return Math.min(
    slots(free.cpus, need.cpus),
    slots(free.gpus, need.gpus),
    slots(free.memoryGb, need.memoryGb),
  );
}

/** Returns the largest share that the amount takes of any resource; resources of which the capacity is 0 are ignored. */
export function dominantShare(amount: Resources, capacity: Resources): number {
  let share = capacity.cpus > 0 ? amount.cpus / capacity.cpus : 0;
  if (capacity.gpus > 0) share = Math.max(share, amount.gpus / capacity.gpus);
  if (capacity.memoryGb > 0) share = Math.max(share, amount.memoryGb / capacity.memoryGb);
  return share;
}

/** Returns the resource of which the amount takes the largest share; of equal shares, the earlier kind. */
export function dominantKind(amount: Resources, capacity: Resources): ResourceKind {
  const share = (kind: ResourceKind): number => (capacity[kind] > 0 ? amount[kind] / capacity[kind] : 0);
  let dominant: ResourceKind = 'cpus';
  for (const kind of RESOURCE_KINDS) if (share(kind) > share(dominant)) dominant = kind;
  return dominant;
}

/** Converts the amount to CPUs of a machine with this capacity: its dominant share times the CPUs of the machine. */
export function cpuEquivalent(amount: Resources, capacity: Resources): number {
  let cpus = amount.cpus;
  if (capacity.gpus > 0) cpus = Math.max(cpus, (amount.gpus * capacity.cpus) / capacity.gpus);
  if (capacity.memoryGb > 0) cpus = Math.max(cpus, (amount.memoryGb * capacity.cpus) / capacity.memoryGb);
  return cpus;
}

/** Converts a free amount to CPUs of a machine with this capacity, limited by the needed resource that runs out first. */
export function freeCpuEquivalent(free: Resources, capacity: Resources, need: Resources): number {
  let cpus = free.cpus;
  for (const kind of RESOURCE_KINDS) {
    if (need[kind] <= 0 || capacity[kind] <= 0) continue;
    cpus = Math.min(cpus, (free[kind] * capacity.cpus) / capacity[kind]);
  }
  return cpus;
}

/** Returns the size of a task in CPUs of the instance type that fits it best, or its own CPUs if it fits no type. */
export function taskSizeInCpus(need: Resources, types: Iterable<Resources>): number {
  let size = Infinity;
  for (const type of types) if (fits(need, type)) size = Math.min(size, cpuEquivalent(need, type));
  return size === Infinity ? need.cpus : size;
}

/** Returns, for each resource separately, the largest amount that any of the types has. */
export function largestPerResource(types: Iterable<Resources>): Resources {
  const largest: MutableResources = { ...ZERO };
  for (const type of types) {
    for (const kind of RESOURCE_KINDS) largest[kind] = Math.max(largest[kind], type[kind]);
  }
  return largest;
}
