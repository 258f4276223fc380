/**
 * Registers machines that send heartbeats and are in nobody's shard yet: decides which are registered, by whom and when.
 * Relies on `shard-choice.ts` for the shard and on `registration-batches.ts` for the write. Bounded: machines that must
 * wait for their turn are remembered as candidates.
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

/** Seconds of changes that may wait: what can be registered before a worker that waits for its answer gives up. */
const MAX_QUEUE_S = 2;
/** Without a heartbeat for this long a machine is forgotten: it may have gone, or a peer may have registered it. */
const CANDIDATE_AGE_MS = 30_000;
/** Ids are whatever heartbeats say: so many are kept at the most. */
const MAX_CANDIDATES = 20_000;

/** What registration uses of the controller. */
export interface RegistrationDependencies extends RegistrationBatchesDependencies, ShardChoiceDependencies {
  readonly clock: Clock;
  readonly settings: Pick<Settings, 'maxTransactionOps' | 'node' | 'shard' | 'shards'>;
  readonly store: Pick<KeyValueClient, 'compareAndSwap' | 'writeRate'>;
  readonly storeCache: Pick<StoreCache, 'version' | 'apply'>;
  readonly retiredMachines: Pick<ReadonlySet<MachineId>, 'has'>;
  readonly intendedShards: ReadonlyMap<MachineId, ShardId>;
  isAlive(node: ControllerId, incarnation: Incarnation | null): boolean;
}

/** Decides about machines that nobody has registered, as their heartbeats come. */
export class MachineRegistration {
  private readonly batches: RegistrationBatches;
  private readonly registering = new Set<MachineId>();
  /** Heartbeats of machines whose turn has not come, in the order in which they came first. */
  private readonly candidates = new Map<MachineId, Heartbeat>();
  /** When an unregistered machine was heard last; without those that did not reply to a call. */
  private readonly lastHeardAt = new Map<MachineId, SteadyMs>();

  constructor(
    private readonly controller: RegistrationDependencies,
    private readonly isReachable: (heartbeat: Heartbeat) => Promise<boolean>,
  ) {
    this.batches = new RegistrationBatches(controller);
  }

  /** Resolves to the shard in which the machine is registered, or to null when it is not: it will send another. */
  async registerOnHeartbeat(heartbeat: Heartbeat): Promise<ShardId | null> {
    const id = heartbeat.machine;
    // Prevents: a network fault holds a heartbeat back until its machine has been deleted, and the machine comes back as
    // one that takes tasks.
    if (this.controller.retiredMachines.has(id)) return null;
    this.recordHeard(id);
    if (this.registering.has(id)) return null;
    // Each registration calls the machine, which takes a socket: thousands may come at once. Those whose turn cannot
    // come in time are answered at once, send further heartbeats, and are registered meanwhile.
    if (this.registering.size >= this.maxPendingRegistrations) {
      this.addCandidate(heartbeat);
      return null;
    }
    return this.register(heartbeat);
  }

  /** Whether a machine sends heartbeats, replies as far as is known, and waits for its turn to be registered. */
  isCandidate(id: MachineId): boolean {
    const heardAt = this.lastHeardAt.get(id);
    return heardAt !== undefined && elapsed(this.controller.clock.now(), heardAt) < CANDIDATE_AGE_MS;
  }

  private recordHeard(id: MachineId): void {
    if (this.lastHeardAt.size >= MAX_CANDIDATES) this.dropSilentCandidates();
    if (this.lastHeardAt.size < MAX_CANDIDATES) this.lastHeardAt.set(id, this.controller.clock.now());
  }

  private dropSilentCandidates(): void {
    for (const id of this.lastHeardAt.keys()) if (!this.isCandidate(id)) this.lastHeardAt.delete(id);
  }

  /** Each machine is one controller's to register: two that try the same waste a change of the store. */
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

  /** Those whose turn has come, as far as they still send heartbeats and nobody else has registered them. */
  private registerCandidates(): void {
    for (const [id, heartbeat] of this.candidates) {
      if (this.registering.size >= this.maxPendingRegistrations) return;
      this.candidates.delete(id);
      // Not awaited: nobody waits for the answer, and the machine's next heartbeat finds the outcome.
      if (this.isStillWanted(id)) void this.register(heartbeat);
    }
  }

  private isStillWanted(id: MachineId): boolean {
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
        this.lastHeardAt.delete(id);
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
