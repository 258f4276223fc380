/** The workers of the pools owned here: their reports, the orders sent to them, and their machines' coming and going. */
import type { Core } from '../core.js';
import type { HttpResponse } from '../http/server.js';
import type { Machine, Shard } from '../shards/model.js';
import { newMachine } from '../shards/model.js';
import type { ShardLeadership } from '../leadership/leadership.js';
import { decodeMachineRecord, MACHINES_PREFIX, type MachineRecord } from '../shards/codec.js';
import type { RuntimeEstimator } from '../scheduling/runtime-estimator.js';
import type { Address, MachineId, ShardId, Revision } from '../model/units.js';
import { WorkerClients, type WorkerClient } from './clients.js';
import { DirectCommands } from './direct-commands.js';
import { LeaseExpiry } from './lease-expiry.js';
import { MachineRegistration } from './registration.js';
import { ShardUpdates } from './shard-updates.js';
import { HeartbeatHandler } from './heartbeat-handler.js';
import { endAgentEpoch } from './reconciliation.js';

/** Workers asked whether a part's workers answer us. */
const MAX_PROBED_WORKERS = 5;

/** What the rest of the controller asks of the workers' slice. */
export class WorkerService {
  private readonly clients: WorkerClients;
  private readonly shardUpdates: ShardUpdates;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly directCommands: DirectCommands;
  private readonly leaseExpiry: LeaseExpiry;
  private readonly registration: MachineRegistration;

  constructor(
    private readonly core: Core,
    leadership: ShardLeadership,
    runtimeEstimator: RuntimeEstimator,
    dial: (address: Address) => WorkerClient,
  ) {
    this.clients = new WorkerClients(dial);
    this.shardUpdates = new ShardUpdates(core, runtimeEstimator);
    this.registration = new MachineRegistration(core, (heartbeat) => this.clients.isReachable(heartbeat));
    this.heartbeatHandler = new HeartbeatHandler(core, leadership, this.registration, this.shardUpdates);
    this.directCommands = new DirectCommands(core, this.clients, this.shardUpdates);
    this.leaseExpiry = new LeaseExpiry(core, leadership, this.shardUpdates);
  }

  /** Answers a worker's report, given as the request's body. */
  handleHeartbeat(body: Buffer): Promise<HttpResponse> {
    return this.heartbeatHandler.handle(body);
  }

  /** The view shows a machine of a part that we own, or its removal. */
  onMachineChanged(id: MachineId, record: MachineRecord | null, version: Revision): void {
    const now = this.core.clock.now();
    for (const shard of this.core.shards.values()) {
      const machine = shard.machines.get(id);
      if (record?.shard === shard.id) {
        if (machine) continue;
        // Named after our claim: commanded by nobody before, so nothing of ours is on it.
        const reconciled = version > shard.acquiredVersion;
        shard.addMachine(
          newMachine(id, record.address, record.type, record.zone, record.spot, now, reconciled),
        );
      } else if (machine) this.removeMachine(shard, machine);
    }
    if (record) return;
    this.core.imageHints.delete(id);
    this.core.retiredMachines.add(id);
  }

  /** The machine is certainly gone, and all that was on it. */
  removeMachine(shard: Shard, machine: Machine): void {
    endAgentEpoch(shard, machine, this.core);
    shard.removeMachine(machine);
    this.shardUpdates.onShardChanged(shard);
  }

  /** Does a machine report that is not registered yet, because others are before it? */
  isCandidate(id: MachineId): boolean {
    return this.registration.isCandidate(id);
  }

  /** Sends what is due on every machine of a part. */
  dispatchCommands(shard: Shard): void {
    this.directCommands.dispatch(shard);
  }

  /** To be called for every part at intervals. */
  expireLeases(shard: Shard): void {
    this.leaseExpiry.expire(shard);
  }

  /** Do workers of a part answer us at all? Asked before we take a part back. */
  async areWorkersReachable(shard: ShardId): Promise<boolean> {
    const addresses: Address[] = [];
    for (const entry of this.core.storeCache.entriesUnder(MACHINES_PREFIX)) {
      const machine = decodeMachineRecord(entry.value);
      if (machine && machine.shard === shard && machine.address !== '') addresses.push(machine.address);
    }
    if (addresses.length === 0) return true;
    const probed = addresses.slice(0, MAX_PROBED_WORKERS);
    return (await this.clients.countReachable(probed)) * 2 > probed.length;
  }

  /** Closes connections to workers whose machines are not ours any more. */
  closeUnusedClients(): void {
    const addresses = new Set<Address>();
    for (const shard of this.core.shards.values())
      for (const machine of shard.machines.values()) addresses.add(machine.address);
    this.clients.closeExcept(addresses);
  }
}
