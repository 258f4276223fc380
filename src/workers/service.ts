/**
 * Composes the workers' slice: heartbeats, commands sent to workers, lease expiry, and machines that come and go. The
 * rest of the controller uses this class alone.
 */
import type { Core } from '../core.js';
import type { HttpResponse } from '../http/server.js';
import type { Machine, Shard } from '../shards/model.js';
import { newMachine } from '../shards/model.js';
import { decodeMachineRecord, MACHINES_PREFIX, type MachineRecord } from '../shards/codec.js';
import type { StoreCache } from '../store/cache.js';
import type { Address, MachineId, ShardId, Revision } from '../model/units.js';
import { WorkerClients, type WorkerClient } from './clients.js';
import { DirectCommands, type DirectCommandsDependencies } from './direct-commands.js';
import { LeaseExpiry, type LeaseExpiryDependencies } from './lease-expiry.js';
import { MachineRegistration, type RegistrationDependencies } from './registration.js';
import { ShardUpdates, type RuntimeSamples, type ShardUpdatesDependencies } from './shard-updates.js';
import {
  HeartbeatHandler,
  type HeartbeatHandlerDependencies,
  type HeartbeatLeadership,
} from './heartbeat-handler.js';
import { isRegisteredSinceAcquisition, releaseAll } from './release-rules.js';

/** Workers that are called to find out whether those of a shard are reachable. */
const MAX_PROBED_WORKERS = 5;

/** What the workers' slice uses of the controller: the sum of what its classes use, and what it keeps up to date. */
export type WorkerServiceDependencies = HeartbeatHandlerDependencies &
  DirectCommandsDependencies &
  LeaseExpiryDependencies &
  RegistrationDependencies &
  ShardUpdatesDependencies & { readonly storeCache: Pick<StoreCache, 'entriesUnder'> } & Pick<
    Core,
    'imageHints' | 'retiredMachines'
  >;

/** What the rest of the controller asks of the workers' slice. */
export class WorkerService {
  private readonly clients: WorkerClients;
  private readonly shardUpdates: ShardUpdates;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly directCommands: DirectCommands;
  private readonly leaseExpiry: LeaseExpiry;
  private readonly registration: MachineRegistration;

  constructor(
    private readonly controller: WorkerServiceDependencies,
    leadership: HeartbeatLeadership,
    runtimeSamples: RuntimeSamples,
    dial: (address: Address) => WorkerClient,
  ) {
    this.clients = new WorkerClients(dial);
    this.shardUpdates = new ShardUpdates(controller, runtimeSamples);
    this.registration = new MachineRegistration(controller, (heartbeat) =>
      this.clients.isReachable(heartbeat),
    );
    this.heartbeatHandler = new HeartbeatHandler(
      controller,
      leadership,
      this.registration,
      this.shardUpdates,
    );
    this.directCommands = new DirectCommands(controller, this.clients, this.shardUpdates);
    this.leaseExpiry = new LeaseExpiry(controller, leadership, this.shardUpdates);
  }

  /** Answers a worker's heartbeat, given as the request's body. */
  handleHeartbeat(body: Buffer): Promise<HttpResponse> {
    return this.heartbeatHandler.handle(body);
  }

  /** Heartbeats that were not answered with 200, by the reason, since the process began. */
  heartbeatRefusals(): Readonly<Record<string, number>> {
    return this.heartbeatHandler.refusals.snapshot();
  }

  /** Follows a machine's record in the watch cache; null: it was removed. */
  onMachineChanged(id: MachineId, record: MachineRecord | null, version: Revision): void {
    for (const shard of this.controller.shards.values()) {
      const machine = shard.machines.get(id);
      if (record?.shard === shard.id) {
        if (!machine) this.addMachine(shard, id, record, version);
      } else if (machine) this.removeMachine(shard, machine);
    }
    if (!record) this.recordRetired(id);
  }

  private addMachine(shard: Shard, id: MachineId, record: MachineRecord, version: Revision): void {
    const now = this.controller.clock.now();
    const { address, type, zone, spot } = record;
    const reconciled = isRegisteredSinceAcquisition(shard, version);
    const identity = { id, address, type, zone, spot };
    shard.addMachine(newMachine({ ...identity, addedAt: now, reconciled, registeredVersion: version }));
  }

  private recordRetired(id: MachineId): void {
    const { imageHints, retiredMachines } = this.controller;
    imageHints.delete(id);
    retiredMachines.add(id);
  }

  /** To be called when the machine has certainly gone, with all that was on it. */
  removeMachine(shard: Shard, machine: Machine): void {
    releaseAll(shard, machine, this.controller.log);
    shard.removeMachine(machine);
    this.shardUpdates.onShardChanged(shard);
  }

  /** Whether a machine sends heartbeats and waits for its turn to be registered. */
  isCandidate(id: MachineId): boolean {
    return this.registration.isCandidate(id);
  }

  /** Sends what is due on every machine of a shard. */
  dispatchCommands(shard: Shard): void {
    this.directCommands.dispatch(shard);
  }

  /** To be called for every shard at intervals. */
  expireLeases(shard: Shard): void {
    this.leaseExpiry.expire(shard);
  }

  /** Whether workers of a shard reply to this controller at all; asked before it acquires a shard again. */
  async areWorkersReachable(shard: ShardId): Promise<boolean> {
    const addresses: Address[] = [];
    for (const entry of this.controller.storeCache.entriesUnder(MACHINES_PREFIX)) {
      const machine = decodeMachineRecord(entry.value);
      if (machine && machine.shard === shard && machine.address !== '') addresses.push(machine.address);
    }
    if (addresses.length === 0) return true;
    const probed = addresses.slice(0, MAX_PROBED_WORKERS);
    return (await this.clients.countReachable(probed)) * 2 > probed.length;
  }

  /** Closes connections to workers that are in none of this controller's shards any more. */
  closeUnusedClients(): void {
    const addresses = new Set<Address>();
    for (const shard of this.controller.shards.values())
      for (const machine of shard.machines.values()) addresses.add(machine.address);
    this.clients.closeExcept(addresses);
  }
}
