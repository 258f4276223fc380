/** What to rent for tasks that found no room. Pure. */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import { Priority } from '../jobs/spec.js';
import { addTo, fits, taskSlots, type MutableResources } from '../model/resources.js';
import { mayRunOn } from '../model/constraints.js';
import type { InstanceTypeId, ZoneId } from '../model/units.js';

export interface CapacityDemand {
  readonly spec: JobSpec;
  readonly requiredZone: ZoneId | null;
  readonly count: number;
  readonly waitedMs: number;
}

export interface MachineKind {
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

export interface ScaleOutDecision extends MachineKind {
  readonly count: number;
}

export const machineKindKey = (kind: MachineKind): string =>
  `${kind.type}/${kind.zone}/${kind.spot ? 'spot' : 'ordinary'}`;

export interface ScaleOutContext {
  readonly types: readonly InstanceType[];
  readonly zones: readonly ZoneId[];
  readonly homeZone: ZoneId;
  /** Machines on their way. */
  readonly pendingMachines: readonly MachineKind[];
  readonly isBackedOff: (k: MachineKind) => boolean;
  /** Tasks running on the part now: some will be done before a new machine is up. */
  readonly runningTasks: number;
  readonly runtimeCorrection: (jobClass: string) => number;
}

/** Demand younger than this may still find a peer with room. */
const MIN_DEMAND_AGE_MS = 700;
/** The cloud takes no more in one request. */
const MAX_MACHINES_PER_REQUEST = 50;

const typeResources = (type: InstanceType): MutableResources => ({
  cpus: type.cpus,
  gpus: type.gpus,
  memoryGb: type.memoryGb,
});

interface IncomingMachine extends MachineKind {
  readonly freeResources: MutableResources;
}

/** Puts tasks on machines that are coming anyway; returns how many are left. */
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

/** Of the turnover: most of it goes to jobs that are yet to come, as a backlog shows that they do. */
const TURNOVER_FACTOR = 0.1;

/** Those whose turn comes on machines that we have before a new one is up need none. */
function demandAfterTurnover(demand: CapacityDemand, context: ScaleOutContext, running: number): number {
  if (demand.spec.priority === Priority.critical) return demand.count;
  const bootS = Math.min(...context.types.map((t) => t.bootS), 60);
  const runtimeS = Math.max(5, demand.spec.estimateS * context.runtimeCorrection(demand.spec.jobClass));
  return demand.count - Math.floor(running * Math.min(1, bootS / runtimeS) * TURNOVER_FACTOR);
}

/** Cheapest room per task first; machines that take no more than is asked for before larger ones. */
function machineOptions(
  demand: CapacityDemand,
  count: number,
  context: ScaleOutContext,
): { kind: MachineKind; type: InstanceType; tasksPerMachine: number }[] {
  const found: { kind: MachineKind; type: InstanceType; tasksPerMachine: number; cost: number }[] = [];
  for (const type of context.types) {
    const tasksPerMachine = taskSlots(type, demand.spec);
    if (tasksPerMachine < 1) continue;
    for (const zone of type.zones) {
      for (const spot of demand.spec.spot ? [true, false] : [false]) {
        const kind = { type: type.name, zone, spot };
        if (!mayRunOn(demand.spec, type.name, zone, spot, demand.requiredZone) || context.isBackedOff(kind))
          continue;
        const price = spot ? type.spotPrice : type.price;
        const distanceFactor = zone === context.homeZone ? 1 : 1.02;
        found.push({
          kind,
          type,
          tasksPerMachine,
          cost: (price / Math.min(tasksPerMachine, count)) * distanceFactor,
        });
      }
    }
  }
  return found.sort((a, b) => a.cost - b.cost);
}

export function planScaleOut(
  demands: readonly CapacityDemand[],
  context: ScaleOutContext,
): ScaleOutDecision[] {
  const byName = new Map(context.types.map((t) => [t.name, t] as const));
  const incoming: IncomingMachine[] = context.pendingMachines.flatMap((k) => {
    const type = byName.get(k.type);
    return type ? [{ ...k, freeResources: typeResources(type) }] : [];
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
