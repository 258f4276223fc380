/** Builds the capacity announcements of this controller, and applies the announcements of its peers to `Core`. */
import type { Core } from '../core.js';
import { activeJobKey } from '../jobs/codec.js';
import { add, addTo, fits, scale, ZERO, type MutableResources, type Resources } from '../model/resources.js';
import { decodePeerMessage } from '../peers/codec.js';
import type {
  CachedImages,
  CancellationNotice,
  CapacityAnnouncement,
  FreeMachines,
  MachineRequest,
  QuotaTransferRequest,
  ShardCapacity,
} from '../peers/messages.js';
import { isSchedulable } from '../shards/machine-health.js';
import { freeResources, waitingByZone, type Machine, type Shard, type ShardJob } from '../shards/model.js';
import type { ImageId, JobId, MachineId, ShardId, SteadyMs, TeamId, ZoneId } from '../model/units.js';
import { plus } from '../model/units.js';
import type { FreeCapacity } from '../peers/free-capacity.js';
import { reserveCapacity } from './peer-ranking.js';

/** Maximum number of machines whose cached images one announcement lists. */
const MAX_MACHINES_WITH_IMAGE_HINTS = 12;

/** Grouping key: machines with the same key share one entry of an announcement. */
const machineShapeKey = (machine: Machine, free: Resources): string =>
  `${machine.type}/${machine.zone}/${machine.spot}/${free.cpus.toFixed(2)}/${free.gpus.toFixed(2)}/${free.memoryGb.toFixed(2)}`;

/** Returns the free capacity of a shard led by this controller, minus the capacity that its own queue will use. */
export function computeFreeCapacity(core: Core, shard: Shard): FreeCapacity {
  const now = core.clock.now();
  const context = { now, heartbeatIntervalMs: core.heartbeatIntervalMs };
  const shapes = new Map<string, FreeMachines>();
  for (const machine of shard.totals.machinesWithFreeCpu()) {
    if (!isSchedulable(machine, context)) continue;
    const free = freeResources(machine, core.types.get(machine.type));
    const key = machineShapeKey(machine, free);
    const sameShape = shapes.get(key);
    if (sameShape) sameShape.count += 1;
    else shapes.set(key, { type: machine.type, zone: machine.zone, spot: machine.spot, ...free, count: 1 });
  }
  const freeCapacity: FreeCapacity = {
    shard: shard.id,
    zone: zoneForShard(core, shard.id),
    expiresAt: plus(now, core.tuning.announcementExpiry),
    machines: [...shapes.values()],
  };
  const maxCapacity = maxAvailableCapacity(shard, freeCapacity);
  // Jobs that wait for quota or are in backoff use no capacity meanwhile. A task uses capacity in its required zone
  // only.
  for (const job of shard.queue) {
    if (shard.teamsBlockedByQuota.has(job.spec.team) || now < job.backoffUntil) continue;
    if (isOversizedGang(job, maxCapacity)) continue;
    for (const [zone, count] of waitingByZone(job)) reserveCapacity(freeCapacity, job.spec, zone, count);
  }
  return freeCapacity;
}

/**
 * Upper bound of the capacity that may become free in the shard: the free capacity, the capacity used by preemptible
 * tasks, and the capacity of which it is not known whether it is in use.
 */
function maxAvailableCapacity(shard: Shard, { machines }: FreeCapacity): Resources {
  const capacity: MutableResources = { ...shard.totals.unknownUsageCapacity(shard.types) };
  for (const shape of machines) addTo(capacity, shape, shape.count);
  addTo(capacity, shard.totals.preemptibleUsage);
  return capacity;
}

/**
 * All members of a gang start at once. A gang that needs more than `maxCapacity` therefore uses no capacity for now,
 * unless machines are reserved for it. A gang that only waits for capacity to become free does count: otherwise smaller
 * tasks would take each freed piece before it.
 */
function isOversizedGang(job: ShardJob, maxCapacity: Resources): boolean {
  if (!job.gangHistory || job.reservations.size > 0) return false;
  return !fits(scale(job.spec, job.waiting.size), maxCapacity);
}

/**
 * Returns, by image, the capacity that critical tasks can use at once on on-demand machines that hold the image: what
 * is free, and what preemptible tasks use.
 */
export function capacityByImage(core: Core, shard: Shard): Map<ImageId, Resources> {
  const capacities = new Map<ImageId, Resources>();
  const context = { now: core.clock.now(), heartbeatIntervalMs: core.heartbeatIntervalMs };
  for (const [image, machines] of shard.totals.imageHolders()) {
    const capacity: MutableResources = { ...ZERO };
    for (const machine of machines) {
      if (!machine.spot && isSchedulable(machine, context))
        addTo(capacity, add(freeResources(machine, core.types.get(machine.type)), machine.preemptible));
    }
    if (capacity.cpus > 0) capacities.set(image, capacity);
  }
  return capacities;
}

/** Updates the free capacity of the shards led by this controller, for announcements and for assigning new jobs. */
export function refreshFreeCapacity(core: Core): void {
  for (const shard of core.shards.values()) {
    core.freeCapacity.set(shard.id, computeFreeCapacity(core, shard));
    core.criticalCapacityByImage.set(shard.id, capacityByImage(core, shard));
  }
}

/**
 * Cached images of some machines, for the shard's next leader: machines with changed images first, then the rest in
 * rotation.
 */
function imageHints(shard: Shard): Map<MachineId, CachedImages> {
  const machines = [...shard.nextImageAnnouncements(MAX_MACHINES_WITH_IMAGE_HINTS)];
  return new Map(machines.map((machine) => [machine.id, [...machine.images]]));
}

/** Returns the zone of a shard's controller. */
export const zoneForShard = (core: Core, shard: ShardId): ZoneId =>
  core.settings.shards.find((configured) => configured.shard === shard)?.zone ?? core.settings.zone;

function listFreeMachines(core: Core, shard: Shard): FreeMachines[] {
  return (core.freeCapacity.get(shard.id) ?? computeFreeCapacity(core, shard)).machines.filter(
    (machines) => machines.count > 0,
  );
}

/** Counts running tasks by job in all shards that this controller leads. */
function countRunningTasks(core: Core): Map<JobId, number> {
  const running = new Map<JobId, number>();
  for (const shard of core.shards.values()) {
    for (const [job, allocations] of shard.allocationsByJob) {
      let count = running.get(job) ?? 0;
      for (const allocation of allocations) if (allocation.phase === 'running') count += 1;
      if (count > 0) running.set(job, count);
    }
  }
  return running;
}

/** Builds the current announcement of this controller. */
export function composeAnnouncement(
  core: Core,
  getUnusedQuota: (shard: Shard) => Map<TeamId, Resources>,
  redirectedHeartbeats: ReadonlyMap<ShardId, number>,
): CapacityAnnouncement {
  return {
    kind: 'capacityAnnouncement',
    node: core.settings.node,
    incarnation: core.incarnation,
    storeHealthy: core.storeHealthy(),
    rateUsage: core.store.usage,
    runningTasks: countRunningTasks(core),
    redirectedHeartbeats,
    rentedMachines: core.unregisteredOwnMachines,
    shards: [...core.shards.values()].map((shard) => buildShardCapacity(core, shard, getUnusedQuota(shard))),
  };
}

function buildShardCapacity(
  core: Core,
  shard: Shard,
  unusedQuota: ReadonlyMap<TeamId, Resources>,
): ShardCapacity {
  return {
    shard: shard.id,
    freeMachines: listFreeMachines(core, shard),
    used: shard.totals.usageByTeam,
    unusedQuota,
    criticalCapacity: core.criticalCapacityByImage.get(shard.id) ?? new Map<ImageId, Resources>(),
    cachedImages: imageHints(shard),
  };
}

/** Records the state that a peer announced for itself and its shards, until the announcement expires. */
function applyAnnouncement(core: Core, announcement: CapacityAnnouncement): void {
  const now = core.clock.now();
  core.peers.set(announcement.node, {
    lastAnnouncementAt: now,
    incarnation: announcement.incarnation,
    storeHealthy: announcement.storeHealthy,
    storeUsage: announcement.rateUsage,
    runningTasks: announcement.runningTasks,
    redirectedHeartbeats: announcement.redirectedHeartbeats,
  });
  for (const [machine, shard] of announcement.rentedMachines) core.intendedShards.set(machine, shard);
  const expires = plus(now, core.tuning.announcementExpiry);
  // During a failover two controllers may both believe that they lead a shard. For a shard led by this controller, its
  // own state is authoritative.
  for (const capacity of announcement.shards)
    if (!core.shards.has(capacity.shard)) applyShardCapacity(core, capacity, expires);
}

function applyShardCapacity(core: Core, capacity: ShardCapacity, expires: SteadyMs): void {
  const { shard, used, unusedQuota } = capacity;
  for (const [machine, images] of capacity.cachedImages) core.imageHints.set(machine, images);
  core.criticalCapacityByImage.set(shard, capacity.criticalCapacity);
  core.shardAnnouncements.set(shard, { expiresAt: expires, usage: used, unusedQuota });
  const machines = [...capacity.freeMachines];
  core.freeCapacity.set(shard, {
    shard,
    zone: zoneForShard(core, shard),
    expiresAt: expires,
    machines,
  });
}

/**
 * Applies a committed cancellation without waiting for the watch, because the store may be reachable for the peer and
 * not for this controller. It is applied like the result of this controller's own write; a late duplicate is older than
 * the watch cache and is ignored.
 */
function applyCancellation(core: Core, { job, version }: CancellationNotice): void {
  void core.exclusive(() => core.storeCache.apply(activeJobKey(job), undefined, version));
}

/**
 * Applies a peer's announcement or cancellation notice and returns null. Returns a request for quota or machines for
 * the caller to handle. An invalid message is ignored.
 */
export function receiveMessage(core: Core, sent: unknown): QuotaTransferRequest | MachineRequest | null {
  const message = decodePeerMessage(sent);
  switch (message?.kind) {
    case 'capacityAnnouncement':
      applyAnnouncement(core, message);
      return null;
    case 'cancellationNotice':
      applyCancellation(core, message);
      return null;
    default:
      return message;
  }
}
