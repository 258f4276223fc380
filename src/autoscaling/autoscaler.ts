/**
 * Scales the shards that this controller leads: requests machines for tasks that find no capacity, and deletes machines
 * that are idle, interrupted, failed or silent. `scale-out-plan.ts` decides which machines to request, and
 * `scale-in.ts` which to delete.
 */
import type { ScaleOutRequest } from '../cloud/wire.js';
import type { Core } from '../core.js';
import { requiredZone, type Machine, type Shard } from '../shards/model.js';
import { unplacedCount, type UnplacedTasks } from '../scheduling/cycle.js';
import type { RuntimeEstimator } from '../scheduling/runtime-estimator.js';
import type { MachineId, ShardId, IdempotencyKey, SteadyMs, ZoneId } from '../model/units.js';
import { millis } from '../model/units.js';
import { zoneForShard } from '../overflow/announcement.js';
import { withJitter } from './jitter.js';
import { ListingReview } from './listing-review.js';
import { MachineDeletionService } from './machine-deletion.js';
import { PendingMachines } from './pending-machines.js';
import {
  machineKindKey,
  planScaleOut,
  type CapacityDemand,
  type MachineKind,
  type ScaleOutDecision,
} from './scale-out-plan.js';
import { assessLiveness, scaleInReason, type ScaleInContext, type ShardLiveness } from './scale-in.js';

/** Backoff before a kind of machine for which the cloud had no capacity is requested again. */
const NO_CAPACITY_BACKOFF_MS = 12_000;
const NO_CAPACITY_BACKOFF_JITTER = 0.25;
/** Delay before a request without an answer is repeated with the same idempotency key. */
const REQUEST_RETRY_DELAY_MS = 3000;
const REQUEST_RETRY_JITTER = 0.3;
const MAX_REQUEST_ATTEMPTS = 4;
/** Minimum time between two requests for the same shard. */
const SCALE_OUT_INTERVAL_MS = 400;

/** Requests and deletes machines for the shards that this controller leads. */
export class Autoscaler {
  private readonly pendingMachines: PendingMachines;
  private readonly deletions: MachineDeletionService;
  private readonly listingReview: ListingReview;
  /** Time until which a kind of machine is not requested, by `machineKindKey`. */
  private readonly backedOffUntil = new Map<string, number>();
  private readonly demands = new Map<ShardId, CapacityDemand[]>();
  private readonly shardsScalingOut = new Set<ShardId>();
  private readonly lastScaleOutAt = new Map<ShardId, SteadyMs>();
  private requestCount = 0;

  constructor(
    private readonly core: Core,
    private readonly runtimeEstimator: RuntimeEstimator,
    onMachineDeleted: (shard: Shard, machine: Machine) => void,
    /** Returns whether a machine sends heartbeats and waits for its registration: it then counts as used. */
    awaitsRegistration: (id: MachineId) => boolean,
  ) {
    this.pendingMachines = new PendingMachines(core);
    this.deletions = new MachineDeletionService(core, onMachineDeleted);
    this.listingReview = new ListingReview(core, this.pendingMachines, this.deletions, awaitsRegistration);
  }

  /** Replaces the demand of a shard by the tasks that its last scheduling cycle could not place for lack of capacity. */
  updateDemand(shard: Shard, unplaced: readonly UnplacedTasks[], now: SteadyMs): void {
    const demands: CapacityDemand[] = [];
    for (const unplacedTasks of unplaced) {
      if (unplacedTasks.reason !== 'capacity') continue;
      const { spec, waitingSince } = unplacedTasks.job;
      const waitedMs = now - (waitingSince ?? now);
      for (const [zone, count] of unplacedByZone(unplacedTasks))
        demands.push({ spec, requiredZone: zone, count, waitedMs });
    }
    this.demands.set(shard.id, demands);
  }

  /** Requests machines for shards with demand; to be called a few times a second. */
  scaleOutShards(): void {
    const now = this.core.clock.now();
    for (const shard of this.core.shards.values()) {
      if (!this.core.mayCommand(now)) continue;
      this.scaleOut(shard, now);
    }
  }

  /** Checks every machine and starts to delete those that are to be deleted; to be called once a second. */
  scaleInShards(): void {
    const now = this.core.clock.now();
    for (const shard of this.core.shards.values()) {
      if (!this.core.mayCommand(now)) continue;
      const context = this.scaleInContext(shard, now);
      const liveness = assessLiveness(shard, context);
      for (const machine of shard.machines.values()) this.scaleInIfDue(shard, machine, liveness, context);
    }
  }

  /** Removes a pending machine that is registered in the store, or is no longer expected. */
  forgetPending(id: MachineId): void {
    this.pendingMachines.forget(id);
  }

  /** Runs the listing review, which deletes failed and unused machines, for the lifetime of the process. */
  runListing(): Promise<never> {
    return this.listingReview.run();
  }

  private scaleOut(shard: Shard, now: SteadyMs): void {
    const demands = this.demands.get(shard.id) ?? [];
    if (demands.length === 0 || this.shardsScalingOut.has(shard.id) || this.core.types.size === 0) return;
    const lastScaleOutAt = this.lastScaleOutAt.get(shard.id);
    if (lastScaleOutAt !== undefined && now - lastScaleOutAt < SCALE_OUT_INTERVAL_MS) return;
    const decision = this.planScaleOut(shard, demands, now)[0];
    if (!decision) return;
    this.lastScaleOutAt.set(shard.id, now);
    this.shardsScalingOut.add(shard.id);
    // Never rejects: failures are returned as results. The shard may scale out again once the request has ended.
    void this.requestMachines(shard.id, { ...decision, idempotencyKey: this.nextRequestKey(shard) }).finally(
      () => this.shardsScalingOut.delete(shard.id),
    );
  }

  private planScaleOut(shard: Shard, demands: readonly CapacityDemand[], now: SteadyMs): ScaleOutDecision[] {
    return planScaleOut(demands, {
      types: [...this.core.types.values()],
      zones: this.core.settings.zones,
      homeZone: zoneForShard(this.core, shard.id),
      pendingMachines: this.pendingMachines.ofShard(shard.id),
      isBackedOff: (kind) => (this.backedOffUntil.get(machineKindKey(kind)) ?? 0) > now,
      runningTasks: shard.allocations.size,
      runtimeCorrection: (jobClass) => this.runtimeEstimator.correctionFactor(jobClass),
    });
  }

  /** Returns a unique key: no other leader has this fencing token, and this leader counts its requests. */
  private nextRequestKey(shard: Shard): IdempotencyKey {
    this.requestCount += 1;
    return `c${shard.id}-${shard.fencingToken}-${this.requestCount}` as IdempotencyKey;
  }

  private async requestMachines(shard: ShardId, request: ScaleOutRequest): Promise<void> {
    const { core } = this;
    for (let attempt = 0; attempt < MAX_REQUEST_ATTEMPTS; attempt += 1) {
      const result = await core.cloud.scaleOut(request);
      const now = core.clock.now();
      if (result.kind === 'rented') {
        this.pendingMachines.add(shard, result.machines, request, now);
        if (result.machines.length < request.count) this.backOff(request, now + NO_CAPACITY_BACKOFF_MS);
        core.log.info({ ...request, got: result.machines.length }, 'scaled out');
        return;
      }
      if (result.kind === 'no-capacity') {
        core.log.info({ ...request }, 'no capacity');
        this.backOff(request, now + withJitter(core, NO_CAPACITY_BACKOFF_MS, NO_CAPACITY_BACKOFF_JITTER));
        return;
      }
      await core.sleep(millis(withJitter(core, REQUEST_RETRY_DELAY_MS, REQUEST_RETRY_JITTER)));
    }
  }

  private backOff(kind: MachineKind, until: number): void {
    this.backedOffUntil.set(machineKindKey(kind), until);
  }

  private scaleInContext(shard: Shard, now: SteadyMs): ScaleInContext {
    const { heartbeatIntervalMs, tuning } = this.core;
    return {
      now,
      heartbeatIntervalMs,
      idleTimeout: tuning.idleMachineTimeout,
      silenceTimeout: tuning.silentMachineTimeout,
      hasPendingDemand: (this.demands.get(shard.id) ?? []).length > 0,
      storeHealthy: this.core.storeHealthy(),
      isUnlisted: this.listingReview.isUnlisted,
    };
  }

  private scaleInIfDue(
    shard: Shard,
    machine: Machine,
    liveness: ShardLiveness,
    context: ScaleInContext,
  ): void {
    if (machine.scalingIn) return;
    const reason = scaleInReason(shard, machine, liveness, context);
    if (reason === null) return;
    this.core.log.info(
      { machine: machine.id, shard: shard.id, why: reason, allocations: machine.allocations.size },
      'scaling in machine',
    );
    this.deletions.start(shard, machine);
  }
}

/** Counts the unplaced tasks by the zone that they require; null: any zone. */
function unplacedByZone(unplaced: UnplacedTasks): Map<ZoneId | null, number> {
  if (unplaced.indices === 'all') return new Map([[null, unplacedCount(unplaced)]]);
  const countByZone = new Map<ZoneId | null, number>();
  for (const index of unplaced.indices) {
    const zone = requiredZone(unplaced.job, index);
    countByZone.set(zone, (countByZone.get(zone) ?? 0) + 1);
  }
  return countByZone;
}
