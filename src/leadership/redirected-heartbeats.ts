/**
 * Counts the machines whose heartbeats arrive at this controller although another controller leads their shard,
 * because that leader does not answer them. The counts are announced to peers, and show which controllers receive
 * heartbeats of a released shard. Relies on the heartbeat handler to record each such heartbeat.
 */
import type { Clock, ShardId, SteadyMs } from '../model/units.js';

/** How long a redirected heartbeat is evidence that its machine does not reach its leader. */
const REDIRECT_VALIDITY_MS = 6000;

/** Tracks the machines with recent redirected heartbeats, by shard. */
export class RedirectedHeartbeats {
  private readonly receivedAtByShard = new Map<ShardId, Map<string, SteadyMs>>();

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Records a heartbeat from a machine of a shard that another controller leads. */
  record(shard: ShardId, machine: string): void {
    const receivedAtByMachine = this.receivedAtByShard.get(shard) ?? new Map<string, SteadyMs>();
    receivedAtByMachine.set(machine, this.clock.now());
    this.receivedAtByShard.set(shard, receivedAtByMachine);
  }

  /** Returns the number of machines of the shard with a recent redirected heartbeat, and forgets the others. */
  count(shard: ShardId, now: SteadyMs): number {
    const receivedAtByMachine = this.receivedAtByShard.get(shard);
    if (!receivedAtByMachine) return 0;
    for (const [machineId, receivedAt] of receivedAtByMachine)
      if (now - receivedAt > REDIRECT_VALIDITY_MS) receivedAtByMachine.delete(machineId);
    return receivedAtByMachine.size;
  }

  /** Returns the counts of all shards whose count is not 0, for the announcement to peers. */
  counts(): Map<ShardId, number> {
    const now = this.clock.now();
    const counts = new Map<ShardId, number>();
    for (const shard of this.receivedAtByShard.keys()) {
      const count = this.count(shard, now);
      if (count > 0) counts.set(shard, count);
    }
    return counts;
  }
}
