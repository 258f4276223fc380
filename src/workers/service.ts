/** The workers of the pools owned here: their reports, the orders sent to them, and their machines' coming and going. */
import type { Core } from '../core.js';
import type { Answer } from '../http/server.js';
import type { Machine, Shard } from '../shards/model.js';
import { newMachine } from '../shards/model.js';
import type { ShardLeadership } from '../leadership/leadership.js';
import { decodeMachineRecord, MACHINES_PREFIX, type MachineRecord } from '../shards/codec.js';
import type { RuntimeEstimator } from '../placement/runtimes.js';
import type { Address, MachineId, ShardId, Revision } from '../model/units.js';
import { WorkerClients, type WorkerLink } from './clients.js';
import { DirectCommands } from './direct-orders.js';
import { LeaseExpiry } from './lease-expiry.js';
import { MachineRegistration } from './registration.js';
import { PoolUpdates } from './pool-updates.js';
import { HeartbeatHandler } from './heartbeat-handler.js';
import { endSession } from './reconciliation.js';

/** Retired machines that are remembered, the latest ones: at least so many, and as many as are registered. */
const MIN_RETIRED = 5000;
/** Workers asked whether a part's workers answer us. */
const WORKERS_ASKED = 5;

/** What the rest of the controller asks of the workers' slice. */
export class WorkerService {
  private readonly clients: WorkerClients;
  private readonly updates: PoolUpdates;
  private readonly reports: HeartbeatHandler;
  private readonly directOrders: DirectCommands;
  private readonly leases: LeaseExpiry;
  private readonly naming: MachineRegistration;

  constructor(
    private readonly core: Core,
    ownership: ShardLeadership,
    runTimes: RuntimeEstimator,
    dial: (address: Address) => WorkerLink,
  ) {
    this.clients = new WorkerClients(dial);
    this.updates = new PoolUpdates(core, runTimes);
    this.naming = new MachineRegistration(core, (report) => this.clients.isReached(report));
    this.reports = new HeartbeatHandler(core, ownership, this.naming, this.updates);
    this.directOrders = new DirectCommands(core, this.clients, this.updates);
    this.leases = new LeaseExpiry(core, ownership, this.updates);
  }

  /** Answers a worker's report, given as the request's body. */
  report(body: Buffer): Promise<Answer> {
    return this.reports.handle(body);
  }

  /** The view shows a machine of a part that we own, or its removal. */
  onMachine(id: MachineId, record: MachineRecord | null, version: Revision): void {
    const now = this.core.clock.now();
    for (const shard of this.core.shards.values()) {
      const present = shard.machines.get(id);
      if (record?.shard === shard.id) {
        if (present) continue;
        // Named after our claim: commanded by nobody before, so nothing of ours is on it.
        const settled = version > shard.acquiredVersion;
        shard.addMachine(newMachine(id, record.address, record.type, record.zone, record.spot, now, settled));
      } else if (present) this.remove(shard, present);
    }
    if (record) return;
    this.core.imageHints.delete(id);
    this.core.retiredMachines.add(id);
    if (this.core.retiredMachines.size > Math.max(MIN_RETIRED, this.core.registeredMachines.size))
      this.core.retiredMachines.delete(this.core.retiredMachines.keys().next().value as MachineId);
  }

  /** The machine is certainly gone, and all that was on it. */
  remove(shard: Shard, machine: Machine): void {
    endSession(shard, machine, this.core);
    shard.removeMachine(machine);
    this.updates.changed(shard);
  }

  /** Does a machine report that is not registered yet, because others are before it? */
  isCandidate(id: MachineId): boolean {
    return this.naming.isCandidate(id);
  }

  /** Sends what is due on every machine of a part. */
  dispatch(shard: Shard): void {
    this.directOrders.dispatch(shard);
  }

  /** To be called for every part at intervals. */
  expireLeases(shard: Shard): void {
    this.leases.expire(shard);
  }

  /** Do workers of a part answer us at all? Asked before we take a part back. */
  async workersAnswer(shard: ShardId): Promise<boolean> {
    const addresses: Address[] = [];
    for (const entry of this.core.storeCache.entriesUnder(MACHINES_PREFIX)) {
      const machine = decodeMachineRecord(entry.value);
      if (machine && machine.shard === shard && machine.address !== '') addresses.push(machine.address);
    }
    if (addresses.length === 0) return true;
    const asked = addresses.slice(0, WORKERS_ASKED);
    return (await this.clients.countAnswers(asked)) * 2 > asked.length;
  }

  /** Closes connections to workers whose machines are not ours any more. */
  closeUnusedClients(): void {
    const wanted = new Set<Address>();
    for (const shard of this.core.shards.values())
      for (const machine of shard.machines.values()) wanted.add(machine.address);
    this.clients.closeExcept(wanted);
  }
}
