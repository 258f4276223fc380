/** What a part's room goes to, for the log: one line that says where capacity is lost. */
import { addTo, mapResources, ZERO, type MutableResources, type Resources } from '../model/resources.js';
import { usable } from '../placement/round.js';
import type { SteadyMs, TeamId } from '../units.js';
import { roomOn, type Allocation, type Shard } from './model.js';

export interface ShardStatistics {
  readonly machines: number;
  /** Machines that may not be placed on now: not settled, silent, unreached, failing, noticed, returning. */
  readonly unusable: number;
  /** Of all machines, and what is bound to them by phase. */
  readonly capacity: Resources;
  readonly bound: Readonly<Record<Allocation['phase'] | 'stopping', Resources>>;
  /** On usable machines, and of waiting tasks. */
  readonly free: Resources;
  readonly waiting: Resources;
  /** Teams with waiting tasks; an unlimited share is logged as null. */
  readonly teams: Readonly<Record<string, TeamStatistics>>;
}

export interface TeamStatistics {
  readonly used: Resources;
  /** This part's share of the limit. */
  readonly share: Resources;
  readonly waiting: Resources;
}

const rounded = (amount: Resources): Resources => mapResources((kind) => Math.round(amount[kind]));

export function statisticsOf(
  shard: Shard,
  now: SteadyMs,
  reportMs: number,
  share: (team: TeamId) => Resources,
): ShardStatistics {
  const capacity: MutableResources = { ...ZERO };
  const free: MutableResources = { ...ZERO };
  const waiting: MutableResources = { ...ZERO };
  let unusable = 0;
  for (const m of shard.machines.values()) {
    addTo(capacity, shard.types.get(m.type) ?? ZERO);
    if (usable(m, { now, reportMs })) addTo(free, roomOn(m, shard.types.get(m.type)));
    else unusable += 1;
  }
  const waits = waitingByTeam(shard);
  for (const amount of waits.values()) addTo(waiting, amount);
  const teams: Record<string, TeamStatistics> = {};
  for (const [team, amount] of waits) {
    const used = rounded(shard.totals.teams.get(team) ?? ZERO);
    teams[team] = { used, share: rounded(share(team)), waiting: rounded(amount) };
  }
  return {
    machines: shard.machines.size,
    unusable,
    capacity,
    bound: boundByPhase(shard),
    free: rounded(free),
    waiting: rounded(waiting),
    teams,
  };
}

function boundByPhase(shard: Shard): ShardStatistics['bound'] {
  const sums: Record<keyof ShardStatistics['bound'], MutableResources> = {
    ordered: { ...ZERO },
    fetching: { ...ZERO },
    gathering: { ...ZERO },
    running: { ...ZERO },
    saving: { ...ZERO },
    stopping: { ...ZERO },
  };
  for (const b of shard.allocations.values()) addTo(sums[b.stop ? 'stopping' : b.phase], b.spec ?? ZERO);
  const { ordered, fetching, gathering, running, saving, stopping } = sums;
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
  const out = new Map<TeamId, MutableResources>();
  for (const job of shard.queue) {
    if (job.waiting.isEmpty) continue;
    const sum = out.get(job.spec.team) ?? { ...ZERO };
    addTo(sum, job.spec, job.waiting.size);
    out.set(job.spec.team, sum);
  }
  return out;
}
