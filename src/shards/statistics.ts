/** What a part's room goes to, for the log: one line that says where capacity is lost. */
import { addTo, mapResources, ZERO, type MutableResources, type Resources } from '../model/resources.js';
import { isSchedulable } from './machine-health.js';
import type { SteadyMs, TeamId } from '../model/units.js';
import { freeResources, type Allocation, type Shard } from './model.js';

export interface ShardStatistics {
  readonly machines: number;
  /** Machines that may not be placed on now: not settled, silent, unreached, failing, noticed, returning. */
  readonly unusable: number;
  /** Of all machines, and what is bound to them by phase. */
  readonly capacity: Resources;
  readonly allocated: Readonly<Record<Allocation['phase'] | 'stopping', Resources>>;
  /** On usable machines, and of waiting tasks. */
  readonly free: Resources;
  readonly waiting: Resources;
  /** Teams with waiting tasks; an unlimited share is logged as null. */
  readonly teams: Readonly<Record<string, TeamStatistics>>;
}

export interface TeamStatistics {
  readonly usage: Resources;
  /** This part's share of the limit. */
  readonly shardQuota: Resources;
  readonly waiting: Resources;
}

const rounded = (amount: Resources): Resources => mapResources((kind) => Math.round(amount[kind]));

export function statisticsOf(
  shard: Shard,
  now: SteadyMs,
  reportMs: number,
  shardQuota: (team: TeamId) => Resources,
): ShardStatistics {
  const capacity: MutableResources = { ...ZERO };
  const free: MutableResources = { ...ZERO };
  const waiting: MutableResources = { ...ZERO };
  let unusable = 0;
  for (const machine of shard.machines.values()) {
    addTo(capacity, shard.types.get(machine.type) ?? ZERO);
    if (isSchedulable(machine, { now, reportMs }))
      addTo(free, freeResources(machine, shard.types.get(machine.type)));
    else unusable += 1;
  }
  const waitingTotals = waitingByTeam(shard);
  for (const amount of waitingTotals.values()) addTo(waiting, amount);
  const teams: Record<string, TeamStatistics> = {};
  for (const [team, amount] of waitingTotals) {
    const used = rounded(shard.totals.usageByTeam.get(team) ?? ZERO);
    teams[team] = { usage: used, shardQuota: rounded(shardQuota(team)), waiting: rounded(amount) };
  }
  return {
    machines: shard.machines.size,
    unusable,
    capacity,
    allocated: allocatedByPhase(shard),
    free: rounded(free),
    waiting: rounded(waiting),
    teams,
  };
}

function allocatedByPhase(shard: Shard): ShardStatistics['allocated'] {
  const totals: Record<keyof ShardStatistics['allocated'], MutableResources> = {
    ordered: { ...ZERO },
    fetching: { ...ZERO },
    gathering: { ...ZERO },
    running: { ...ZERO },
    saving: { ...ZERO },
    stopping: { ...ZERO },
  };
  for (const allocation of shard.allocations.values())
    addTo(totals[allocation.stop ? 'stopping' : allocation.phase], allocation.spec ?? ZERO);
  const { ordered, fetching, gathering, running, saving, stopping } = totals;
  return {
    ordered: rounded(ordered),
    fetching: rounded(fetching),
    gathering: rounded(gathering),
    running: rounded(running),
    saving: rounded(saving),
    stopping: rounded(stopping),
  };
}

function waitingByTeam(shard: Shard): Map<TeamId, MutableResources> {
  const totals = new Map<TeamId, MutableResources>();
  for (const job of shard.queue) {
    if (job.waiting.isEmpty) continue;
    const sum = totals.get(job.spec.team) ?? { ...ZERO };
    addTo(sum, job.spec, job.waiting.size);
    totals.set(job.spec.team, sum);
  }
  return totals;
}
