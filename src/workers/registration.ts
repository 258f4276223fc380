/** Names machines that nobody has named yet for a part: many in one conditional transaction. */
import type { Core } from '../core.js';
import { dominantShare, largestOf, ZERO } from '../model/resources.js';
import { encodeMachineRecord, machineKey, type MachineRecord } from '../shards/codec.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { MachineId, ShardId, SteadyMs } from '../model/units.js';
import { millis, NO_REVISION } from '../model/units.js';
import type { Heartbeat } from './wire.js';

/** Machines that report within this time share a transaction. */
const BATCH_DELAY = millis(30);
/** Of a second's changes: one transaction must not use up what everything else needs. */
const MAX_BATCH_FRACTION = 0.8;
/** Of changes: what can be named before a worker that waits for its answer gives up. */
const MAX_QUEUE_S = 2;
/** In machines of the largest type. */
const MAX_IMBALANCE = 1.5;
const ONE_CPU = { ...ZERO, cpus: 1 };

interface PendingRegistration {
  readonly id: MachineId;
  readonly record: MachineRecord;
  readonly resolve: (shard: ShardId | null) => void;
}

/** Without a report for this long a machine is forgotten: it may be gone, or registered by a peer. */
const CANDIDATE_AGE_MS = 30_000;
/** Names are whatever reports say: so many are kept at the most. */
const MAX_CANDIDATES = 20_000;

export class MachineRegistration {
  private readonly registering = new Set<MachineId>();
  /** Reports of machines whose turn has not come, in the order in which they came first. */
  private readonly candidates = new Map<MachineId, Heartbeat>();
  /** When a machine that nobody has registered reported last; not those that did not answer a call. */
  private readonly lastHeardAt = new Map<MachineId, SteadyMs>();
  private pendingRegistrations: PendingRegistration[] = [];
  private flushing = false;

  constructor(
    private readonly core: Core,
    private readonly isReachable: (heartbeat: Heartbeat) => Promise<boolean>,
  ) {}

  /** The part that the machine is named for, or null when it is not: it will report again. */
  async registerOnHeartbeat(heartbeat: Heartbeat): Promise<ShardId | null> {
    const { core } = this;
    const id = heartbeat.machine;
    // A report that a cut held back, from a machine that has been returned since: nobody is there any more.
    if (core.retiredMachines.has(id)) return null;
    this.recordHeard(id);
    if (this.registering.has(id)) return null;
    // Each is called at its address, which takes a socket: at a start 1,900 were called at once. Those whose turn
    // cannot come in time are told so, report again, and are registered meanwhile.
    if (this.registering.size >= this.maxPendingRegistrations) {
      this.addCandidate(heartbeat);
      return null;
    }
    return this.register(heartbeat);
  }

  /** It reports, answers as far as we know, and is not registered because others are before it. */
  isCandidate(id: MachineId): boolean {
    const heard = this.lastHeardAt.get(id);
    return heard !== undefined && this.core.clock.now() - heard < CANDIDATE_AGE_MS;
  }

  private recordHeard(id: MachineId): void {
    if (this.lastHeardAt.size >= MAX_CANDIDATES) this.dropSilentCandidates();
    if (this.lastHeardAt.size < MAX_CANDIDATES) this.lastHeardAt.set(id, this.core.clock.now());
  }

  private dropSilentCandidates(): void {
    for (const id of this.lastHeardAt.keys()) if (!this.isCandidate(id)) this.lastHeardAt.delete(id);
  }

  /** Each machine is one controller's to register: two that try the same waste a change of the state service. */
  private isAssignedToUs(id: MachineId): boolean {
    const { core } = this;
    const alive = core.settings.shards.filter((shardSettings) => core.isAlive(shardSettings.node, null));
    return alive[machineNumber(id) % alive.length]?.node === core.settings.node;
  }

  private addCandidate(heartbeat: Heartbeat): void {
    const { machine } = heartbeat;
    if (!this.isAssignedToUs(machine)) return;
    if (this.candidates.has(machine) || this.candidates.size >= MAX_CANDIDATES) return;
    this.candidates.set(machine, { ...heartbeat, tasks: [] });
  }

  /** Those whose turn has come, as far as they still report and nobody else has registered them. */
  private registerCandidates(): void {
    for (const [id, heartbeat] of this.candidates) {
      if (this.registering.size >= this.maxPendingRegistrations) return;
      this.candidates.delete(id);
      const unregistered =
        this.core.storeCache.version(machineKey(id)) === NO_REVISION && !this.core.retiredMachines.has(id);
      if (unregistered && this.isCandidate(id) && !this.registering.has(id)) void this.register(heartbeat);
    }
  }

  private async register(heartbeat: Heartbeat): Promise<ShardId | null> {
    const { core } = this;
    const id = heartbeat.machine;
    this.candidates.delete(id);
    this.registering.add(id);
    try {
      if (!(await this.isReachable(heartbeat))) {
        this.lastHeardAt.delete(id);
        return null;
      }
      const { address, type, zone, spot } = heartbeat;
      const shard = core.intendedShards.get(id) ?? chooseShard(core, heartbeat);
      return await new Promise<ShardId | null>((resolve) => {
        this.pendingRegistrations.push({ id, record: { shard, address, type, zone, spot }, resolve });
        if (!this.flushing) void this.flushRegistrations();
      });
    } finally {
      this.registering.delete(id);
      this.registerCandidates();
    }
  }

  private get maxPendingRegistrations(): number {
    return Math.max(this.core.settings.maxTransactionOps, Math.ceil(this.core.store.writeRate * MAX_QUEUE_S));
  }

  private async flushRegistrations(): Promise<void> {
    this.flushing = true;
    while (this.pendingRegistrations.length > 0) {
      await this.core.sleep(BATCH_DELAY);
      const { store: state, settings } = this.core;
      const batchSize = Math.max(
        1,
        Math.min(settings.maxTransactionOps, Math.floor(state.writeRate * MAX_BATCH_FRACTION)),
      );
      await this.commitBatch(this.pendingRegistrations.splice(0, batchSize));
    }
    this.flushing = false;
  }

  /** Whoever of us is first: each key must not exist. Those that a peer was faster with are left out. */
  private async commitBatch(batch: readonly PendingRegistration[]): Promise<void> {
    const { core } = this;
    const unregistered = batch.filter(
      (pending) => core.storeCache.version(machineKey(pending.id)) === NO_REVISION,
    );
    for (const pending of batch) if (!unregistered.includes(pending)) pending.resolve(pending.record.shard);
    if (unregistered.length === 0) return;
    const result = await core.store.compareAndSwap(
      unregistered.map((pending) => ({ key: machineKey(pending.id), version: NO_REVISION })),
      unregistered.map(
        (pending) =>
          ({ op: 'put', key: machineKey(pending.id), value: encodeMachineRecord(pending.record) }) as const,
      ),
      RequestPriority.finalState,
    );
    if (result.kind === 'conflict') {
      const failed = new Set(result.failed);
      const remaining = unregistered.filter((pending) => !failed.has(machineKey(pending.id)));
      for (const pending of unregistered) if (!remaining.includes(pending)) pending.resolve(null);
      // Some key failed, so what is left is less: this ends.
      if (remaining.length < unregistered.length) return this.commitBatch(remaining);
    }
    if (result.kind === 'done') {
      core.log.info({ machines: unregistered.map((pending) => pending.id) }, 'machines named');
      await core.exclusive(() => {
        for (const pending of unregistered)
          core.storeCache.apply(machineKey(pending.id), encodeMachineRecord(pending.record), result.revision);
      });
    }
    for (const pending of unregistered) pending.resolve(result.kind === 'done' ? pending.record.shard : null);
  }
}

/** Machines are numbered in the order in which they were rented. */
const machineNumber = (id: MachineId): number => Number(/\d+$/.exec(id)?.[0] ?? 0);

/**
 * Parts follow zones: among those whose controller sits in the machine's zone, by turns in name order, which
 * every controller counts alike while many machines are named at once, unless that part is clearly ahead.
 */
export function chooseShard(core: Core, heartbeat: Pick<Heartbeat, 'zone' | 'machine'>): ShardId {
  const inZone = core.settings.shards.filter((shardSettings) => shardSettings.zone === heartbeat.zone);
  const candidates = inZone.length > 0 ? inZone : core.settings.shards;
  // In the largest machines there are, by CPUs or GPUs, of whichever the part has more: small machines often have
  // as much memory as large ones, which says little about the work that they can take.
  const largest = core.types.size > 0 ? { ...largestOf(core.types.values()), memoryGb: 0 } : ONE_CPU;
  const sizeOf = (shard: ShardId): number =>
    dominantShare(core.registeredMachines.capacity(shard, core.types), largest);
  const sizes = new Map(
    candidates.map((shardSettings) => [shardSettings.shard, sizeOf(shardSettings.shard)] as const),
  );
  const nextInTurn =
    candidates[machineNumber(heartbeat.machine) % candidates.length]?.shard ?? core.settings.shard;
  const smallest = [...sizes].sort((a, b) => a[1] - b[1] || a[0] - b[0])[0];
  return smallest && (sizes.get(nextInTurn) ?? 0) - smallest[1] > MAX_IMBALANCE ? smallest[0] : nextInTurn;
}
