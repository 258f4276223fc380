/** Names machines that nobody has named yet for a part: many in one conditional transaction. */
import type { Core } from '../core.js';
import { dominantShare, largestOf, ZERO } from '../model/resources.js';
import { encodeMachineRecord, machineKey, type MachineRecord } from '../shards/codec.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { MachineId, ShardId, SteadyMs } from '../model/units.js';
import { millis, NO_REVISION } from '../model/units.js';
import type { Heartbeat } from './wire.js';

/** Machines that report within this time share a transaction. */
const GATHER = millis(30);
/** Of a second's changes: one transaction must not use up what everything else needs. */
const LARGEST = 0.8;
/** Of changes: what can be named before a worker that waits for its answer gives up. */
const QUEUE_S = 2;
/** In machines of the largest type. */
const CLEARLY_AHEAD = 1.5;
const ONE_CPU = { ...ZERO, cpus: 1 };

interface Wanted {
  readonly id: MachineId;
  readonly record: MachineRecord;
  readonly resolve: (shard: ShardId | null) => void;
}

/** Without a report for this long a machine is forgotten: it may be gone, or registered by a peer. */
const CANDIDATE_AGE_MS = 30_000;
/** Names are whatever reports say: so many are kept at the most. */
const MAX_CANDIDATES = 20_000;

export class MachineRegistration {
  private readonly busy = new Set<MachineId>();
  /** Reports of machines whose turn has not come, in the order in which they came first. */
  private readonly candidates = new Map<MachineId, Heartbeat>();
  /** When a machine that nobody has registered reported last; not those that did not answer a call. */
  private readonly heard = new Map<MachineId, SteadyMs>();
  private wanted: Wanted[] = [];
  private gathering = false;

  constructor(
    private readonly core: Core,
    private readonly answers: (report: Heartbeat) => Promise<boolean>,
  ) {}

  /** The part that the machine is named for, or null when it is not: it will report again. */
  async adopt(report: Heartbeat): Promise<ShardId | null> {
    const { core } = this;
    const id = report.machine;
    // A report that a cut held back, from a machine that has been returned since: nobody is there any more.
    if (core.retiredMachines.has(id)) return null;
    this.noteHeard(id);
    if (this.busy.has(id)) return null;
    // Each is called at its address, which takes a socket: at a start 1,900 were called at once. Those whose turn
    // cannot come in time are told so, report again, and are registered meanwhile.
    if (this.busy.size >= this.most) {
      this.remember(report);
      return null;
    }
    return this.register(report);
  }

  /** It reports, answers as far as we know, and is not registered because others are before it. */
  isCandidate(id: MachineId): boolean {
    const heard = this.heard.get(id);
    return heard !== undefined && this.core.clock.now() - heard < CANDIDATE_AGE_MS;
  }

  private noteHeard(id: MachineId): void {
    if (this.heard.size >= MAX_CANDIDATES) this.forgetSilent();
    if (this.heard.size < MAX_CANDIDATES) this.heard.set(id, this.core.clock.now());
  }

  private forgetSilent(): void {
    for (const id of this.heard.keys()) if (!this.isCandidate(id)) this.heard.delete(id);
  }

  /** Each machine is one controller's to register: two that try the same waste a change of the state service. */
  private isOurs(id: MachineId): boolean {
    const { core } = this;
    const alive = core.settings.parts.filter((p) => core.isAlive(p.node, null));
    return alive[numberOf(id) % alive.length]?.node === core.settings.node;
  }

  private remember(report: Heartbeat): void {
    const { machine } = report;
    if (!this.isOurs(machine)) return;
    if (this.candidates.has(machine) || this.candidates.size >= MAX_CANDIDATES) return;
    this.candidates.set(machine, { ...report, tasks: [] });
  }

  /** Those whose turn has come, as far as they still report and nobody else has registered them. */
  private registerCandidates(): void {
    for (const [id, report] of this.candidates) {
      if (this.busy.size >= this.most) return;
      this.candidates.delete(id);
      const open =
        this.core.storeCache.version(machineKey(id)) === NO_REVISION && !this.core.retiredMachines.has(id);
      if (open && this.isCandidate(id) && !this.busy.has(id)) void this.register(report);
    }
  }

  private async register(report: Heartbeat): Promise<ShardId | null> {
    const { core } = this;
    const id = report.machine;
    this.candidates.delete(id);
    this.busy.add(id);
    try {
      if (!(await this.answers(report))) {
        this.heard.delete(id);
        return null;
      }
      const { address, type, zone, spot } = report;
      const shard = core.intendedShards.get(id) ?? choosePart(core, report);
      return await new Promise<ShardId | null>((resolve) => {
        this.wanted.push({ id, record: { shard: shard, address, type, zone, spot }, resolve });
        if (!this.gathering) void this.gather();
      });
    } finally {
      this.busy.delete(id);
      this.registerCandidates();
    }
  }

  private get most(): number {
    return Math.max(this.core.settings.txnOps, Math.ceil(this.core.store.writeRate * QUEUE_S));
  }

  private async gather(): Promise<void> {
    this.gathering = true;
    while (this.wanted.length > 0) {
      await this.core.sleep(GATHER);
      const { store: state, settings } = this.core;
      const most = Math.max(1, Math.min(settings.txnOps, Math.floor(state.writeRate * LARGEST)));
      await this.name(this.wanted.splice(0, most));
    }
    this.gathering = false;
  }

  /** Whoever of us is first: each key must not exist. Those that a peer was faster with are left out. */
  private async name(batch: readonly Wanted[]): Promise<void> {
    const { core } = this;
    const open = batch.filter((w) => core.storeCache.version(machineKey(w.id)) === NO_REVISION);
    for (const w of batch) if (!open.includes(w)) w.resolve(w.record.shard);
    if (open.length === 0) return;
    const result = await core.store.compareAndSwap(
      open.map((w) => ({ key: machineKey(w.id), version: NO_REVISION })),
      open.map((w) => ({ op: 'put', key: machineKey(w.id), value: encodeMachineRecord(w.record) }) as const),
      RequestPriority.finalState,
    );
    if (result.kind === 'conflict') {
      const failed = new Set(result.failed);
      const rest = open.filter((w) => !failed.has(machineKey(w.id)));
      for (const w of open) if (!rest.includes(w)) w.resolve(null);
      // Some key failed, so what is left is less: this ends.
      if (rest.length < open.length) return this.name(rest);
    }
    if (result.kind === 'done') {
      core.log.info({ machines: open.map((w) => w.id) }, 'machines named');
      await core.exclusive(() => {
        for (const w of open)
          core.storeCache.apply(machineKey(w.id), encodeMachineRecord(w.record), result.revision);
      });
    }
    for (const w of open) w.resolve(result.kind === 'done' ? w.record.shard : null);
  }
}

/** Machines are numbered in the order in which they were rented. */
const numberOf = (id: MachineId): number => Number(/\d+$/.exec(id)?.[0] ?? 0);

/**
 * Parts follow zones: among those whose controller sits in the machine's zone, by turns in name order, which
 * every controller counts alike while many machines are named at once, unless that part is clearly ahead.
 */
export function choosePart(core: Core, report: Pick<Heartbeat, 'zone' | 'machine'>): ShardId {
  const near = core.settings.parts.filter((p) => p.zone === report.zone);
  const pool = near.length > 0 ? near : core.settings.parts;
  // In the largest machines there are, by CPUs or GPUs, of whichever the part has more: small machines often have
  // as much memory as large ones, which says little about the work that they can take.
  const largest = core.types.size > 0 ? { ...largestOf(core.types.values()), memoryGb: 0 } : ONE_CPU;
  const sizeOf = (shard: ShardId): number =>
    dominantShare(core.registeredMachines.capacity(shard, core.types), largest);
  const sizes = new Map(pool.map((p) => [p.part, sizeOf(p.part)] as const));
  const turn = pool[numberOf(report.machine) % pool.length]?.part ?? core.settings.part;
  const least = [...sizes].sort((a, b) => a[1] - b[1] || a[0] - b[0])[0];
  return least && (sizes.get(turn) ?? 0) - least[1] > CLEARLY_AHEAD ? least[0] : turn;
}
