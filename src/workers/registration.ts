/**
 * Registers machines that send heartbeats and belong to no shard yet: decides which machines are registered, by which
 * controller and when. `shard-choice.ts` chooses the shard and `registration-batches.ts` writes the records. The number
 * of registrations in progress is limited; other machines are kept as candidates.
 */
import { machineKey } from '../shards/codec.js';
import type { Settings } from '../settings/settings.js';
import type { StoreCache } from '../store/cache.js';
import type { KeyValueClient } from '../store/client.js';
import type { Clock, ControllerId, Incarnation, MachineId, ShardId, SteadyMs } from '../model/units.js';
import { elapsed, NO_REVISION } from '../model/units.js';
import { RegistrationBatches, type RegistrationBatchesDependencies } from './registration-batches.js';
import { chooseShard, machineNumber, type ShardChoiceDependencies } from './shard-choice.js';
import type { Heartbeat } from './wire.js';

/** Limits the registrations in progress to what can be written in this time; with more, workers would time out. */
const MAX_QUEUE_S = 2;
/** Candidates silent for this long are dropped: they were deleted, or another controller has registered them. */
const CANDIDATE_AGE_MS = 30_000;
/** Bounds memory use: machine ids in heartbeats are not verified. */
const MAX_CANDIDATES = 20_000;

/** The parts of the controller that registration uses. */
export interface RegistrationDependencies extends RegistrationBatchesDependencies, ShardChoiceDependencies {
  readonly clock: Clock;
  readonly settings: Pick<Settings, 'maxTransactionOps' | 'node' | 'shard' | 'shards'>;
  readonly store: Pick<KeyValueClient, 'compareAndSwap' | 'writeRate'>;
  readonly storeCache: Pick<StoreCache, 'version' | 'apply'>;
  readonly retiredMachines: Pick<ReadonlySet<MachineId>, 'has'>;
  readonly intendedShards: ReadonlyMap<MachineId, ShardId>;
  isAlive(node: ControllerId, incarnation: Incarnation | null): boolean;
}

/** Registers unregistered machines as their heartbeats arrive. */
export class MachineRegistration {
  private readonly batches: RegistrationBatches;
  private readonly registering = new Set<MachineId>();
  /** The first heartbeats of machines that wait to be registered, in order of arrival. */
  private readonly candidates = new Map<MachineId, Heartbeat>();
  /** Time of the last heartbeat of each unregistered machine, except those that did not reply to a call. */
  private readonly lastHeartbeatAt = new Map<MachineId, SteadyMs>();

  constructor(
    private readonly controller: RegistrationDependencies,
    private readonly isReachable: (heartbeat: Heartbeat) => Promise<boolean>,
  ) {
    this.batches = new RegistrationBatches(controller);
  }

  /** Resolves to the machine's shard, or to null if it was not registered; it is tried again on its next heartbeat. */
  async registerOnHeartbeat(heartbeat: Heartbeat): Promise<ShardId | null> {
    const id = heartbeat.machine;
    // Prevents: a network fault delays a heartbeat until its machine has been deleted, and the deleted machine is
    // registered again and has tasks placed on it.
    if (this.controller.retiredMachines.has(id)) return null;
    this.recordHeartbeat(id);
    if (this.registering.has(id)) return null;
    // Each registration calls the machine, which takes a socket, and thousands of machines may arrive at once. Machines
    // that cannot be registered in time are refused at once; they keep sending heartbeats and are registered later.
    if (this.registering.size >= this.maxPendingRegistrations) {
      this.addCandidate(heartbeat);
      return null;
    }
    return this.register(heartbeat);
  }

  /** Returns whether a machine sends heartbeats, is not known to be unreachable, and waits to be registered. */
  isCandidate(id: MachineId): boolean {
    const heartbeatAt = this.lastHeartbeatAt.get(id);
    return heartbeatAt !== undefined && elapsed(this.controller.clock.now(), heartbeatAt) < CANDIDATE_AGE_MS;
  }

  private recordHeartbeat(id: MachineId): void {
    if (this.lastHeartbeatAt.size >= MAX_CANDIDATES) this.dropSilentCandidates();
    if (this.lastHeartbeatAt.size < MAX_CANDIDATES) this.lastHeartbeatAt.set(id, this.controller.clock.now());
  }

  private dropSilentCandidates(): void {
    for (const id of this.lastHeartbeatAt.keys()) if (!this.isCandidate(id)) this.lastHeartbeatAt.delete(id);
  }

  /**
   * Returns whether this is the one live controller that keeps the machine as a candidate: a second controller's
   * attempt to register it would waste a write to the store.
   */
  private isAssignedHere(id: MachineId): boolean {
    const { settings } = this.controller;
    const alive = settings.shards.filter(({ node }) => this.controller.isAlive(node, null));
    return alive[machineNumber(id) % alive.length]?.node === settings.node;
  }

  private addCandidate(heartbeat: Heartbeat): void {
    const { machine } = heartbeat;
    if (!this.isAssignedHere(machine)) return;
    if (this.candidates.has(machine) || this.candidates.size >= MAX_CANDIDATES) return;
    this.candidates.set(machine, { ...heartbeat, tasks: [] });
  }

  /** Registers candidates up to the limit, skipping silent machines and those registered by another controller. */
  private registerCandidates(): void {
    for (const [id, heartbeat] of this.candidates) {
      if (this.registering.size >= this.maxPendingRegistrations) return;
      this.candidates.delete(id);
      // Not awaited: no heartbeat waits for the result. The machine's next heartbeat finds it registered, or retries.
      if (this.shouldRegister(id)) void this.register(heartbeat);
    }
  }

  private shouldRegister(id: MachineId): boolean {
    const isUnregistered =
      this.controller.storeCache.version(machineKey(id)) === NO_REVISION &&
      !this.controller.retiredMachines.has(id);
    return isUnregistered && this.isCandidate(id) && !this.registering.has(id);
  }

  private async register(heartbeat: Heartbeat): Promise<ShardId | null> {
    const { machine: id, address, type, zone, spot } = heartbeat;
    this.candidates.delete(id);
    this.registering.add(id);
    try {
      if (!(await this.isReachable(heartbeat))) {
        this.lastHeartbeatAt.delete(id);
        return null;
      }
      const shard = this.controller.intendedShards.get(id) ?? chooseShard(this.controller, heartbeat);
      return await this.batches.add(id, { shard, address, type, zone, spot });
    } finally {
      this.registering.delete(id);
      this.registerCandidates();
    }
  }

  private get maxPendingRegistrations(): number {
    const { settings, store } = this.controller;
    return Math.max(settings.maxTransactionOps, Math.ceil(store.writeRate * MAX_QUEUE_S));
  }
}
