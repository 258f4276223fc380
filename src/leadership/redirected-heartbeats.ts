/**
 * Counts the machines whose heartbeats come to this controller although another one leads their shard: their leader does
 * not answer them. The counts are announced to peers, and tell who reaches the workers of a shard that was released.
 * Relies on the heartbeat handler to record each such heartbeat.
 */
import type { Clock, ShardId, SteadyMs } from '../model/units.js';

/** How long a redirected heartbeat shows that its machine does not reach its leader (milliseconds). */
const VALIDITY_MS = 6000;

/** Machines with recent redirected heartbeats, by shard. */
export class RedirectedHeartbeats {
  private readonly receivedAtByShard = new Map<ShardId, Map<string, SteadyMs>>();

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** A heartbeat of a machine of the shard, which another controller leads, has arrived. */
  record(shard: ShardId, machine: string): void {
    const receivedAtByMachine = this.receivedAtByShard.get(shard) ?? new Map<string, SteadyMs>();
    receivedAtByMachine.set(machine, this.clock.now());
    this.receivedAtByShard.set(shard, receivedAtByMachine);
  }

  /** The number of machines of the shard that were heard recently; forgets the others. */
  count(shard: ShardId, now: SteadyMs): number {
    const receivedAtByMachine = this.receivedAtByShard.get(shard);
    if (!receivedAtByMachine) return 0;
    for (const [machineId, receivedAt] of receivedAtByMachine)
      if (now - receivedAt > VALIDITY_MS) receivedAtByMachine.delete(machineId);
    return receivedAtByMachine.size;
  }

  /** The counts of all shards that have any, for the announcement to peers. */
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
