/**
 * Transfers machines between shards for a gang that is too large for any shard. The gang's shard asks a peer, and the
 * leader of the peer's shard drains machines and transfers the empty ones, each with one compare-and-swap. A
 * transferred machine has no task, and no command that could still start a task is in flight, so its new leader treats
 * it as a new machine.
 */
import type { Core } from '../core.js';
import { fits, isZero, taskSlots, subtract } from '../model/resources.js';
import type { Machine, Shard } from '../shards/model.js';
import { decodeMachineRecord, encodeMachineRecord, machineKey } from '../shards/codec.js';
import { encodePeerMessage } from '../peers/codec.js';
import type { MachineRequest } from '../peers/messages.js';
import { type OversizedGang } from '../scheduling/cycle.js';
import { isSchedulable } from '../shards/machine-health.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { ShardId, SteadyMs } from '../model/units.js';
import { millis, plus } from '../model/units.js';
import { zoneForShard } from './announcement.js';
import { readAfterConflict } from './read-after-conflict.js';

/** Minimum interval between two requests of a shard. */
const REQUEST_INTERVAL_MS = 2000;
/** How long one peer is asked before the next peer is asked. */
const PEER_TURN_MS = 20_000;
/** A machine that was cordoned for a request is uncordoned after this time without another request. */
const CORDON_TTL = millis(6000);

/** Machines for the requesting shard: empty ones are transferred now, the others are cordoned until they are empty. */
export interface TransferChoice {
  readonly empty: readonly Machine[];
  readonly draining: readonly Machine[];
}

/** Whether no task is on the machine and no command is in flight that the machine may still execute. */
const isEmpty = (machine: Machine): boolean =>
  machine.allocations.size === 0 && machine.exitedTasks.size === 0 && !machine.directRequestInFlight;

/** Machines with critical tasks are not cordoned: critical tasks are not preempted and may run indefinitely. */
const runsCriticalWork = (machine: Machine): boolean => !isZero(subtract(machine.used, machine.preemptible));

/**
 * Selects suitable machines of the shard for a request: cordoned ones first, then those with the least CPUs in use.
 * Pure.
 */
export function chooseTransfer(
  shard: Shard,
  request: MachineRequest,
  core: Pick<Core, 'types' | 'heartbeatIntervalMs'>,
  now: SteadyMs,
): TransferChoice {
  const isSuitable = (machine: Machine): boolean => {
    if (machine.zone !== request.zone || (machine.spot && !request.spot) || machine.unknownSizeTaskCount > 0)
      return false;
    if (request.types !== null && !request.types.includes(machine.type)) return false;
    return (
      isSchedulable(
        { ...machine, draining: false },
        { now, heartbeatIntervalMs: core.heartbeatIntervalMs },
      ) && !runsCriticalWork(machine)
    );
  };
  const suitable = [...shard.machines.values()].filter(isSuitable);
  suitable.sort(
    (first, second) => Number(second.draining) - Number(first.draining) || first.used.cpus - second.used.cpus,
  );
  const chosen: Machine[] = [];
  let missingTasks = request.tasks;
  for (const machine of suitable) {
    if (missingTasks <= 0) break;
    const capacity = core.types.get(machine.type);
    if (!capacity || !fits(request, capacity)) continue;
    missingTasks -= taskSlots(capacity, request);
    chosen.push(machine);
  }
  return { empty: chosen.filter(isEmpty), draining: chosen.filter((machine) => !isEmpty(machine)) };
}

/** Requests machines from peers, and transfers machines of the shards led by this controller to peers. */
export class MachineTransferService {
  private readonly requestedAt = new Map<ShardId, SteadyMs>();
  /** When a shard led by this controller last had an oversized gang. */
  private readonly oversizedGangSeenAt = new Map<ShardId, SteadyMs>();
  /** Machines cordoned for a request. Machines that are draining for another reason are not touched. */
  private readonly cordonedUntil = new Map<Machine, SteadyMs>();

  constructor(private readonly core: Core) {}

  /** Requests machines for a gang that is too large for the shard, from one peer of its zone after another. */
  request(shard: Shard, gang: OversizedGang): void {
    const { core } = this;
    const now = core.clock.now();
    this.oversizedGangSeenAt.set(shard.id, now);
    const requestedAt = this.requestedAt.get(shard.id);
    if (requestedAt !== undefined && now - requestedAt < REQUEST_INTERVAL_MS) return;
    this.requestedAt.set(shard.id, now);
    const zone = zoneForShard(core, shard.id);
    const peers = core.settings.shards.filter((other) => other.shard !== shard.id && other.zone === zone);
    const peer = peers[Math.floor(now / PEER_TURN_MS) % peers.length];
    if (!peer) return;
    const { cpus, gpus, memoryGb, types, spot } = gang.job.spec;
    const requirements = { cpus, gpus, memoryGb, tasks: gang.missingTasks, types, spot, zone };
    const request: MachineRequest = {
      kind: 'machineRequest',
      requestingShard: shard.id,
      donorShard: peer.shard,
      ...requirements,
    };
    if (core.shards.has(peer.shard)) this.handleRequest(request);
    else {
      const leader = core.shardRecord(peer.shard)?.leader;
      if (leader) core.peerTransport.send(leader, encodePeerMessage(request));
    }
  }

  /** Handles another shard's request for machines of a shard that this controller leads. */
  handleRequest(request: MachineRequest): void {
    const { core } = this;
    const now = core.clock.now();
    const shard = core.shards.get(request.donorShard);
    if (!shard?.reconciled || request.requestingShard === request.donorShard || !core.mayCommand(now)) return;
    if (!core.settings.shards.some((configured) => configured.shard === request.requestingShard)) return;
    if (this.hasPrecedence(shard, request, now)) return;
    const { empty, draining } = chooseTransfer(shard, request, core, now);
    for (const machine of draining) this.cordon(machine, now);
    for (const machine of empty) {
      if (machine.draining && !this.cordonedUntil.has(machine)) continue;
      machine.draining = true;
      this.cordonedUntil.delete(machine);
      void this.transfer(shard, machine, request.requestingShard);
    }
  }

  /**
   * Returns true if the shard has an oversized gang itself and has precedence over the requesting shard. Of two such
   * shards, the one with the lower number has precedence, so that they do not drain machines for each other.
   */
  private hasPrecedence(shard: Shard, request: MachineRequest, now: SteadyMs): boolean {
    const seenAt = this.oversizedGangSeenAt.get(shard.id);
    const hasOversizedGang = seenAt !== undefined && now - seenAt < CORDON_TTL;
    return hasOversizedGang && shard.id < request.requestingShard;
  }

  /** Stops the machine from accepting tasks until the cordon expires. */
  private cordon(machine: Machine, now: SteadyMs): void {
    if (machine.draining && !this.cordonedUntil.has(machine)) return;
    machine.draining = true;
    this.cordonedUntil.set(machine, plus(now, CORDON_TTL));
  }

  /** Uncordons machines that are no longer requested by any shard. */
  expireCordons(): void {
    const now = this.core.clock.now();
    for (const [machine, until] of this.cordonedUntil) {
      if (now < until) continue;
      this.cordonedUntil.delete(machine);
      machine.draining = false;
    }
  }

  /**
   * Transfers the machine to the receiving shard. It stays cordoned until the outcome of the write is certain: a task
   * started meanwhile could be on a machine that already belongs to another leader.
   */
  private async transfer(shard: Shard, machine: Machine, receivingShard: ShardId): Promise<void> {
    const { core } = this;
    const key = machineKey(machine.id);
    const { address, type, zone, spot } = machine;
    const value = encodeMachineRecord({ shard: receivingShard, address, type, zone, spot });
    const result = await core.compareAndSwapUntilCertain(
      [{ key, version: core.storeCache.version(key) }, core.leaderCondition(shard)],
      [{ op: 'put', key, value }],
      RequestPriority.transfer,
    );
    core.log.info(
      { machine: machine.id, from: shard.id, to: receivingShard, result: result.kind },
      'machine transferred',
    );
    if (result.kind === 'done')
      await core.exclusive(() => core.storeCache.apply(key, value, result.revision));
    else if (result.kind === 'refused' || (await this.stillBelongsTo(shard, machine)))
      await core.exclusive(() => (machine.draining = false));
  }

  /**
   * Whether the machine still belongs to the shard after a conflict: an earlier attempt of the write may have
   * transferred it.
   */
  private async stillBelongsTo(shard: Shard, machine: Machine): Promise<boolean> {
    const entry = await readAfterConflict(this.core, machineKey(machine.id));
    const record = entry && decodeMachineRecord(entry.value);
    return record?.shard === shard.id;
  }
}
