/**
 * Reviews the cloud's list of machines: deletes machines that have failed, and machines that no shard uses because they
 * never booted or were granted by a request whose answer arrived late. Relies on the watch cache to tell which
 * machines are in use.
 */
import type { ListedMachine } from '../cloud/wire.js';
import type { Core } from '../core.js';
import { decodeMachineRecord, machineKey } from '../shards/codec.js';
import type { MachineId, ShardId, SteadyMs } from '../model/units.js';
import { millis } from '../model/units.js';
import { withJitter } from './jitter.js';
import type { MachineDeletionService } from './machine-deletion.js';
import { bootTimeMs, type PendingMachines } from './pending-machines.js';
import { createUnlistedCheck } from './scale-in.js';

const LIST_INTERVAL_MS = 5000;
const LIST_INTERVAL_JITTER = 0.2;
/** A machine must have been unused for this long: its registration may not have reached the watch cache yet. */
const MIN_UNUSED_MS = 3000;
/** A machine that this controller requested counts as unused if it is unregistered after this many boot times. */
const PENDING_BOOT_TIMES = 4;
/** The same for any other machine, plus an extra time: another controller may have requested it. */
const FOREIGN_BOOT_TIMES = 5;
const FOREIGN_EXTRA_MS = 15_000;

/** Lists the machines of the cloud periodically and deletes the failed and unused ones. */
export class ListingReview {
  /** Listed machines that no shard uses, and since when. */
  private readonly unusedSince = new Map<MachineId, SteadyMs>();
  /** Returns whether the last list proves that the machine no longer exists. */
  isUnlisted: (id: MachineId) => boolean = () => false;

  constructor(
    private readonly core: Core,
    private readonly pendingMachines: PendingMachines,
    private readonly deletions: MachineDeletionService,
    /** Returns whether a machine sends heartbeats and waits for its registration: it then counts as used. */
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
   * Requires an up-to-date watch cache, since with an empty one every machine looks unused: a process that starts while
   * the store is down must not delete all machines.
   */
  private async review(listed: readonly ListedMachine[]): Promise<void> {
    const { core } = this;
    const now = core.clock.now();
    if (!core.mayCommand(now)) {
      this.unusedSince.clear();
      return;
    }
    this.isUnlisted = createUnlistedCheck(listed, core.settings.listLagS);
    const unusedIds: MachineId[] = [];
    for (const machine of listed) {
      const entry = core.storeCache.get(machineKey(machine.id));
      if (entry && this.handleOwnMachine(machine, entry.value)) continue;
      if (!entry && this.isUnused(machine, now)) unusedIds.push(machine.id);
    }
    this.forgetUnlisted(listed);
    this.pendingMachines.expire(now);
    if (unusedIds.length === 0) return;
    core.log.info({ machines: unusedIds }, 'scaling in unused machines');
    if (await core.cloud.scaleIn(unusedIds)) for (const id of unusedIds) this.pendingMachines.forget(id);
  }

  /** Returns whether this controller leads the shard of the machine; starts to delete the machine if it has failed. */
  private handleOwnMachine(listed: ListedMachine, record: unknown): boolean {
    const shard = this.core.shards.get(decodeMachineRecord(record)?.shard as ShardId);
    const machine = shard?.machines.get(listed.id);
    if (!shard || !machine) return false;
    if (listed.state === 'failed') this.deletions.start(shard, machine);
    return true;
  }

  /** Returns whether a machine without a record in the store can be deleted because no shard will use it. */
  private isUnused(listed: ListedMachine, now: SteadyMs): boolean {
    const { core } = this;
    return (
      !this.awaitsRegistration(listed.id) &&
      !core.retiredMachines.has(listed.id) &&
      listed.ageS * 1000 > this.maxUnregisteredMs(listed) &&
      this.unusedDurationMs(listed.id, now) > MIN_UNUSED_MS
    );
  }

  /** Returns the age up to which the machine may be unregistered, in milliseconds. */
  private maxUnregisteredMs({ id, type, state }: ListedMachine): number {
    if (state === 'failed') return 0;
    const bootMs = bootTimeMs(this.core, type);
    return this.pendingMachines.has(id)
      ? PENDING_BOOT_TIMES * bootMs
      : FOREIGN_BOOT_TIMES * bootMs + FOREIGN_EXTRA_MS;
  }

  private unusedDurationMs(id: MachineId, now: SteadyMs): number {
    const firstSeenAt = this.unusedSince.get(id) ?? now;
    this.unusedSince.set(id, firstSeenAt);
    return now - firstSeenAt;
  }

  private forgetUnlisted(listed: readonly ListedMachine[]): void {
    const listedIds = new Set(listed.map((machine) => machine.id));
    for (const id of this.unusedSince.keys()) if (!listedIds.has(id)) this.unusedSince.delete(id);
  }
}
