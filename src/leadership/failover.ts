/**
 * The failover decision: given what one controller knows of one shard, does it try to become the shard's leader? Pure,
 * and only about when to try. Safety does not rest on it: leadership is acquired by a compare-and-swap on the fencing
 * token and the shard's record, so of several controllers that decide alike at most one succeeds. What the decision
 * prevents is leadership that moves without need, or to a controller that cannot reach the shard's workers.
 */
import type { ControllerId, Incarnation, SteadyMs } from '../model/units.js';

/** What a controller knows of one shard when it decides. */
export interface FailoverFacts {
  readonly now: SteadyMs;
  readonly self: ControllerId;
  /** Of this controller's process. */
  readonly incarnation: Incarnation;
  /** The controller that the settings assign the shard to. */
  readonly homeController: ControllerId;
  /** The leader in the shard's record; null: released, or the record cannot be read; undefined: there is no record. */
  readonly leader: ControllerId | null | undefined;
  readonly leaderIncarnation: Incarnation | null;
  /** The leader's membership key exists, and is that of the incarnation that leads. */
  readonly leaderAlive: boolean;
  /** The home controller's membership key exists, of whichever incarnation. */
  readonly homeControllerAlive: boolean;
  /** This process has led its home shard before: it lost or released it. */
  readonly ledHomeShardBefore: boolean;
  /** Since when this controller has held its membership lease; null: its lease or its store cache may be out of date. */
  readonly membershipStableSince: SteadyMs | null;
  /** Machines of the shard whose recent heartbeats came here, because the leader does not answer them. */
  readonly redirectedHeartbeats: number;
  /** This controller released the shard, and nobody has led it since. */
  readonly releasedBySelf: boolean;
  /** Workers of the home shard have answered a probe recently. */
  readonly workersReachable: boolean;
  /** For how long leader and home controller have been as they are, less this controller's delay (milliseconds). */
  readonly situationAgeMs: number;
}

/** `claim`: acquire leadership; `probe`: ask the shard's workers first whether they answer; `wait`: do nothing now. */
export type FailoverDecision = 'claim' | 'probe' | 'wait';

/** How long a membership, or a released shard whose workers are not heard, stays as it is before it is acted on. */
const STABLE_MS = 3000;
/** How long the home controller of a shard that was never led may take to start. */
const NEVER_LED_DELAY_MS = 6000;
/** How long a restarted leader may take to acquire its home shard anew. */
const RESTART_GRACE_MS = 4000;
/** How long a released shard is left to its home controller while that is alive. */
const HOME_CONTROLLER_HEAD_START_MS = 600;

interface FailoverRule {
  readonly applies: (facts: FailoverFacts) => boolean;
  readonly decision: FailoverDecision;
}

const isLeader = (facts: FailoverFacts): boolean =>
  facts.leader === facts.self && facts.leaderIncarnation === facts.incarnation;
const isHomeShard = (facts: FailoverFacts): boolean => facts.homeController === facts.self;
const isNeverLed = (facts: FailoverFacts): boolean => facts.leader === undefined;
const isReleased = (facts: FailoverFacts): boolean => facts.leader === null;
const membershipAgeMs = (facts: FailoverFacts): number =>
  facts.membershipStableSince === null ? 0 : facts.now - facts.membershipStableSince;

/** The situations in order: the first that applies decides. */
const RULES: readonly FailoverRule[] = [
  // This process leads the shard. Prevents: a fencing token raised for nothing.
  { applies: isLeader, decision: 'wait' },
  // The lease may have expired or the store cache is behind. Prevents: a controller that returns from a partition
  // acquires a shard, and a peer that sees its membership key gone takes it away at once.
  { applies: (facts) => facts.membershipStableSince === null, decision: 'wait' },

  // The home shard of a process that has not led it yet. Prevents: after a restart the shard stands still until its
  // previous incarnation, which cannot come back, counts as failed.
  { applies: (facts) => isHomeShard(facts) && !facts.ledHomeShardBefore, decision: 'claim' },
  // A peer released the home shard. Prevents: a shard without a leader for longer than needed.
  {
    applies: (facts) => isHomeShard(facts) && isReleased(facts) && !facts.releasedBySelf,
    decision: 'claim',
  },
  // A peer leads the home shard, or this process released it, and the lease is new. Prevents: with an unsteady network
  // the shard goes back and forth at each reconnection, and every time all of its machines must be reconciled.
  { applies: (facts) => isHomeShard(facts) && membershipAgeMs(facts) < STABLE_MS, decision: 'wait' },
  // As before, steady now, and the workers answer.
  { applies: (facts) => isHomeShard(facts) && facts.workersReachable, decision: 'claim' },
  // As before, but it is not known whether the workers answer. Prevents: a controller that reaches the store but not
  // its workers takes the shard from a peer that does reach them.
  { applies: isHomeShard, decision: 'probe' },

  // Nobody has led the shard yet. Prevents: the first controller to start acquires the shards of all that start just
  // after it.
  {
    applies: (facts) =>
      isNeverLed(facts) && (facts.homeControllerAlive || facts.situationAgeMs < NEVER_LED_DELAY_MS),
    decision: 'wait',
  },
  // As before, and the home controller does not start.
  { applies: isNeverLed, decision: 'claim' },

  // This controller released the shard because it does not reach the workers. Prevents: it acquires the shard again,
  // releases it again, and no peer that reaches the workers gets its turn.
  { applies: (facts) => isReleased(facts) && facts.releasedBySelf, decision: 'wait' },
  // Released, and heartbeats of its workers arrive here. The head start prevents: the home controller, which also hears workers, acquires
  // the shard right after this one, and all machines are reconciled twice.
  {
    applies: (facts) =>
      isReleased(facts) &&
      facts.redirectedHeartbeats > 0 &&
      facts.situationAgeMs >= (facts.homeControllerAlive ? HOME_CONTROLLER_HEAD_START_MS : 0),
    decision: 'claim',
  },
  // Released for a while, and its workers are not heard here. Prevents: a shard that nobody hears stays without a leader, and
  // its jobs wait for ever.
  {
    applies: (facts) =>
      isReleased(facts) && facts.redirectedHeartbeats === 0 && facts.situationAgeMs > STABLE_MS,
    decision: 'claim',
  },
  // Released just now. Prevents: a controller that does not hear the workers is faster than one that does.
  { applies: isReleased, decision: 'wait' },

  // The leader's lease stands. Prevents: a healthy leader loses its shard.
  { applies: (facts) => facts.leaderAlive, decision: 'wait' },
  // The leader, at home, came back as a new process. Prevents: a peer acquires the shard just before the home
  // controller does, which a restart within seconds would turn into two failovers.
  {
    applies: (facts) =>
      facts.homeControllerAlive &&
      facts.homeController === facts.leader &&
      facts.situationAgeMs <= RESTART_GRACE_MS,
    decision: 'wait',
  },
  // The leader's lease expired, or the restarted leader does not get so far.
  { applies: () => true, decision: 'claim' },
];

/** Whether to acquire leadership of a shard now, to probe its workers first, or to wait. */
export function decideFailover(facts: FailoverFacts): FailoverDecision {
  for (const rule of RULES) if (rule.applies(facts)) return rule.decision;
  return 'wait';
}
