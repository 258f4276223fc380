/** Why a controller tries to acquire a shard, as fields of the log line of the attempt. */
import type { ControllerId } from '../model/units.js';
import { membershipAgeMs, type FailoverFacts } from './failover.js';

/** Log fields that say why a shard is acquired. Ages are in milliseconds. */
export type AcquisitionReason =
  /** The decision to become the shard's leader, with the facts that distinguish its rules. */
  | {
      readonly reason: 'failover';
      /** The leader by the shard's record; null or undefined if there is none. */
      readonly replacedLeader: ControllerId | null | undefined;
      readonly leaderAlive: boolean;
      readonly homeControllerAlive: boolean;
      readonly membershipAgeMs: number;
      readonly situationAgeMs: number;
    }
  /** This process leads the shard already, under a fencing token that is too low. */
  | { readonly reason: 'higher fencing token needed' };

/** Returns what the decision to become a shard's leader was based on. */
export function failoverReason(facts: FailoverFacts): AcquisitionReason {
  const { leader: replacedLeader, leaderAlive, homeControllerAlive, situationAgeMs } = facts;
  return {
    reason: 'failover',
    replacedLeader,
    leaderAlive,
    homeControllerAlive,
    membershipAgeMs: membershipAgeMs(facts),
    situationAgeMs,
  };
}
