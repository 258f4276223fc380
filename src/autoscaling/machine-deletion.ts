/**
 * Deletes machines: repeats the request until the cloud confirms the deletion, releases the allocations of the machine,
 * and deletes its record in the store. Only the confirmation of the cloud proves that the tasks are gone, so nothing is
 * released before.
 */
import type { Core } from '../core.js';
import type { Machine, Shard } from '../shards/model.js';
import { machineKey } from '../shards/codec.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { MachineId } from '../model/units.js';
import { millis, NO_REVISION } from '../model/units.js';
import { withJitter } from './jitter.js';

/** Deletions within this time share one request. */
const DELETION_BATCH_WINDOW = millis(50);
/** The most machines that the cloud accepts in one request. */
const MAX_DELETION_BATCH = 100;
const MIN_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 5000;
const RETRY_JITTER = 0.3;

interface DeletionBatch {
  readonly ids: MachineId[];
  /** Resolves to whether the cloud has confirmed the deletion. */
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
   * Starts to delete the machine, unless its deletion has already started. A requested deletion may be carried out at
   * any later time, so from now on the machine takes no more tasks, whatever the cloud answers.
   */
  start(shard: Shard, machine: Machine): void {
    if (machine.scalingIn) return;
    machine.scalingIn = true;
    // Never rejects: failures of the cloud and the store are returned as results, and each loop ends when this
    // controller loses the shard.
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
    await this.deleteRecord(shard, machine);
  }

  /**
   * Deletes the record as long as this controller leads the shard; a later leader finds the machine in the record, and
   * deletes both again.
   *
   * Prevents: the store does not answer for some time, and the record remains: the shard appears to have more machines
   * than it has.
   */
  private async deleteRecord(shard: Shard, machine: Machine): Promise<void> {
    const { core } = this;
    const key = machineKey(machine.id);
    let retryDelayMs = MIN_RETRY_DELAY_MS;
    for (;;) {
      const version = core.storeCache.version(key);
      if (version === NO_REVISION || core.shards.get(shard.id) !== shard) return;
      const result = await core.store.compareAndSwap(
        [{ key, version }, core.leaderCondition(shard)],
        [{ op: 'delete', key }],
        RequestPriority.transfer,
      );
      if (result.kind === 'done')
        return core.exclusive(() => core.storeCache.apply(key, undefined, result.revision));
      await core.sleep(millis(retryDelayMs));
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }
  }

  /**
   * Adds the machine to the open batch: many machines are deleted at once, and requests to the cloud are rate-limited.
   */
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
