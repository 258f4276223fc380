/**
 * Reviews the cloud's list of machines: deletes those that have failed, and those that no shard uses, because they never
 * booted or were granted by a request whose answer came late. Relies on the watch cache to tell which are in use.
 */
import type { ListedMachine } from '../cloud/wire.js';
import type { Core } from '../core.js';
import { decodeMachineRecord, machineKey } from '../shards/codec.js';
import type { MachineId, ShardId, SteadyMs } from '../model/units.js';
import { millis } from '../model/units.js';
import { withJitter } from './jitter.js';
import type { MachineDeletionService } from './machine-deletion.js';
import { bootTimeMs, type PendingMachines } from './pending-machines.js';
import { unlistedCheck } from './scale-in.js';

const LIST_INTERVAL_MS = 5000;
const LIST_INTERVAL_JITTER = 0.2;
/** A machine must have been seen unused for this long: its registration may be on the way to the watch cache. */
const MIN_UNUSED_MS = 3000;
/** An unregistered machine counts as unused after so many times its boot time, if this controller requested it. */
const PENDING_BOOT_TIMES = 4;
/** The same for any other machine, and some time more: another controller may have requested it. */
const FOREIGN_BOOT_TIMES = 5;
const FOREIGN_EXTRA_MS = 15_000;

/** Lists the machines periodically and deletes what nobody uses. */
export class ListingReview {
  /** Machines that no shard used when they were listed, and since when. */
  private readonly unusedSince = new Map<MachineId, SteadyMs>();
  /** Does the last list prove that the cloud has the machine no more? */
  isUnlisted: (id: MachineId) => boolean = () => false;

  constructor(
    private readonly core: Core,
    private readonly pendingMachines: PendingMachines,
    private readonly deletions: MachineDeletionService,
    /** The machine sends heartbeats and its registration is queued: it is not unused. */
    private readonly awaitsRegistration: (id: MachineId) => boolean,
  ) {}

  /** Runs for the lifetime of the process. */
  async run(): Promise<never> {
    for (;;) {
      await this.core.sleep(millis(withJitter(this.core, LIST_INTERVAL_MS, LIST_INTERVAL_JITTER)));
      const listed = await this.core.cloud.listMachines();
      if (listed) await this.review(listed);
    }
  }

  /**
   * Needs a current watch cache, since without one every machine looks unused: a process that starts while the store
   * is down must not delete the whole fleet.
   */
  private async review(listed: readonly ListedMachine[]): Promise<void> {
    const { core } = this;
    const now = core.clock.now();
    if (!core.mayCommand(now)) {
      this.unusedSince.clear();
      return;
    }
    this.isUnlisted = unlistedCheck(listed, core.settings.listLagS);
    const unusedIds: MachineId[] = [];
    for (const machine of listed) {
      const entry = core.storeCache.get(machineKey(machine.id));
      if (entry && this.isOnOwnShard(machine, entry.value)) continue;
      if (!entry && this.isUnused(machine, now)) unusedIds.push(machine.id);
    }
    this.forgetUnlisted(listed);
    this.pendingMachines.expire(now);
    if (unusedIds.length === 0) return;
    core.log.info({ machines: unusedIds }, 'scaling in unused machines');
    if (await core.cloud.scaleIn(unusedIds)) for (const id of unusedIds) this.pendingMachines.forget(id);
  }

  /** Is the machine on a shard that this controller leads? Then it is deleted if it has failed. */
  private isOnOwnShard(listed: ListedMachine, record: unknown): boolean {
    const shard = this.core.shards.get(decodeMachineRecord(record)?.shard as ShardId);
    const machine = shard?.machines.get(listed.id);
    if (!shard || !machine) return false;
    if (listed.state === 'failed') this.deletions.start(shard, machine);
    return true;
  }

  /** Is the machine, which no record names, one that nobody will use? */
  private isUnused(listed: ListedMachine, now: SteadyMs): boolean {
    const { core } = this;
    return (
      !this.awaitsRegistration(listed.id) &&
      !core.retiredMachines.has(listed.id) &&
      listed.ageS * 1000 > this.maxUnregisteredMs(listed) &&
      this.unusedForMs(listed.id, now) > MIN_UNUSED_MS
    );
  }

  /** How old the machine may be without being registered. */
  private maxUnregisteredMs({ id, type, state }: ListedMachine): number {
    if (state === 'failed') return 0;
    const bootMs = bootTimeMs(this.core, type);
    return this.pendingMachines.has(id)
      ? PENDING_BOOT_TIMES * bootMs
      : FOREIGN_BOOT_TIMES * bootMs + FOREIGN_EXTRA_MS;
  }

  private unusedForMs(id: MachineId, now: SteadyMs): number {
    const firstSeen = this.unusedSince.get(id) ?? now;
    this.unusedSince.set(id, firstSeen);
    return now - firstSeen;
  }

  private forgetUnlisted(listed: readonly ListedMachine[]): void {
    const listedIds = new Set(listed.map((machine) => machine.id));
    for (const id of this.unusedSince.keys()) if (!listedIds.has(id)) this.unusedSince.delete(id);
  }
}
