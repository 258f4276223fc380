/**
 * Decides which machines to request for tasks that find no capacity: the cheapest machines that fit, after tasks have
 * been assigned to machines that were already requested. Pure.
 */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import { Priority } from '../jobs/spec.js';
import { addTo, fits, taskSlots, type MutableResources } from '../model/resources.js';
import { mayRunOn } from '../model/constraints.js';
import type { InstanceTypeId, ZoneId } from '../model/units.js';

/** Tasks of a job that wait for capacity, all with the same required zone; null: any zone. */
export interface CapacityDemand {
  readonly spec: JobSpec;
  readonly requiredZone: ZoneId | null;
  readonly count: number;
  readonly waitedMs: number;
}

/** Type, zone and purchase option (spot or on-demand) of a requested machine. */
export interface MachineKind {
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** A decision to request a number of machines of one kind. */
export interface ScaleOutDecision extends MachineKind {
  readonly count: number;
}

/** Returns a map key for a kind of machine. */
export const machineKindKey = (kind: MachineKind): string =>
  `${kind.type}/${kind.zone}/${kind.spot ? 'spot' : 'on-demand'}`;

/** Input of the scale-out decision, in addition to the demand. */
export interface ScaleOutContext {
  readonly types: readonly InstanceType[];
  readonly zones: readonly ZoneId[];
  readonly homeZone: ZoneId;
  /** Machines that were requested and are not registered yet. */
  readonly pendingMachines: readonly MachineKind[];
  /** Returns whether the cloud recently had no capacity for this kind of machine. */
  readonly isBackedOff: (kind: MachineKind) => boolean;
  /** Number of tasks that run on the shard; some will finish before a new machine has booted. */
  readonly runningTasks: number;
  /** Returns the median ratio of actual to estimated runtimes of a job class. */
  readonly runtimeCorrection: (jobClass: string) => number;
}

/** No machine is requested for younger demand, which may still overflow to a peer. */
const MIN_DEMAND_AGE_MS = 700;
/** The most machines that the cloud grants in one request. */
const MAX_MACHINES_PER_REQUEST = 50;

const typeResources = (type: InstanceType): MutableResources => ({
  cpus: type.cpus,
  gpus: type.gpus,
  memoryGb: type.memoryGb,
});

interface IncomingMachine extends MachineKind {
  readonly freeResources: MutableResources;
}

/** Assigns tasks to incoming machines; returns the number of tasks that remain. */
function fillIncomingMachines(incoming: IncomingMachine[], demand: CapacityDemand, count: number): number {
  let remaining = count;
  for (const machine of incoming) {
    if (remaining <= 0) return 0;
    if (
      !mayRunOn(demand.spec, machine.type, machine.zone, machine.spot, demand.requiredZone) ||
      !fits(demand.spec, machine.freeResources)
    )
      continue;
    const tasks = Math.min(remaining, taskSlots(machine.freeResources, demand.spec));
    addTo(machine.freeResources, demand.spec, -tasks);
    remaining -= tasks;
  }
  return remaining;
}

/** Of the tasks that finish soon, the share whose capacity waiting tasks get; jobs that arrive later take the rest. */
const TURNOVER_FACTOR = 0.1;
/** Upper bound of the boot time, in seconds, within which turnover counts. */
const MAX_TURNOVER_BOOT_S = 60;
/** Lower bound of the estimated runtime, in seconds. */
const MIN_RUNTIME_S = 5;
/** Cost factor for a machine in another zone than the shard's home zone. */
const REMOTE_ZONE_COST_FACTOR = 1.02;

/** Returns how many tasks of the demand will not be placed on existing machines before a new machine has booted. */
function demandAfterTurnover(demand: CapacityDemand, context: ScaleOutContext, runningTasks: number): number {
  if (demand.spec.priority === Priority.critical) return demand.count;
  const bootS = Math.min(...context.types.map((type) => type.bootS), MAX_TURNOVER_BOOT_S);
  const runtimeS = Math.max(
    MIN_RUNTIME_S,
    demand.spec.estimateS * context.runtimeCorrection(demand.spec.jobClass),
  );
  return demand.count - Math.floor(runningTasks * Math.min(1, bootS / runtimeS) * TURNOVER_FACTOR);
}

/** A kind of machine that can run tasks of a demand, and how many of them. */
interface MachineOption {
  readonly kind: MachineKind;
  readonly type: InstanceType;
  readonly tasksPerMachine: number;
}

/**
 * Returns the possible kinds of machines, cheapest per task first. Unused slots of a machine add to its cost per task.
 */
function machineOptions(demand: CapacityDemand, count: number, context: ScaleOutContext): MachineOption[] {
  const options: (MachineOption & { readonly cost: number })[] = [];
  for (const type of context.types) {
    const tasksPerMachine = taskSlots(type, demand.spec);
    if (tasksPerMachine < 1) continue;
    for (const zone of type.zones) {
      for (const spot of demand.spec.spot ? [true, false] : [false]) {
        const kind = { type: type.name, zone, spot };
        if (!mayRunOn(demand.spec, type.name, zone, spot, demand.requiredZone) || context.isBackedOff(kind))
          continue;
        const price = spot ? type.spotPrice : type.price;
        const distanceFactor = zone === context.homeZone ? 1 : REMOTE_ZONE_COST_FACTOR;
        options.push({
          kind,
          type,
          tasksPerMachine,
          cost: (price / Math.min(tasksPerMachine, count)) * distanceFactor,
        });
      }
    }
  }
  return options.sort((first, second) => first.cost - second.cost);
}

/** Returns the machines to request, in the order of the demands. */
export function planScaleOut(
  demands: readonly CapacityDemand[],
  context: ScaleOutContext,
): ScaleOutDecision[] {
  const typesByName = new Map(context.types.map((type) => [type.name, type] as const));
  const incoming: IncomingMachine[] = context.pendingMachines.flatMap((kind) => {
    const type = typesByName.get(kind.type);
    return type ? [{ ...kind, freeResources: typeResources(type) }] : [];
  });
  const decisions = new Map<string, ScaleOutDecision>();
  let runningTasks = context.runningTasks;
  for (const demand of demands) {
    if (demand.waitedMs < MIN_DEMAND_AGE_MS) continue;
    const needed = demandAfterTurnover(demand, context, runningTasks);
    runningTasks = Math.max(0, runningTasks - demand.count);
    let remaining = fillIncomingMachines(incoming, demand, needed);
    for (const option of machineOptions(demand, Math.max(1, remaining), context)) {
      if (remaining <= 0) break;
      const countBefore = decisions.get(machineKindKey(option.kind))?.count ?? 0;
      const count = Math.min(
        Math.ceil(remaining / option.tasksPerMachine),
        MAX_MACHINES_PER_REQUEST - countBefore,
      );
      if (count <= 0) continue;
      decisions.set(machineKindKey(option.kind), { ...option.kind, count: countBefore + count });
      const newMachines: IncomingMachine[] = Array.from({ length: count }, () => ({
        ...option.kind,
        freeResources: typeResources(option.type),
      }));
      remaining = fillIncomingMachines(newMachines, demand, remaining);
      incoming.push(...newMachines);
    }
  }
  return [...decisions.values()];
}
