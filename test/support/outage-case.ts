/**
 * The cases of an outage of the store that follows a refusal of the leader alone: cluster, faults and measurements.
 */
import { SMALL_CLUSTER, type ClusterConfig } from './simulated-cluster.js';

export const OUTAGE_CLUSTER: ClusterConfig = {
  ...SMALL_CLUSTER,
  teams: [{ name: 'red', cpus: 400, cpusMax: 400 }],
  heartbeatIntervalS: 1,
  leaseS: 4,
  cancelS: 10,
  storeLimits: { rps: 5000, writeRps: 1500, valueKb: 64, txnOps: 64, enforced: false },
  exactLeases: true,
  recordHeartbeats: false,
  tuning: 'fleet.idle.return.ms = 3600000\nparts.alive.ttl.ms = 1500',
};
/** No failover before the outage: the leader's membership key stands for so long. */
export const WITHOUT_FAILOVER: ClusterConfig = {
  ...OUTAGE_CLUSTER,
  tuning: OUTAGE_CLUSTER.tuning.replace('1500', '20000'),
};
export const CANCEL_MS = OUTAGE_CLUSTER.cancelS * 1000;
export const LEASE_MS = OUTAGE_CLUSTER.leaseS * 1000;
export const HEARTBEAT_INTERVAL_MS = OUTAGE_CLUSTER.heartbeatIntervalS * 1000;
/** All machines are in the zone of this controller, so they belong to its shard. */
export const LEADER = 1;
export const MACHINES = 10;
export const JOBS_PER_MACHINE = 4;
export const STEP_MS = 50;
/** The one job that nobody cancels. */
export const UNCANCELLED_JOB = 'req-bystander';
export const OUTAGE_STEP_MS = 250;
/** How long before the refusal the first cancellation is requested. */
export const FIRST_CANCELLATION_MS = 300;
/** The leader waits 1.5 s for an answer. */
export const SLOW_ANSWER_MS = 1300;
/** The machines' own clocks and the leader's may be this much slower than the users'. */
export const SLOW_CLOCK_RATE = 0.9995;

export interface OutageCase {
  readonly seed: number;
  /** Milliseconds from the last confirmation, or from the failover, to the outage. */
  readonly outageAfterMs: number;
  /** A peer takes over between the refusal and the outage, and reaches the machines or not. */
  readonly failover: 'none' | 'reaches the machines' | 'reaches no machine';
  /** Half of the machines hang around the refusal, and go on within their lease or after it. */
  readonly hanging: boolean;
  /** Direct launches get no answer and are carried out late. */
  readonly unacknowledgedLaunches: boolean;
  /**
   * An answer is more than a second on its way to the leader: to its watch, to a read of changes for a user's question,
   * or to a list of everything.
   */
  readonly slowAnswers: 'none' | 'watch' | 'question' | 'list';
  /** Connections from the leader to its machines take almost as long as it waits for them. */
  readonly slowConnections: boolean;
  readonly leaderClockRate: number;
  readonly workerClockRate: number;
}

/** What is measured in one case, in milliseconds. */
export interface OutageMeasurement {
  /** Left of the cancel time when the last task of a cancelled job was gone. */
  readonly remainingMs: number;
  /** From the old leader's last 200, and from its last direct command, to the latest moment that the lease allows. */
  readonly answerSlackMs: number;
  readonly directSlackMs: number;
  readonly confirmed: number;
  readonly lateStarts: number;
  /** Phases of the machines' heartbeat intervals at the refusal, in tenths. */
  readonly phases: ReadonlySet<number>;
  readonly failedOver: boolean;
}
