/**
 * Machines change pools for a gang that is larger than every pool: its pool asks a peer, and the peer's owner gives
 * machines that have come empty, each by one conditional write. A transferred machine holds nothing, and nothing that
 * could still start a task is on its way to it, so its new owner counts it as new.
 */
import type { Core } from '../core.js';
import { fits, isZero, taskSlots, subtract, type Resources } from '../model/resources.js';
import type { Machine, Shard } from '../shards/model.js';
import { encodeMachineRecord, machineKey } from '../shards/codec.js';
import { encodePeerMessage } from '../peers/codec.js';
import type { MachineRequest } from '../peers/messages.js';
import { isSchedulable, type OversizedGang } from '../scheduling/cycle.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { ShardId, SteadyMs } from '../model/units.js';
import { millis, plus } from '../model/units.js';
import { zoneForShard } from './announcement.js';

/** Between two requests of a pool, in milliseconds. */
const REQUEST_INTERVAL_MS = 2000;
/** One peer is asked for so long before the next one is, in milliseconds. */
const PEER_TURN_MS = 20_000;
/** Without another request a machine takes work again after this time. */
const CORDON_TTL = millis(6000);

/** Machines that are to go to the pool that asks: those that are empty go now, the others take no more work. */
export interface TransferChoice {
  readonly empty: readonly Machine[];
  readonly draining: readonly Machine[];
}

/** Nothing is on the machine, and no order that may still be carried out there is outstanding. */
const isEmpty = (machine: Machine): boolean =>
  machine.allocations.size === 0 && machine.exitedTasks.size === 0 && !machine.directRequestInFlight;

/** Critical work does not end by itself. */
const runsCriticalWork = (machine: Machine): boolean => !isZero(subtract(machine.used, machine.preemptible));

/** Pure: which machines of the pool suit the request, those that were promised first, then the least used. */
export function chooseTransfer(
  shard: Shard,
  request: MachineRequest,
  core: Pick<Core, 'types' | 'heartbeatIntervalMs'>,
  now: SteadyMs,
): TransferChoice {
  const suits = (machine: Machine): boolean => {
    if (machine.zone !== request.zone || (machine.spot && !request.spot) || machine.unknownSizeCount > 0)
      return false;
    if (request.types !== null && !request.types.includes(machine.type)) return false;
    return (
      isSchedulable({ ...machine, draining: false }, { now, reportMs: core.heartbeatIntervalMs }) &&
      !runsCriticalWork(machine)
    );
  };
  const capacityOf = (machine: Machine): Resources | undefined => core.types.get(machine.type);
  const suitable = [...shard.machines.values()].filter(suits);
  suitable.sort((a, b) => Number(b.draining) - Number(a.draining) || a.used.cpus - b.used.cpus);
  const chosen: Machine[] = [];
  let missing = request.tasks;
  for (const machine of suitable) {
    if (missing <= 0) break;
    const capacity = capacityOf(machine);
    if (!capacity || !fits(request, capacity)) continue;
    missing -= taskSlots(capacity, request);
    chosen.push(machine);
  }
  return { empty: chosen.filter(isEmpty), draining: chosen.filter((machine) => !isEmpty(machine)) };
}

export class MachineTransferService {
  private readonly requestedAt = new Map<ShardId, SteadyMs>();
  /** When a pool of ours last had a gang that is larger than it. */
  private readonly oversizedGangSeenAt = new Map<ShardId, SteadyMs>();
  private readonly cordonedUntil = new Map<Machine, SteadyMs>();

  constructor(private readonly core: Core) {}

  /** The pool has such a gang: asks one peer of the same zone after another. */
  request(shard: Shard, gang: OversizedGang): void {
    const { core } = this;
    const now = core.clock.now();
    this.oversizedGangSeenAt.set(shard.id, now);
    const requestedAt = this.requestedAt.get(shard.id);
    if (requestedAt !== undefined && now - requestedAt < REQUEST_INTERVAL_MS) return;
    this.requestedAt.set(shard.id, now);
    const zone = zoneForShard(core, shard.id);
    const peers = core.settings.shards.filter((p) => p.shard !== shard.id && p.zone === zone);
    const peer = peers[Math.floor(now / PEER_TURN_MS) % peers.length];
    if (!peer) return;
    const { cpus, gpus, memoryGb, types, spot } = gang.job.spec;
    const requirements = { cpus, gpus, memoryGb, tasks: gang.missingTasks, types, spot, zone };
    const request: MachineRequest = {
      kind: 'machineRequest',
      from: shard.id,
      to: peer.shard,
      ...requirements,
    };
    if (core.shards.has(peer.shard)) this.handleRequest(request);
    else {
      const owner = core.shardRecord(peer.shard)?.leader;
      if (owner) core.peerTransport.send(owner, encodePeerMessage(request));
    }
  }

  /** A pool asks one of ours for machines. */
  handleRequest(request: MachineRequest): void {
    const { core } = this;
    const now = core.clock.now();
    const shard = core.shards.get(request.to);
    if (!shard?.reconciled || request.from === request.to || !core.mayCommand(now)) return;
    if (!core.settings.shards.some((p) => p.shard === request.from)) return;
    if (this.hasPrecedence(shard, request, now)) return;
    const { empty, draining: emptying } = chooseTransfer(shard, request, core, now);
    for (const machine of emptying) this.cordon(machine, now);
    for (const machine of empty) {
      if (machine.draining && !this.cordonedUntil.has(machine)) continue;
      machine.draining = true;
      this.cordonedUntil.delete(machine);
      void this.transfer(shard, machine, request.from);
    }
  }

  /** Of two pools that both have such a gang the one with the lower number gathers machines first. */
  private hasPrecedence(shard: Shard, request: MachineRequest, now: SteadyMs): boolean {
    const seenAt = this.oversizedGangSeenAt.get(shard.id);
    const hasOversizedGang = seenAt !== undefined && now - seenAt < CORDON_TTL;
    return hasOversizedGang && shard.id < request.from;
  }

  private cordon(machine: Machine, now: SteadyMs): void {
    if (machine.draining && !this.cordonedUntil.has(machine)) return;
    machine.draining = true;
    this.cordonedUntil.set(machine, plus(now, CORDON_TTL));
  }

  /** Promised machines that nobody asks for any more take work again. */
  expireCordons(): void {
    const now = this.core.clock.now();
    for (const [machine, until] of this.cordonedUntil) {
      if (now < until) continue;
      this.cordonedUntil.delete(machine);
      machine.draining = false;
    }
  }

  /** Nothing is placed on the machine meanwhile, also where the outcome of the write stays open for long. */
  private async transfer(shard: Shard, machine: Machine, receivingShard: ShardId): Promise<void> {
    const { core } = this;
    const key = machineKey(machine.id);
    const { address, type, zone, spot } = machine;
    const value = encodeMachineRecord({ shard: receivingShard, address, type, zone, spot });
    const result = await core.compareAndSwapUntilCertain(
      [{ key, version: core.storeCache.version(key) }, core.leaderCondition(shard)],
      [{ op: 'put', key, value }],
      RequestPriority.handOver,
    );
    core.log.info(
      { machine: machine.id, from: shard.id, to: receivingShard, result: result.kind },
      'machine transferred',
    );
    await core.exclusive(() => {
      if (result.kind === 'done') core.storeCache.apply(key, value, result.revision);
      machine.draining = false;
    });
  }
}
