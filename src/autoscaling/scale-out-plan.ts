/**
 * Decides which machines to request for tasks that find no capacity: the cheapest that fit, less those on their way.
 * Pure.
 */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import { Priority } from '../jobs/spec.js';
import { addTo, fits, taskSlots, type MutableResources } from '../model/resources.js';
import { mayRunOn } from '../model/constraints.js';
import type { InstanceTypeId, ZoneId } from '../model/units.js';

/** Tasks of a job that wait for capacity, in one zone if one is required. */
export interface CapacityDemand {
  readonly spec: JobSpec;
  readonly requiredZone: ZoneId | null;
  readonly count: number;
  readonly waitedMs: number;
}

/** What a machine is requested as. */
export interface MachineKind {
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

/** Decision: so many machines of one kind are requested. */
export interface ScaleOutDecision extends MachineKind {
  readonly count: number;
}

/** The kind as a key of maps. */
export const machineKindKey = (kind: MachineKind): string =>
  `${kind.type}/${kind.zone}/${kind.spot ? 'spot' : 'on-demand'}`;

/** What the decision reads beside the demand. */
export interface ScaleOutContext {
  readonly types: readonly InstanceType[];
  readonly zones: readonly ZoneId[];
  readonly homeZone: ZoneId;
  /** Machines that were requested and are not registered yet. */
  readonly pendingMachines: readonly MachineKind[];
  /** The cloud had no capacity of this kind a moment ago. */
  readonly isBackedOff: (kind: MachineKind) => boolean;
  /** Tasks running on the shard: some will end before a new machine has booted. */
  readonly runningTasks: number;
  readonly runtimeCorrection: (jobClass: string) => number;
}

/** Younger demand may still overflow to a peer. */
const MIN_DEMAND_AGE_MS = 700;
/** The cloud grants no more in one request. */
const MAX_MACHINES_PER_REQUEST = 50;

const typeResources = (type: InstanceType): MutableResources => ({
  cpus: type.cpus,
  gpus: type.gpus,
  memoryGb: type.memoryGb,
});

interface IncomingMachine extends MachineKind {
  readonly freeResources: MutableResources;
}

/** Assigns tasks to machines on their way; returns how many are left. */
function fillIncomingMachines(incoming: IncomingMachine[], demand: CapacityDemand, count: number): number {
  let left = count;
  for (const machine of incoming) {
    if (left <= 0) return 0;
    if (
      !mayRunOn(demand.spec, machine.type, machine.zone, machine.spot, demand.requiredZone) ||
      !fits(demand.spec, machine.freeResources)
    )
      continue;
    const tasks = Math.min(left, taskSlots(machine.freeResources, demand.spec));
    addTo(machine.freeResources, demand.spec, -tasks);
    left -= tasks;
  }
  return left;
}

/** The share of capacity coming free that waiting tasks may count on: most of it goes to jobs that are yet to arrive. */
const TURNOVER_FACTOR = 0.1;
/** Boot times beyond this do not raise the turnover that is counted on, in seconds. */
const MAX_TURNOVER_BOOT_S = 60;
const MIN_RUNTIME_S = 5;
/** A machine in another zone than the shard's counts as so much dearer. */
const REMOTE_ZONE_COST_FACTOR = 1.02;

/** Tasks of the demand that do not get their turn on present machines before a new one has booted. */
function demandAfterTurnover(demand: CapacityDemand, context: ScaleOutContext, running: number): number {
  if (demand.spec.priority === Priority.critical) return demand.count;
  const bootS = Math.min(...context.types.map((type) => type.bootS), MAX_TURNOVER_BOOT_S);
  const runtimeS = Math.max(
    MIN_RUNTIME_S,
    demand.spec.estimateS * context.runtimeCorrection(demand.spec.jobClass),
  );
  return demand.count - Math.floor(running * Math.min(1, bootS / runtimeS) * TURNOVER_FACTOR);
}

/** A kind of machine that can run tasks of a demand. */
interface MachineOption {
  readonly kind: MachineKind;
  readonly type: InstanceType;
  readonly tasksPerMachine: number;
}

/** Lowest cost per task first; capacity beyond the demand counts as cost. */
function machineOptions(demand: CapacityDemand, count: number, context: ScaleOutContext): MachineOption[] {
  const found: (MachineOption & { readonly cost: number })[] = [];
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
        found.push({
          kind,
          type,
          tasksPerMachine,
          cost: (price / Math.min(tasksPerMachine, count)) * distanceFactor,
        });
      }
    }
  }
  return found.sort((first, second) => first.cost - second.cost);
}

/** What to request, in the order of the demands. */
export function planScaleOut(
  demands: readonly CapacityDemand[],
  context: ScaleOutContext,
): ScaleOutDecision[] {
  const byName = new Map(context.types.map((type) => [type.name, type] as const));
  const incoming: IncomingMachine[] = context.pendingMachines.flatMap((kind) => {
    const type = byName.get(kind.type);
    return type ? [{ ...kind, freeResources: typeResources(type) }] : [];
  });
  const decisions = new Map<string, ScaleOutDecision>();
  let running = context.runningTasks;
  for (const demand of demands) {
    if (demand.waitedMs < MIN_DEMAND_AGE_MS) continue;
    const needed = demandAfterTurnover(demand, context, running);
    running = Math.max(0, running - demand.count);
    let left = fillIncomingMachines(incoming, demand, needed);
    for (const option of machineOptions(demand, Math.max(1, left), context)) {
      if (left <= 0) break;
      const countBefore = decisions.get(machineKindKey(option.kind))?.count ?? 0;
      const count = Math.min(
        Math.ceil(left / option.tasksPerMachine),
        MAX_MACHINES_PER_REQUEST - countBefore,
      );
      if (count <= 0) continue;
      decisions.set(machineKindKey(option.kind), { ...option.kind, count: countBefore + count });
      const added: IncomingMachine[] = Array.from({ length: count }, () => ({
        ...option.kind,
        freeResources: typeResources(option.type),
      }));
      left = fillIncomingMachines(added, demand, left);
      incoming.push(...added);
    }
  }
  return [...decisions.values()];
}
