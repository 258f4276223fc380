/**
 * The failover decision: whether a controller tries to become the leader of a shard, given what it knows of the
 * shard. Pure function. It decides only when to try; safety does not depend on it: leadership is acquired by a
 * compare-and-swap on the fencing token and the shard's record, so that at most one of several controllers that try
 * succeeds. The decision prevents unnecessary leadership changes, and leadership of a controller that cannot reach
 * the shard's workers.
 */
import type { ControllerId, Incarnation, SteadyMs } from '../model/units.js';

/** What a controller knows of a shard at the time of the decision. */
export interface FailoverFacts {
  readonly now: SteadyMs;
  readonly self: ControllerId;
  /** Incarnation of this process. */
  readonly incarnation: Incarnation;
  /** The controller that the settings assign the shard to. */
  readonly homeController: ControllerId;
  /** The leader by the shard's record; null: released, or the record cannot be decoded; undefined: no record exists. */
  readonly leader: ControllerId | null | undefined;
  readonly leaderIncarnation: Incarnation | null;
  /** Whether the leader's membership key exists and carries the incarnation that leads. */
  readonly leaderAlive: boolean;
  /** Whether the home controller's membership key exists, with any incarnation. */
  readonly homeControllerAlive: boolean;
  /** Whether this process leads, or has led before, its home shard. */
  readonly ledHomeShardBefore: boolean;
  /**
   * Since when this controller has held its membership lease and key; null: the lease, the key or the watch cache may
   * be out of date.
   */
  readonly membershipStableSince: SteadyMs | null;
  /** How many machines of the shard recently sent heartbeats here because the leader does not answer them. */
  readonly redirectedHeartbeats: number;
  /** Whether this controller released the shard, which has had no leader since. */
  readonly releasedBySelf: boolean;
  /** Whether workers of the home shard have answered a probe recently. */
  readonly workersReachable: boolean;
  /**
   * For how many milliseconds the leader, and whether leader and home controller are alive, have not changed, less this
   * controller's delay (`ObservedSituations`).
   */
  readonly situationAgeMs: number;
}

/** `claim`: acquire leadership; `probe`: first check whether the shard's workers answer; `wait`: do nothing now. */
export type FailoverDecision = 'claim' | 'probe' | 'wait';

/**
 * Minimum time for which a controller must have held its membership lease before it claims its home shard back, and for
 * which a shard must have been released before a controller that receives none of its heartbeats claims it.
 */
const MIN_STABLE_MS = 3000;
/** Time for the home controller of a shard that was never led to start. */
const NEVER_LED_DELAY_MS = 6000;
/** Time for a restarted leader to acquire its home shard again. */
const RESTART_GRACE_MS = 4000;
/** Time for a peer to acquire a shard that this controller has released; a peer may have to restart first. */
const NO_SUCCESSOR_MS = 10_000;
/** Peers leave a released shard to its live home controller for this time. */
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

/** Returns for how many milliseconds this controller has held its membership; 0 if its lease may be out of date. */
export const membershipAgeMs = (facts: FailoverFacts): number =>
  facts.membershipStableSince === null ? 0 : facts.now - facts.membershipStableSince;

/** Ordered rules: the first rule that applies decides. */
const RULES: readonly FailoverRule[] = [
  // This process already leads the shard. Prevents: the fencing token is raised needlessly.
  { applies: isLeader, decision: 'wait' },
  // The lease may have expired, the key may be gone, or the watch cache may be out of date. Prevents: a controller
  // acquires a shard, and a peer that does not see its membership key takes the shard over at once.
  { applies: (facts) => facts.membershipStableSince === null, decision: 'wait' },

  // The home shard of a process that has not led it yet. Prevents: after a restart the shard has no active
  // leader until the previous incarnation, which cannot return, is considered failed.
  { applies: (facts) => isHomeShard(facts) && !facts.ledHomeShardBefore, decision: 'claim' },
  // A peer released the home shard. Prevents: the shard has no leader for longer than necessary.
  {
    applies: (facts) => isHomeShard(facts) && isReleased(facts) && !facts.releasedBySelf,
    decision: 'claim',
  },
  // This controller released the shard, and no peer has acquired it. Prevents: the shard has no leader until another
  // controller starts, although its workers may have been reachable again for a long time.
  {
    applies: (facts) => isReleased(facts) && facts.releasedBySelf && facts.situationAgeMs > NO_SUCCESSOR_MS,
    decision: 'claim',
  },
  // A peer leads the home shard, or this process released it, and the membership lease is recent. Prevents: on an
  // unstable network the shard changes its leader at each reconnection, and all of its machines must be reconciled
  // each time.
  { applies: (facts) => isHomeShard(facts) && membershipAgeMs(facts) < MIN_STABLE_MS, decision: 'wait' },
  // The same situation, but the membership is stable and the workers answer.
  { applies: (facts) => isHomeShard(facts) && facts.workersReachable, decision: 'claim' },
  // The same situation, but it is unknown whether the workers answer. Prevents: a controller that reaches the store but
  // not its workers takes the shard from a peer that reaches them.
  { applies: isHomeShard, decision: 'probe' },

  // The shard was never led. Prevents: the first controller to start acquires the shards of all controllers that start
  // shortly after it.
  {
    applies: (facts) =>
      isNeverLed(facts) && (facts.homeControllerAlive || facts.situationAgeMs < NEVER_LED_DELAY_MS),
    decision: 'wait',
  },
  // The shard was never led, and its home controller does not start.
  { applies: isNeverLed, decision: 'claim' },

  // This controller has just released the shard because it does not reach the workers. Prevents: it acquires and releases the
  // shard again and again, so that no peer that reaches the workers can acquire it.
  { applies: (facts) => isReleased(facts) && facts.releasedBySelf, decision: 'wait' },
  // The shard was released, and heartbeats of its workers arrive here. The head start prevents: the home controller,
  // which also receives heartbeats, acquires the shard right after this controller, and all machines are reconciled
  // twice.
  {
    applies: (facts) =>
      isReleased(facts) &&
      facts.redirectedHeartbeats > 0 &&
      facts.situationAgeMs >= (facts.homeControllerAlive ? HOME_CONTROLLER_HEAD_START_MS : 0),
    decision: 'claim',
  },
  // The shard was released some time ago, and no heartbeats of its workers arrive here. Prevents: a shard whose workers
  // reach no controller remains without a leader, and its jobs wait forever.
  {
    applies: (facts) =>
      isReleased(facts) && facts.redirectedHeartbeats === 0 && facts.situationAgeMs > MIN_STABLE_MS,
    decision: 'claim',
  },
  // The shard was released recently. Prevents: a controller that receives no heartbeats of the shard acquires it before
  // a controller that does.
  { applies: isReleased, decision: 'wait' },

  // The leader's lease is valid. Prevents: a healthy leader loses its shard.
  { applies: (facts) => facts.leaderAlive, decision: 'wait' },
  // The leader is the home controller and has restarted. Prevents: a peer acquires the shard just before the home
  // controller does, so that a restart within seconds causes two failovers.
  {
    applies: (facts) =>
      facts.homeControllerAlive &&
      facts.homeController === facts.leader &&
      facts.situationAgeMs <= RESTART_GRACE_MS,
    decision: 'wait',
  },
  // The leader's lease has expired, or the restarted leader has not acquired the shard in time.
  { applies: () => true, decision: 'claim' },
];

/** Decides whether to acquire leadership of a shard now, to probe its workers first, or to wait. */
export function decideFailover(facts: FailoverFacts): FailoverDecision {
  for (const rule of RULES) if (rule.applies(facts)) return rule.decision;
  return 'wait';
}
