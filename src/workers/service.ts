/**
 * Entry point of the worker module: heartbeats, commands to workers, lease expiry, and registration and removal of
 * machines. The rest of the controller uses only this class.
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

/** Maximum number of workers that are called to check whether a shard's workers are reachable. */
const MAX_PROBED_WORKERS = 5;

/** The parts of the controller that the worker module reads and updates, for all of its classes. */
export type WorkerServiceDependencies = HeartbeatHandlerDependencies &
  DirectCommandsDependencies &
  LeaseExpiryDependencies &
  RegistrationDependencies &
  ShardUpdatesDependencies & { readonly storeCache: Pick<StoreCache, 'entriesUnder'> } & Pick<
    Core,
    'imageHints' | 'retiredMachines'
  >;

/** The interface of the worker module to the rest of the controller. */
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

  /** Answers a worker's heartbeat; `body` is the body of the request. */
  handleHeartbeat(body: Buffer): Promise<HttpResponse> {
    return this.heartbeatHandler.handle(body);
  }

  /** Returns the number of heartbeats not answered with 200 since the process started, by reason. */
  heartbeatRefusals(): Readonly<Record<string, number>> {
    return this.heartbeatHandler.refusals.snapshot();
  }

  /** Returns the number of commands sent since the process started, by kind, and of forgotten attempts listed again. */
  commandCounts(): Readonly<Record<string, number>> {
    return this.shardUpdates.sentCommands.counts();
  }

  /** Applies a change of a machine's record in the watch cache; `record` is null if it was deleted. */
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

  /** Removes a machine. Must be called only when the machine has certainly been deleted, with all tasks on it. */
  removeMachine(shard: Shard, machine: Machine): void {
    releaseAll(shard, machine, this.controller.log);
    shard.removeMachine(machine);
    this.shardUpdates.onShardChanged(shard);
  }

  /** Returns whether a machine sends heartbeats and waits to be registered. */
  isCandidate(id: MachineId): boolean {
    return this.registration.isCandidate(id);
  }

  /** Sends the commands that are due to the machines of a shard. */
  dispatchCommands(shard: Shard): void {
    this.directCommands.dispatch(shard);
  }

  /** Expires leases of a shard's machines. Must be called periodically for every shard. */
  expireLeases(shard: Shard): void {
    this.leaseExpiry.expire(shard);
  }

  /** Returns whether most of the probed workers of a shard reply. Checked before a shard is acquired again. */
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

  /** Closes connections to workers that no longer belong to any of this controller's shards. */
  closeUnusedClients(): void {
    const addresses = new Set<Address>();
    for (const shard of this.controller.shards.values())
      for (const machine of shard.machines.values()) addresses.add(machine.address);
    this.clients.closeExcept(addresses);
  }
}
