/**
 * Cases in which the store first refuses only the leader and then has an outage: cluster configuration, faults and
 * measurements.
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
/** The TTL of the leader's membership key is 20 s, so no failover happens before the outage. */
export const WITHOUT_FAILOVER: ClusterConfig = {
  ...OUTAGE_CLUSTER,
  tuning: OUTAGE_CLUSTER.tuning.replace('1500', '20000'),
};
export const CANCEL_MS = OUTAGE_CLUSTER.cancelS * 1000;
export const LEASE_MS = OUTAGE_CLUSTER.leaseS * 1000;
export const HEARTBEAT_INTERVAL_MS = OUTAGE_CLUSTER.heartbeatIntervalS * 1000;
/** The controller that leads the shard of all machines, because they are in its zone. */
export const LEADER = 1;
export const MACHINES = 10;
export const JOBS_PER_MACHINE = 4;
export const STEP_MS = 50;
/** The only job that is not cancelled. */
export const UNCANCELLED_JOB = 'req-bystander';
/** Step between the values of `outageAfterMs` that are tested. */
export const OUTAGE_STEP_MS = 250;
/** Time from the first request for a cancellation to the refusal of the leader. */
export const FIRST_CANCELLATION_MS = 300;
/** Below the 1.5 s that the leader waits for an answer. */
export const SLOW_ANSWER_MS = 1300;
/** How much slower the clocks of the machines and of the leader may run than the users' clock. */
export const SLOW_CLOCK_RATE = 0.9995;

export interface OutageCase {
  readonly seed: number;
  /** Milliseconds from the last confirmation, or from the failover, to the outage. */
  readonly outageAfterMs: number;
  /** Whether a peer takes over the shard between the refusal and the outage, and whether it reaches the machines. */
  readonly failover: 'none' | 'reaches the machines' | 'reaches no machine';
  /** Whether half of the machines hang around the refusal and resume within their lease or after it. */
  readonly hanging: boolean;
  /** Whether direct launches get no answer and are executed late. */
  readonly unacknowledgedLaunches: boolean;
  /**
   * The kind of request whose answers take more than a second to reach the leader: its watch, a read of changes for a
   * user's question, or a list of all entries.
   */
  readonly slowAnswers: 'none' | 'watch' | 'question' | 'list';
  /** Whether the leader's connections to its machines take almost as long as its timeout. */
  readonly slowConnections: boolean;
  readonly leaderClockRate: number;
  readonly workerClockRate: number;
}

/** The measurements of one case; times are in milliseconds. */
export interface OutageMeasurement {
  /** Time that remained of the cancellation limit when the last task of a cancelled job ended. */
  readonly remainingMs: number;
  /**
   * Time from the old leader's last answer of 200 to a heartbeat, and from its last direct command, to the command
   * deadline, which is one lease before the cancellation limit.
   */
  readonly answerSlackMs: number;
  readonly directSlackMs: number;
  readonly confirmed: number;
  /** Starts of tasks after a user was told that their job is cancelled. */
  readonly lateStarts: number;
  /** How far each machine's heartbeat interval had advanced at the refusal, in tenths. */
  readonly phases: ReadonlySet<number>;
  readonly failedOver: boolean;
}
