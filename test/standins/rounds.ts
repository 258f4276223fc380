/** Placement rounds of one part, with what they decided as text. */
import type { InstanceType } from '../../src/cloud/wire.js';
import type { JobRecord } from '../../src/jobs/record.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import { UNLIMITED, ZERO, type Resources } from '../../src/model/resources.js';
import {
  allocate,
  newMachine,
  Shard,
  syncJob,
  release,
  type Allocation,
  type Machine,
} from '../../src/shards/model.js';
import { planCycle } from '../../src/scheduling/plan.js';
import type { SchedulingContext } from '../../src/scheduling/cycle.js';
import { GuaranteedJobs } from '../../src/quota/guaranteed-jobs.js';
import { RangeSet } from '../../src/model/ranges.js';
import type { Team } from '../../src/settings/settings.js';
import type { TeamId, InstanceTypeId } from '../../src/model/units.js';
import { plainSpec, plainTeam } from './spec.js';

export interface RoundsOptions {
  /** Of every machine. */
  readonly capacity?: Resources;
  /** Of the teams red and blue. */
  readonly team?: Parameters<typeof plainTeam>[0];
  /** The part's share of either team's limit. */
  readonly share?: Resources;
  /** When the machines came; the first round is at 1,002,000 ms. */
  readonly since?: number;
}

export class Rounds {
  readonly part: Shard;
  /** What either team uses on other parts. */
  elsewhere: Resources = ZERO;
  private now = 1_000_000;
  private readonly live = new Map<string, JobRecord>();
  private readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  private readonly teams: ReadonlyMap<TeamId, Team>;
  private readonly share: Resources;
  private readonly guarantees: GuaranteedJobs;

  constructor(machines = 1, options: RoundsOptions = {}) {
    const { capacity = { cpus: 8, gpus: 0, memoryGb: 64 }, team = { cpus: 4, cpusMax: 100 } } = options;
    this.types = new Map([
      ['t' as InstanceTypeId, { name: 't', ...capacity, fetchGbPerS: 0.1 } as unknown as InstanceType],
    ]);
    this.teams = new Map(['red', 'blue'].map((name) => [name as TeamId, plainTeam({ ...team, name })]));
    this.share = options.share ?? { ...UNLIMITED, cpus: 100 };
    this.guarantees = new GuaranteedJobs(this.teams);
    this.part = new Shard(0 as never, 7 as never, 1 as never, 0 as never, this.types);
    this.part.reconciled = true;
    for (let i = 0; i < machines; i += 1) {
      const m = newMachine(
        `m-${i}` as never,
        '10.0.0.1:1' as never,
        't' as never,
        'east' as never,
        false,
        (options.since ?? 0) as never,
        true,
      );
      this.part.addMachine(m);
    }
  }

  job(id: string, o: Partial<Record<keyof JobSpec, unknown>>): void {
    const spec = plainSpec({ id, ...o });
    const record = {
      spec,
      homeShard: 0,
      acceptedRevision: this.live.size,
      done: RangeSet.empty(),
      assignments: [{ from: 0, to: spec.tasks, shard: 0, zone: null }],
    } as unknown as JobRecord;
    this.live.set(id, record);
    this.guarantees.update(id as never, record);
    syncJob(this.part, record, (this.live.size + 1) as never, this.now as never, false);
  }

  /** A running task of red's on that machine. */
  place(id: string, machine: string, o: Partial<Record<keyof JobSpec, unknown>>): void {
    this.job(id, o);
    const m = this.part.machines.get(machine as never);
    const spec = this.live.get(id)?.spec;
    if (!m || !spec) throw new Error(`no machine ${machine}`);
    allocate(this.part, m, this.running(spec, 0, m));
  }

  private running(spec: JobSpec, index: number, machine: Machine): Allocation {
    return {
      id: `${spec.id}/${index}`,
      job: spec.id,
      index,
      attempt: this.part.nextAttempt(),
      machine: machine.id,
      spec,
      phase: 'running',
      allocatedAt: this.now,
      runningSince: this.now,
      stop: null,
      launchInFlight: false,
      launchPending: false,
      unacknowledged: null,
      answeredSequence: null,
    } as unknown as Allocation;
  }

  holds(machine: string, image: string): void {
    const m = this.part.machines.get(machine as never);
    if (m) this.part.recordImage(m, image as never, 1);
  }

  /** Tasks that have run this long are done. */
  finish(afterMs: number): void {
    for (const b of [...this.part.allocations.values()]) {
      const machine = this.part.machines.get(b.machine);
      if (this.now - b.allocatedAt < afterMs || !machine) continue;
      this.part.jobs.get(b.job)?.finished.add(b.index);
      release(this.part, machine, b);
    }
  }

  clock(): number {
    return this.now;
  }

  /** One round, all of it carried out at once, two seconds later than the one before. */
  round(): string {
    this.now += 2000;
    for (const m of this.part.machines.values()) m.lastHeardAt = this.now as never;
    const ctx = {
      now: this.now,
      types: this.types,
      teams: this.teams,
      shardQuota: () => this.share,
      usageOnOtherShards: () => this.elsewhere,
      guaranteed: (j: string) => this.guarantees.has(j as never),
      maxLatenessFactor: () => 1,
      peerHasCapacity: () => false,
      runtimeCorrection: () => 1,
      reportMs: 1500,
      gangWaitMs: 30_000,
    } as unknown as SchedulingContext;
    const plan = planCycle(this.part, ctx);
    const said: string[] = [];
    for (const s of plan.starts) {
      said.push(`start ${s.job.id}/${s.index} on ${s.machine.id}`);
      allocate(this.part, s.machine, this.running(s.job.spec, s.index, s.machine));
    }
    for (const { allocation: binding } of plan.stops) {
      said.push(`stop ${binding.id}`);
      const machine = this.part.machines.get(binding.machine);
      if (machine) release(this.part, machine, binding);
    }
    for (const h of plan.reservations)
      h.job.reservations.set(h.index, {
        machine: h.machine,
        reservedUntil: (this.now + 6000) as never,
        withoutPreemption: h.reserved,
      });
    for (const u of plan.unplaced) u.job.waitingSince ??= this.now as never;
    return said.join('; ') || 'nothing';
  }
}
