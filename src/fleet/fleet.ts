/** Rents machines for what finds no room, returns idle, taken, failed and silent ones. */
import type { Listed, RentRequest } from '../cloud/wire.js';
import type { Core } from '../core.js';
import { requiredZone, type Machine, type Shard } from '../shards/model.js';
import { decodeMachineRecord, machineKey } from '../shards/codec.js';
import { countOf, type Unplaced } from '../placement/round.js';
import type { RuntimeEstimator } from '../placement/runtimes.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { MachineId, ShardId, RentalId, SteadyMs, ZoneId } from '../model/units.js';
import { millis } from '../model/units.js';
import { zoneOfPart } from '../overflow/announcement.js';
import { kindKey, planRentals, type Demand, type Kind } from './plan.js';
import { absentFrom, look, reasonToReturn, type ReturnContext, type Sight } from './returns.js';

interface Pending extends Kind {
  readonly part: ShardId;
  readonly id: MachineId;
  readonly at: SteadyMs;
}

const REFUSED_BACKOFF = 12_000;
const FAILED_BACKOFF = 3000;
const RENT_GAP = 400;
const LIST_GAP = millis(5000);
/** Machines that go back within this time share a request, of which the cloud takes so many names. */
const GATHER = millis(50);
const MAX_NAMES = 100;

export class Autoscaler {
  private readonly pending = new Map<MachineId, Pending>();
  private readonly blockedUntil = new Map<string, number>();
  private readonly demands = new Map<ShardId, Demand[]>();
  private readonly renting = new Set<ShardId>();
  private readonly lastRent = new Map<ShardId, SteadyMs>();
  private readonly strangers = new Map<MachineId, SteadyMs>();
  private rentals = 0;
  private unlisted: (id: MachineId) => boolean = () => false;
  private deletion: { readonly ids: MachineId[]; readonly outcome: Promise<boolean> } | null = null;

  constructor(
    private readonly core: Core,
    private readonly runTimes: RuntimeEstimator,
    private readonly onGone: (shard: Shard, machine: Machine) => void,
    /** Reports, and waits for its turn to be registered: it is not one that nobody uses. */
    private readonly isCandidate: (id: MachineId) => boolean,
  ) {}

  /** The scheduler says what found no room in this round. */
  demand(shard: Shard, unplaced: readonly Unplaced[], now: SteadyMs): void {
    const list: Demand[] = [];
    for (const u of unplaced) {
      if (u.reason !== 'room') continue;
      const byPin = new Map<ZoneId | null, number>();
      if (u.indices === 'all') byPin.set(null, countOf(u));
      else
        for (const i of u.indices)
          byPin.set(requiredZone(u.job, i), (byPin.get(requiredZone(u.job, i)) ?? 0) + 1);
      const waitedMs = now - (u.job.waitingSince ?? now);
      for (const [pin, count] of byPin) list.push({ spec: u.job.spec, pin, count, waitedMs });
    }
    this.demands.set(shard.id, list);
  }

  /** A few times a second. */
  tick(): void {
    const now = this.core.clock.now();
    for (const shard of this.core.shards.values()) {
      if (!this.core.mayCommand(now)) continue;
      this.rent(shard, now);
    }
  }

  /** Once a second: looks at every machine. */
  review(): void {
    const now = this.core.clock.now();
    for (const shard of this.core.shards.values()) {
      if (!this.core.mayCommand(now)) continue;
      const ctx = this.returnContext(shard, now);
      const sight = look(shard, ctx);
      for (const m of shard.machines.values()) this.reviewMachine(shard, m, sight, ctx);
    }
  }

  /** It is named in the state service, or will not come. */
  forget(id: MachineId): void {
    this.pending.delete(id);
    this.core.intendedShards.delete(id);
    this.core.unregisteredOwnMachines.delete(id);
  }

  private rent(shard: Shard, now: SteadyMs): void {
    const demands = this.demands.get(shard.id) ?? [];
    if (demands.length === 0 || this.renting.has(shard.id) || this.core.types.size === 0) return;
    if (now - (this.lastRent.get(shard.id) ?? -1e12) < RENT_GAP) return;
    const wishes = planRentals(demands, {
      types: [...this.core.types.values()],
      zones: this.core.settings.zones,
      home: zoneOfPart(this.core, shard.id),
      pending: [...this.pending.values()].filter((p) => p.part === shard.id),
      blocked: (k) => (this.blockedUntil.get(kindKey(k)) ?? 0) > now,
      runningTasks: shard.allocations.size,
      correction: (lane) => this.runTimes.correction(lane),
    });
    const wish = wishes[0];
    if (!wish) return;
    this.lastRent.set(shard.id, now);
    this.renting.add(shard.id);
    this.rentals += 1;
    // Part and token are nobody else's: the name is never used again.
    const rental = `c${shard.id}-${shard.fencingToken}-${this.rentals}` as RentalId;
    void this.carryOut(shard.id, { ...wish, rental }).finally(() => this.renting.delete(shard.id));
  }

  private async carryOut(shard: ShardId, request: RentRequest): Promise<void> {
    const { core } = this;
    for (let i = 0; i < 4; i += 1) {
      const result = await core.cloud.rent(request);
      const now = core.clock.now();
      if (result.kind === 'rented') {
        for (const id of result.machines) {
          this.pending.set(id, {
            part: shard,
            id,
            at: now,
            type: request.type,
            zone: request.zone,
            spot: request.spot,
          });
          // In another zone it belongs to a part there: a cut between zones then parts nobody from his machines.
          if (request.zone === zoneOfPart(core, shard)) {
            core.intendedShards.set(id, shard);
            core.unregisteredOwnMachines.set(id, shard);
          }
        }
        if (result.machines.length < request.count) this.block(request, now + REFUSED_BACKOFF);
        core.log.info({ ...request, got: result.machines.length }, 'rented');
        return;
      }
      if (result.kind === 'no-capacity') {
        core.log.info({ ...request }, 'no capacity');
        this.block(request, now + REFUSED_BACKOFF * (0.75 + core.random(500) / 1000));
        return;
      }
      await core.sleep(millis(FAILED_BACKOFF * (0.7 + core.random(600) / 1000)));
    }
  }

  private block(kind: Kind, until: number): void {
    this.blockedUntil.set(kindKey(kind), until);
  }

  private returnContext(shard: Shard, now: SteadyMs): ReturnContext {
    const { heartbeatIntervalMs: reportMs, tuning } = this.core;
    const wanted = (this.demands.get(shard.id) ?? []).length > 0;
    const { idleReturn, silentReturn } = tuning;
    const stateOk = this.core.storeHealthy();
    return { now, reportMs, idleReturn, silentReturn, wanted, stateOk, unlisted: this.unlisted };
  }

  /** Should this machine go back, and may it? */
  private reviewMachine(shard: Shard, m: Machine, sight: Sight, ctx: ReturnContext): void {
    if (m.scalingIn) return;
    const why = reasonToReturn(shard, m, sight, ctx);
    if (why === null) return;
    m.scalingIn = true;
    this.core.log.info(
      { machine: m.id, part: shard.id, why, bound: m.allocations.size },
      'returning machine',
    );
    void this.giveBack(shard, m);
  }

  /** Once asked, the deletion may be carried out at any later time: the machine takes no more work. */
  private async giveBack(shard: Shard, m: Machine): Promise<void> {
    const { core } = this;
    for (let wait = 500; !(await this.deleted(m.id)); wait = Math.min(5000, wait * 2)) {
      await core.sleep(millis(wait * (0.7 + core.random(600) / 1000)));
      if (core.shards.get(shard.id) !== shard) return;
    }
    await core.exclusive(() => {
      if (shard.machines.get(m.id) === m) this.onGone(shard, m);
    });
    const key = machineKey(m.id);
    for (let i = 0; i < 20; i += 1) {
      const version = core.storeCache.version(key);
      if (version === 0 || core.shards.get(shard.id) !== shard) return;
      const result = await core.store.compareAndSwap(
        [{ key, version }, core.leaderCondition(shard)],
        [{ op: 'drop', key }],
        RequestPriority.handOver,
      );
      if (result.kind === 'done')
        return core.exclusive(() => core.storeCache.apply(key, undefined, result.revision));
      await core.sleep(millis(500));
    }
  }

  /** Many go back at once, and the calls to the cloud are few: those of a moment share one. */
  private deleted(id: MachineId): Promise<boolean> {
    if (!this.deletion || this.deletion.ids.length >= MAX_NAMES) {
      const ids: MachineId[] = [];
      const outcome = this.core.sleep(GATHER).then(() => {
        if (this.deletion?.ids === ids) this.deletion = null;
        return this.core.cloud.giveBack(ids);
      });
      this.deletion = { ids, outcome };
    }
    this.deletion.ids.push(id);
    return this.deletion.outcome;
  }

  /** Machines that nobody uses: never booted, failed, or rented by a request that came late. */
  async runList(): Promise<never> {
    for (;;) {
      await this.core.sleep(millis(LIST_GAP * (0.8 + this.core.random(400) / 1000)));
      const listed = await this.core.cloud.list();
      if (listed) await this.reviewList(listed);
    }
  }

  private async reviewList(listed: readonly Listed[]): Promise<void> {
    const { core } = this;
    const now = core.clock.now();
    // Without a current view every machine looks like nobody's: a process that starts while the state service is away
    // must not return the whole fleet.
    if (!core.mayCommand(now)) return this.strangers.clear();
    this.unlisted = absentFrom(listed, core.settings.listLagS);
    const unwanted: MachineId[] = [];
    const known = new Set(listed.map((l) => l.id));
    for (const l of listed) {
      const entry = core.storeCache.get(machineKey(l.id));
      const shard = entry ? core.shards.get(decodeMachineRecord(entry.value)?.shard as ShardId) : undefined;
      const machine = shard?.machines.get(l.id);
      if (shard && machine) {
        if (l.state === 'failed' && !machine.scalingIn) {
          machine.scalingIn = true;
          void this.giveBack(shard, machine);
        }
        continue;
      }
      const bootMs = (core.types.get(l.type)?.bootS ?? 60) * 1000;
      const limit = l.state === 'failed' ? 0 : this.pending.has(l.id) ? 4 * bootMs : 5 * bootMs + 15_000;
      if (this.isCandidate(l.id)) continue;
      if (
        !entry &&
        !core.retiredMachines.has(l.id) &&
        l.ageS * 1000 > limit &&
        this.strangerFor(l.id, now) > 3000
      )
        unwanted.push(l.id);
    }
    for (const id of this.strangers.keys()) if (!known.has(id)) this.strangers.delete(id);
    for (const [id, p] of this.pending) {
      if (now - p.at > 6 * (core.types.get(p.type)?.bootS ?? 60) * 1000) this.forget(id);
    }
    if (unwanted.length === 0) return;
    core.log.info({ machines: unwanted }, 'returning machines that nobody uses');
    if (await core.cloud.giveBack(unwanted)) for (const id of unwanted) this.forget(id);
  }

  private strangerFor(id: MachineId, now: SteadyMs): number {
    const first = this.strangers.get(id) ?? now;
    this.strangers.set(id, first);
    return now - first;
  }
}
