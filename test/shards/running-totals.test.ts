/** Incrementally updated totals of a shard against a full recount, over a long random sequence of changes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { InstanceType } from '../../src/cloud/wire.js';
import { seededRandom } from '../../src/model/random.js';
import { fits, RESOURCE_KINDS, type ResourceKind, type Resources } from '../../src/model/resources.js';
import {
  attempt,
  fencingToken,
  revision,
  shardId,
  steady,
  taskId,
  taskIndex,
  type Address,
  type InstanceTypeId,
  type JobId,
  type MachineId,
  type ZoneId,
  NO_REVISION,
} from '../../src/model/units.js';
import {
  addToMachine,
  allocate,
  newMachine,
  Shard,
  freeResources,
  release,
  usageOf,
  type Allocation,
  type Machine,
} from '../../src/shards/model.js';
import { buildJobSpec } from '../support/job-specs.js';

const STEPS = 4000;
const STEPS_BETWEEN_RECOUNTS = 7;
/** Machines are removed only beyond this many. */
const MIN_MACHINES = 12;

const TYPES: ReadonlyMap<InstanceTypeId, InstanceType> = new Map(
  Object.entries({
    small: { cpus: 4, gpus: 0, memoryGb: 16, cacheGb: 4 },
    large: { cpus: 16, gpus: 2, memoryGb: 64, cacheGb: 9 },
  }) as unknown as [InstanceTypeId, InstanceType][],
);
/** null: a task of unknown size. */
const SPECS = [
  buildJobSpec({ id: 'req-a', cpus: 2, image: 'i1', imageGb: 2 }),
  buildJobSpec({ id: 'req-b', cpus: 0.7, team: 'blue', image: 'i2', imageGb: 3, priority: 0 }),
  buildJobSpec({ id: 'req-c', cpus: 1.3, gpus: 1, team: 'blue', image: 'i3', imageGb: 2 }),
  null,
];

/** Needs with different dominant resources. */
const NEEDS: { readonly need: Resources; readonly dominant: ResourceKind }[] = [
  { need: { cpus: 2, gpus: 0, memoryGb: 1 }, dominant: 'cpus' },
  { need: { cpus: 1, gpus: 1, memoryGb: 1 }, dominant: 'gpus' },
  { need: { cpus: 1, gpus: 0, memoryGb: 12 }, dominant: 'memoryGb' },
];

/** Amounts in the order of `RESOURCE_KINDS`. */
type Amounts = number[];

interface Totals {
  /** Only teams with any usage. */
  readonly usageByTeam: Record<string, Amounts>;
  readonly unattributed: Amounts;
  readonly free: Record<string, Amounts>;
  readonly preemptible: Record<string, Amounts>;
  /** `image@machine`, sorted. */
  readonly imageHolders: string[];
  readonly allocations: number;
  readonly allocationsOfJobs: number;
}

/** Avoids -0, which a sum of fractions may leave. */
const roundToMicro = (amount: number): number => Math.round(amount * 1e6) / 1e6 + 0;

const amountsOf = (resources: Resources): Amounts =>
  RESOURCE_KINDS.map((kind) => roundToMicro(resources[kind]));

const typeOf = (machine: Machine): InstanceType => {
  const type = TYPES.get(machine.type);
  assert.ok(type);
  return type;
};

const hasUnknownSize = (allocation: Allocation): boolean => allocation.spec === null;

/** Sum of the allocations of known size. */
const sumOf = (allocations: readonly Allocation[]): Amounts =>
  RESOURCE_KINDS.map((kind) =>
    roundToMicro(allocations.reduce((sum, { spec }) => sum + (spec?.[kind] ?? 0), 0)),
  );

function recountMachines(
  machines: readonly Machine[],
): Pick<Totals, 'unattributed' | 'free' | 'preemptible'> {
  const unattributed: Amounts = RESOURCE_KINDS.map(() => 0);
  const free: Record<string, Amounts> = {};
  const preemptible: Record<string, Amounts> = {};
  for (const machine of machines) {
    const allocations = [...machine.allocations.values()];
    const used = sumOf(allocations);
    const unknown = allocations.some(hasUnknownSize);
    RESOURCE_KINDS.forEach((kind, i) => {
      const capacity = typeOf(machine)[kind];
      if (!machine.reconciled || unknown) unattributed[i] = (unattributed[i] ?? 0) + capacity;
      (free[machine.id] ??= []).push(unknown ? 0 : roundToMicro(capacity - (used[i] ?? NaN)));
    });
    preemptible[machine.id] = sumOf(allocations.filter(({ spec }) => spec?.priority !== 0));
  }
  return { unattributed, free, preemptible };
}

function recountUsageByTeam(machines: readonly Machine[]): Record<string, Amounts> {
  const byTeam: Record<string, Allocation[]> = {};
  for (const machine of machines) {
    for (const allocation of machine.allocations.values())
      if (allocation.spec) (byTeam[allocation.spec.team] ??= []).push(allocation);
  }
  return Object.fromEntries(Object.entries(byTeam).map(([team, allocations]) => [team, sumOf(allocations)]));
}

/** Counts the totals from the allocations on each machine. */
function recount(shard: Shard): Totals {
  const machines = [...shard.machines.values()];
  const allocations = machines.reduce((sum, machine) => sum + machine.allocations.size, 0);
  return {
    ...recountMachines(machines),
    usageByTeam: recountUsageByTeam(machines),
    imageHolders: machines
      .flatMap((machine) => [...machine.images.keys()].map((image) => `${image}@${machine.id}`))
      .sort(),
    allocations,
    allocationsOfJobs: allocations,
  };
}

/** Returns the totals that the shard keeps. */
function runningTotals(shard: Shard): Totals {
  const usage = usageOf(shard);
  const usageByTeam: Record<string, Amounts> = {};
  for (const [team, used] of usage.byTeam)
    if (amountsOf(used).some((amount) => amount !== 0)) usageByTeam[team] = amountsOf(used);
  const free: Record<string, Amounts> = {};
  const preemptible: Record<string, Amounts> = {};
  for (const machine of shard.machines.values()) {
    free[machine.id] = amountsOf(freeResources(machine, typeOf(machine)));
    preemptible[machine.id] = amountsOf(machine.preemptible);
  }
  let allocationsOfJobs = 0;
  for (const siblings of shard.allocationsByJob.values()) allocationsOfJobs += siblings.size;
  return {
    usageByTeam,
    unattributed: amountsOf(usage.unattributed),
    free,
    preemptible,
    imageHolders: [...shard.totals.imageHolders()]
      .flatMap(([image, machines]) => [...machines].map((machine) => `${image}@${machine.id}`))
      .sort(),
    allocations: shard.allocations.size,
    allocationsOfJobs,
  };
}

/** The index returns every machine on which the need fits, and only machines with enough of the dominant resource. */
function assertFindsMachinesWithFree(shard: Shard): void {
  for (const { need, dominant } of NEEDS) {
    const candidates = new Set(shard.totals.machinesWithFree(need, TYPES));
    for (const machine of shard.machines.values())
      if (fits(need, freeResources(machine, typeOf(machine))))
        assert.ok(candidates.has(machine), 'every machine on which the need fits is returned');
    for (const machine of candidates) {
      assert.ok(shard.machines.has(machine.id), 'no machine that has left the shard is returned');
      assert.ok(
        freeResources(machine, typeOf(machine))[dominant] > need[dominant] - 1e-6,
        `machine with too little free of ${dominant}`,
      );
    }
  }
}

/** Applies random changes to a shard, the same for the same seed. */
class RandomChanges {
  private readonly random = seededRandom(7);
  private nextNumber = 0;

  constructor(private readonly shard: Shard) {}

  step(number: number): void {
    const { shard } = this;
    const machine = this.pick([...shard.machines.values()]);
    const action = this.random(10);
    if (action === 0 || !machine) this.addMachine();
    else if (action === 1 && shard.machines.size > MIN_MACHINES) this.removeMachine(machine);
    else if (action === 2) shard.markReconciled(machine);
    else if (action < 7) this.allocateOn(machine, number);
    else {
      const allocation = this.pick([...machine.allocations.values()]);
      if (allocation) release(shard, machine, allocation);
    }
  }

  private pick<T>(list: readonly T[]): T | undefined {
    return list[this.random(list.length)];
  }

  private takeNumber(): number {
    const number = this.nextNumber;
    this.nextNumber += 1;
    return number;
  }

  private addMachine(): void {
    const type = (this.random(2) === 0 ? 'small' : 'large') as InstanceTypeId;
    this.shard.addMachine(
      newMachine({
        id: `m-${this.takeNumber()}` as MachineId,
        address: '10.0.0.1:1' as Address,
        type,
        zone: 'east' as ZoneId,
        spot: false,
        addedAt: steady(0),
        reconciled: this.random(2) === 0,
        registeredVersion: NO_REVISION,
      }),
    );
  }

  private removeMachine(machine: Machine): void {
    for (const allocation of [...machine.allocations.values()]) release(this.shard, machine, allocation);
    this.shard.removeMachine(machine);
  }

  private allocateOn(machine: Machine, step: number): void {
    const { shard } = this;
    const spec = this.pick(SPECS) ?? null;
    const index = taskIndex(this.takeNumber());
    const job = spec?.id ?? ('req-x' as JobId);
    const allocation: Allocation = {
      id: taskId(job, index),
      job,
      index,
      attempt: attempt(step),
      machine: machine.id,
      spec,
      phase: 'running',
      allocatedAt: steady(0),
      runningSince: null,
      waitingForGangSince: null,
      stop: null,
      launchInFlight: false,
      launchPending: false,
      unacknowledged: null,
      launchAnswerSequence: null,
    };
    allocate(shard, machine, allocation);
    if (this.random(8) === 0) addToMachine(shard, machine, allocation);
    if (spec && this.random(2) === 0) shard.recordImage(machine, spec.image, spec.imageGb);
  }
}

test('incrementally updated totals equal a full recount', () => {
  const shard = new Shard(shardId(0), fencingToken(7), revision(1), steady(0), TYPES);
  const changes = new RandomChanges(shard);
  for (let step = 0; step < STEPS; step += 1) {
    changes.step(step);
    if (step % STEPS_BETWEEN_RECOUNTS === 0)
      assert.deepEqual(runningTotals(shard), recount(shard), `after ${step} steps`);
    assertFindsMachinesWithFree(shard);
  }
});
