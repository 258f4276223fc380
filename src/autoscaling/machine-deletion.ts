/**
 * Deletes machines: asks the cloud until it confirms, releases what the shard held on the machine, and drops its record
 * in the store. Only the cloud's confirmation proves that the tasks are gone, so nothing is released before it.
 */
import type { Core } from '../core.js';
import type { Machine, Shard } from '../shards/model.js';
import { machineKey } from '../shards/codec.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { MachineId } from '../model/units.js';
import { millis } from '../model/units.js';
import { withJitter } from './jitter.js';

/** Deletions within this time share a request. */
const DELETION_BATCH_WINDOW = millis(50);
/** The cloud takes no more machines in one request. */
const MAX_DELETION_BATCH = 100;
const MIN_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 5000;
const RETRY_JITTER = 0.3;
/** Attempts to drop the record: what is left of it afterwards a later leader finds and deletes. */
const MAX_DROP_ATTEMPTS = 20;
const DROP_RETRY_DELAY = millis(500);

interface DeletionBatch {
  readonly ids: MachineId[];
  /** Has the cloud confirmed? */
  readonly confirmed: Promise<boolean>;
}

/** Deletes machines of the shards that this controller leads. */
export class MachineDeletionService {
  private openBatch: DeletionBatch | null = null;

  constructor(
    private readonly core: Core,
    /** Called with exclusive access to the shards once the cloud has confirmed the deletion. */
    private readonly onMachineDeleted: (shard: Shard, machine: Machine) => void,
  ) {}

  /**
   * Starts to delete the machine, unless that has begun. A deletion that was asked for may be carried out at any later
   * time, so the machine takes no more tasks from here on, whatever the cloud answers.
   */
  start(shard: Shard, machine: Machine): void {
    if (machine.scalingIn) return;
    machine.scalingIn = true;
    // Never rejects: failures of cloud and store are outcomes, and each loop ends with the leadership of the shard.
    void this.deleteMachine(shard, machine);
  }

  private async deleteMachine(shard: Shard, machine: Machine): Promise<void> {
    const { core } = this;
    let retryDelayMs = MIN_RETRY_DELAY_MS;
    while (!(await this.requestDeletion(machine.id))) {
      await core.sleep(millis(withJitter(core, retryDelayMs, RETRY_JITTER)));
      if (core.shards.get(shard.id) !== shard) return;
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }
    await core.exclusive(() => {
      if (shard.machines.get(machine.id) === machine) this.onMachineDeleted(shard, machine);
    });
    const key = machineKey(machine.id);
    for (let attempt = 0; attempt < MAX_DROP_ATTEMPTS; attempt += 1) {
      const version = core.storeCache.version(key);
      if (version === 0 || core.shards.get(shard.id) !== shard) return;
      const result = await core.store.compareAndSwap(
        [{ key, version }, core.leaderCondition(shard)],
        [{ op: 'delete', key }],
        RequestPriority.handOver,
      );
      if (result.kind === 'done')
        return core.exclusive(() => core.storeCache.apply(key, undefined, result.revision));
      await core.sleep(DROP_RETRY_DELAY);
    }
  }

  /** Joins the open batch, or opens one: many machines are deleted at once, and calls to the cloud are limited. */
  private requestDeletion(id: MachineId): Promise<boolean> {
    if (!this.openBatch || this.openBatch.ids.length >= MAX_DELETION_BATCH) this.openBatch = this.newBatch();
    this.openBatch.ids.push(id);
    return this.openBatch.confirmed;
  }

  private newBatch(): DeletionBatch {
    const ids: MachineId[] = [];
    const confirmed = this.core.sleep(DELETION_BATCH_WINDOW).then(() => {
      if (this.openBatch?.ids === ids) this.openBatch = null;
      return this.core.cloud.scaleIn(ids);
    });
    return { ids, confirmed };
  }
}
