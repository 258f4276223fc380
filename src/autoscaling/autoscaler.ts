/** Rents machines for what finds no room, returns idle, taken, failed and silent ones. */
import type { ListedMachine, ScaleOutRequest } from '../cloud/wire.js';
import type { Core } from '../core.js';
import { requiredZone, type Machine, type Shard } from '../shards/model.js';
import { decodeMachineRecord, machineKey } from '../shards/codec.js';
import { unplacedCount, type UnplacedTasks } from '../scheduling/cycle.js';
import type { RuntimeEstimator } from '../scheduling/runtime-estimator.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { MachineId, ShardId, RentalId, SteadyMs, ZoneId } from '../model/units.js';
import { millis } from '../model/units.js';
import { zoneForShard } from '../overflow/announcement.js';
import { machineKindKey, planScaleOut, type CapacityDemand, type MachineKind } from './scale-out-plan.js';
import {
  unlistedCheck,
  assessLiveness,
  scaleInReason,
  type ScaleInContext,
  type ShardLiveness,
} from './scale-in.js';

interface PendingMachine extends MachineKind {
  readonly shard: ShardId;
  readonly id: MachineId;
  readonly requestedAt: SteadyMs;
}

const NO_CAPACITY_BACKOFF_MS = 12_000;
const FAILURE_BACKOFF_MS = 3000;
const SCALE_OUT_INTERVAL_MS = 400;
const LIST_INTERVAL = millis(5000);
/** Machines that go back within this time share a request, of which the cloud takes so many names. */
const DELETION_BATCH_WINDOW = millis(50);
const MAX_DELETION_BATCH = 100;

export class Autoscaler {
  private readonly pendingMachines = new Map<MachineId, PendingMachine>();
  private readonly backedOffUntil = new Map<string, number>();
  private readonly demands = new Map<ShardId, CapacityDemand[]>();
  private readonly shardsScalingOut = new Set<ShardId>();
  private readonly lastScaleOutAt = new Map<ShardId, SteadyMs>();
  private readonly unusedSince = new Map<MachineId, SteadyMs>();
  private requestCount = 0;
  private isUnlisted: (id: MachineId) => boolean = () => false;
  private deletionBatch: { readonly ids: MachineId[]; readonly outcome: Promise<boolean> } | null = null;

  constructor(
    private readonly core: Core,
    private readonly runtimeEstimator: RuntimeEstimator,
    private readonly onMachineDeleted: (shard: Shard, machine: Machine) => void,
    /** Reports, and waits for its turn to be registered: it is not one that nobody uses. */
    private readonly awaitsRegistration: (id: MachineId) => boolean,
  ) {}

  /** The scheduler says what found no room in this round. */
  updateDemand(shard: Shard, unplaced: readonly UnplacedTasks[], now: SteadyMs): void {
    const demands: CapacityDemand[] = [];
    for (const entry of unplaced) {
      if (entry.reason !== 'room') continue;
      const countByZone = new Map<ZoneId | null, number>();
      if (entry.indices === 'all') countByZone.set(null, unplacedCount(entry));
      else
        for (const index of entry.indices)
          countByZone.set(
            requiredZone(entry.job, index),
            (countByZone.get(requiredZone(entry.job, index)) ?? 0) + 1,
          );
      const waitedMs = now - (entry.job.waitingSince ?? now);
      for (const [zone, count] of countByZone)
        demands.push({ spec: entry.job.spec, requiredZone: zone, count, waitedMs });
    }
    this.demands.set(shard.id, demands);
  }

  /** A few times a second. */
  scaleOutShards(): void {
    const now = this.core.clock.now();
    for (const shard of this.core.shards.values()) {
      if (!this.core.mayCommand(now)) continue;
      this.scaleOut(shard, now);
    }
  }

  /** Once a second: looks at every machine. */
  scaleInShards(): void {
    const now = this.core.clock.now();
    for (const shard of this.core.shards.values()) {
      if (!this.core.mayCommand(now)) continue;
      const context = this.scaleInContext(shard, now);
      const liveness = assessLiveness(shard, context);
      for (const machine of shard.machines.values()) this.scaleInIfDue(shard, machine, liveness, context);
    }
  }

  /** It is named in the state service, or will not come. */
  forgetPending(id: MachineId): void {
    this.pendingMachines.delete(id);
    this.core.intendedShards.delete(id);
    this.core.unregisteredOwnMachines.delete(id);
  }

  private scaleOut(shard: Shard, now: SteadyMs): void {
    const demands = this.demands.get(shard.id) ?? [];
    if (demands.length === 0 || this.shardsScalingOut.has(shard.id) || this.core.types.size === 0) return;
    if (now - (this.lastScaleOutAt.get(shard.id) ?? -1e12) < SCALE_OUT_INTERVAL_MS) return;
    const decisions = planScaleOut(demands, {
      types: [...this.core.types.values()],
      zones: this.core.settings.zones,
      homeZone: zoneForShard(this.core, shard.id),
      pendingMachines: [...this.pendingMachines.values()].filter((pending) => pending.shard === shard.id),
      isBackedOff: (kind) => (this.backedOffUntil.get(machineKindKey(kind)) ?? 0) > now,
      runningTasks: shard.allocations.size,
      runtimeCorrection: (jobClass) => this.runtimeEstimator.correctionFactor(jobClass),
    });
    const decision = decisions[0];
    if (!decision) return;
    this.lastScaleOutAt.set(shard.id, now);
    this.shardsScalingOut.add(shard.id);
    this.requestCount += 1;
    // Part and token are nobody else's: the name is never used again.
    const rental = `c${shard.id}-${shard.fencingToken}-${this.requestCount}` as RentalId;
    void this.requestMachines(shard.id, { ...decision, idempotencyKey: rental }).finally(() =>
      this.shardsScalingOut.delete(shard.id),
    );
  }

  private async requestMachines(shard: ShardId, request: ScaleOutRequest): Promise<void> {
    const { core } = this;
    for (let i = 0; i < 4; i += 1) {
      const result = await core.cloud.scaleOut(request);
      const now = core.clock.now();
      if (result.kind === 'rented') {
        for (const id of result.machines) {
          this.pendingMachines.set(id, {
            shard,
            id,
            requestedAt: now,
            type: request.type,
            zone: request.zone,
            spot: request.spot,
          });
          // In another zone it belongs to a part there: a cut between zones then parts nobody from his machines.
          if (request.zone === zoneForShard(core, shard)) {
            core.intendedShards.set(id, shard);
            core.unregisteredOwnMachines.set(id, shard);
          }
        }
        if (result.machines.length < request.count) this.backOff(request, now + NO_CAPACITY_BACKOFF_MS);
        core.log.info({ ...request, got: result.machines.length }, 'rented');
        return;
      }
      if (result.kind === 'no-capacity') {
        core.log.info({ ...request }, 'no capacity');
        this.backOff(request, now + NO_CAPACITY_BACKOFF_MS * (0.75 + core.random(500) / 1000));
        return;
      }
      await core.sleep(millis(FAILURE_BACKOFF_MS * (0.7 + core.random(600) / 1000)));
    }
  }

  private backOff(kind: MachineKind, until: number): void {
    this.backedOffUntil.set(machineKindKey(kind), until);
  }

  private scaleInContext(shard: Shard, now: SteadyMs): ScaleInContext {
    const { heartbeatIntervalMs: reportMs, tuning } = this.core;
    const hasPendingDemand = (this.demands.get(shard.id) ?? []).length > 0;
    const { idleMachineTimeout: idleReturn, silentMachineTimeout: silentReturn } = tuning;
    const storeHealthy = this.core.storeHealthy();
    return {
      now,
      reportMs,
      idleTimeout: idleReturn,
      silenceTimeout: silentReturn,
      hasPendingDemand,
      storeHealthy,
      isUnlisted: this.isUnlisted,
    };
  }

  /** Should this machine go back, and may it? */
  private scaleInIfDue(
    shard: Shard,
    machine: Machine,
    liveness: ShardLiveness,
    context: ScaleInContext,
  ): void {
    if (machine.scalingIn) return;
    const reason = scaleInReason(shard, machine, liveness, context);
    if (reason === null) return;
    machine.scalingIn = true;
    this.core.log.info(
      { machine: machine.id, part: shard.id, why: reason, bound: machine.allocations.size },
      'returning machine',
    );
    void this.deleteMachine(shard, machine);
  }

  /** Once asked, the deletion may be carried out at any later time: the machine takes no more work. */
  private async deleteMachine(shard: Shard, machine: Machine): Promise<void> {
    const { core } = this;
    for (let wait = 500; !(await this.requestDeletion(machine.id)); wait = Math.min(5000, wait * 2)) {
      await core.sleep(millis(wait * (0.7 + core.random(600) / 1000)));
      if (core.shards.get(shard.id) !== shard) return;
    }
    await core.exclusive(() => {
      if (shard.machines.get(machine.id) === machine) this.onMachineDeleted(shard, machine);
    });
    const key = machineKey(machine.id);
    for (let i = 0; i < 20; i += 1) {
      const version = core.storeCache.version(key);
      if (version === 0 || core.shards.get(shard.id) !== shard) return;
      const result = await core.store.compareAndSwap(
        [{ key, version }, core.leaderCondition(shard)],
        [{ op: 'delete', key }],
        RequestPriority.handOver,
      );
      if (result.kind === 'done')
        return core.exclusive(() => core.storeCache.apply(key, undefined, result.revision));
      await core.sleep(millis(500));
    }
  }

  /** Many go back at once, and the calls to the cloud are few: those of a moment share one. */
  private requestDeletion(id: MachineId): Promise<boolean> {
    if (!this.deletionBatch || this.deletionBatch.ids.length >= MAX_DELETION_BATCH) {
      const ids: MachineId[] = [];
      const outcome = this.core.sleep(DELETION_BATCH_WINDOW).then(() => {
        if (this.deletionBatch?.ids === ids) this.deletionBatch = null;
        return this.core.cloud.scaleIn(ids);
      });
      this.deletionBatch = { ids, outcome };
    }
    this.deletionBatch.ids.push(id);
    return this.deletionBatch.outcome;
  }

  /** Machines that nobody uses: never booted, failed, or rented by a request that came late. */
  async runListing(): Promise<never> {
    for (;;) {
      await this.core.sleep(millis(LIST_INTERVAL * (0.8 + this.core.random(400) / 1000)));
      const listed = await this.core.cloud.listMachines();
      if (listed) await this.reviewListing(listed);
    }
  }

  private async reviewListing(listed: readonly ListedMachine[]): Promise<void> {
    const { core } = this;
    const now = core.clock.now();
    // Without a current view every machine looks like nobody's: a process that starts while the state service is away
    // must not return the whole fleet.
    if (!core.mayCommand(now)) return this.unusedSince.clear();
    this.isUnlisted = unlistedCheck(listed, core.settings.listLagS);
    const unusedIds: MachineId[] = [];
    const listedIds = new Set(listed.map((listedMachine) => listedMachine.id));
    for (const listedMachine of listed) {
      const entry = core.storeCache.get(machineKey(listedMachine.id));
      const shard = entry ? core.shards.get(decodeMachineRecord(entry.value)?.shard as ShardId) : undefined;
      const machine = shard?.machines.get(listedMachine.id);
      if (shard && machine) {
        if (listedMachine.state === 'failed' && !machine.scalingIn) {
          machine.scalingIn = true;
          void this.deleteMachine(shard, machine);
        }
        continue;
      }
      const bootMs = (core.types.get(listedMachine.type)?.bootS ?? 60) * 1000;
      const maxAgeMs =
        listedMachine.state === 'failed'
          ? 0
          : this.pendingMachines.has(listedMachine.id)
            ? 4 * bootMs
            : 5 * bootMs + 15_000;
      if (this.awaitsRegistration(listedMachine.id)) continue;
      if (
        !entry &&
        !core.retiredMachines.has(listedMachine.id) &&
        listedMachine.ageS * 1000 > maxAgeMs &&
        this.unusedForMs(listedMachine.id, now) > 3000
      )
        unusedIds.push(listedMachine.id);
    }
    for (const id of this.unusedSince.keys()) if (!listedIds.has(id)) this.unusedSince.delete(id);
    for (const [id, pending] of this.pendingMachines) {
      if (now - pending.requestedAt > 6 * (core.types.get(pending.type)?.bootS ?? 60) * 1000)
        this.forgetPending(id);
    }
    if (unusedIds.length === 0) return;
    core.log.info({ machines: unusedIds }, 'returning machines that nobody uses');
    if (await core.cloud.scaleIn(unusedIds)) for (const id of unusedIds) this.forgetPending(id);
  }

  private unusedForMs(id: MachineId, now: SteadyMs): number {
    const firstSeen = this.unusedSince.get(id) ?? now;
    this.unusedSince.set(id, firstSeen);
    return now - firstSeen;
  }
}
