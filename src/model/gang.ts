/**
 * Gangs: jobs whose tasks run all at the same time or not at all. The tasks of a gang find each other by their attempt;
 * a gang has one at a time. Pure: what the leader of a shard knows of a gang, and what is to be done with it.
 */
import type { AllocationPhase } from './allocation-phase.js';
import type { Attempt, MachineId, Millis, SteadyMs } from './units.js';

/** What is known of a gang's present attempt beyond the tasks that are on machines. */
export interface GangHistory {
  /** The latest attempt that is known to have run, by a running task or by the way in which one ended. */
  started: Attempt | null;
  /** The latest attempt of which a task gave up waiting for the others. */
  failed: Attempt | null;
  /**
   * A task has been lost since any other was last seen to wait. All may have begun to run in between, and the tasks of an
   * attempt that has run do not wait for one that is started again.
   */
  mayHaveStarted: boolean;
  /** Machines that a task of the present attempt has left: no task of this attempt may be started there again. */
  readonly leftMachines: Set<MachineId>;
}

/** Of a gang of which nothing is known. */
export const newGangHistory = (): GangHistory => ({
  started: null,
  failed: null,
  mayHaveStarted: false,
  leftMachines: new Set(),
});

/** Nothing of the gang is on a machine: what was known of the attempt does not matter for the next one. */
export function forgetAttempt(history: GangHistory): void {
  history.mayHaveStarted = false;
  history.leftMachines.clear();
}

/** A task of a gang that is on a machine, or may be. */
export interface GangMember {
  readonly attempt: Attempt;
  readonly phase: AllocationPhase;
  /** It has been told to stop, with so many seconds of grace. */
  readonly stop: { readonly grace: number } | null;
  /** When it was first seen to wait for the other tasks. */
  readonly waitingForGangSince: SteadyMs | null;
}

/** All that the decision on a gang rests on. */
export interface GangFacts {
  readonly now: SteadyMs;
  /** Some of its tasks are certainly on no machine. */
  readonly missing: boolean;
  readonly members: readonly GangMember[];
  readonly history: GangHistory;
  /** Its result has been reported: the remaining tasks end by themselves. */
  readonly finished: boolean;
  /** Some of its tasks may be on machines that have not been heard of since the failover. */
  readonly unaccounted: boolean;
  /** Was the attempt started by the present leader? */
  readonly issued: (attempt: Attempt) => boolean;
  /** How long a task waits for the others of its gang before it gives up (`gang_wait_s` in the settings). */
  readonly waitLimit: Millis;
}

/**
 * `waiting`: no task is on a machine. `gathering`: some are, and the attempt has not started. `running`: it has.
 * `stopping`: its tasks are being stopped, or lose each other. `done`: its result is known.
 */
export type GangState = 'waiting' | 'gathering' | 'running' | 'stopping' | 'done';

/**
 * `start`: all tasks, under a new attempt. `replace`: the missing tasks, under the present attempt. `stop`: all tasks,
 * with the grace of the first that was told to. `wait`: nothing.
 */
export type GangAction =
  | { readonly kind: 'start' | 'wait' }
  | { readonly kind: 'replace'; readonly attempt: Attempt }
  | { readonly kind: 'stop'; readonly grace: number; readonly reason: string };

/** The state of a gang, and what to do now. */
export interface GangDecision {
  readonly state: GangState;
  readonly action: GangAction;
}

/** An incomplete gang is stopped after this share of `waitLimit`, well before its tasks give up by themselves. */
const INCOMPLETE_SHARE = 0.7;

const WAIT: GangAction = { kind: 'wait' };
const abandon = (reason: string): GangAction => ({ kind: 'stop', grace: 0, reason });

/**
 * Decides what to do with a gang, by the first line that holds:
 *
 * | holds                                               | state     | action                                  |
 * | --------------------------------------------------- | --------- | --------------------------------------- |
 * | its result is known                                 | done      | wait: the tasks end by themselves       |
 * | no task on a machine, none unaccounted              | waiting   | start all                               |
 * | no task on a machine, some unaccounted              | waiting   | wait                                    |
 * | some task is being stopped, and it had started      | stopping  | stop the others with the same grace     |
 * | all tasks that are left are being stopped           | stopping  | wait until they are gone                |
 * | tasks with different attempts                       | stopping  | stop all                                |
 * | started, all there                                  | running   | wait                                    |
 * | started, some missing, some unaccounted             | running   | wait                                    |
 * | started, some missing                               | stopping  | stop the others: their work since the   |
 * |                                                     |           | last checkpoint is lost                 |
 * | a task gave up waiting                              | stopping  | stop the others                         |
 * | some unaccounted                                    | gathering | wait                                    |
 * | some missing, attempt of an earlier leader          | stopping  | stop the others                         |
 * | waiting for too long                                | stopping  | stop all                                |
 * | some missing, it may have run meanwhile             | gathering | wait for the others' next heartbeats    |
 * | some missing                                        | gathering | replace them                            |
 * | all there                                           | gathering | wait                                    |
 */
export function decideGang(facts: GangFacts): GangDecision {
  const { members, history } = facts;
  const [first] = members;
  if (facts.finished) return { state: 'done', action: WAIT };
  if (!first) return { state: 'waiting', action: facts.unaccounted ? WAIT : { kind: 'start' } };
  const stopped = members.find((member) => member.stop !== null);
  const started = hasStarted(members, history);
  if (stopped?.stop && started) return stopping(members, stopped.stop.grace);
  if (members.every((member) => member.stop !== null)) return { state: 'stopping', action: WAIT };
  if (members.some((member) => member.attempt !== first.attempt))
    return { state: 'stopping', action: abandon('attempts differ') };
  const { missing } = facts;
  if (started && (!missing || facts.unaccounted)) return { state: 'running', action: WAIT };
  if (started) return { state: 'stopping', action: abandon('a task of it is gone') };
  if (history.failed === first.attempt)
    return { state: 'stopping', action: abandon('a task gave up waiting') };
  if (facts.unaccounted) return { state: 'gathering', action: WAIT };
  if (missing && !facts.issued(first.attempt))
    return { state: 'stopping', action: abandon('incomplete after a failover') };
  if (waitedTooLong(facts)) return { state: 'stopping', action: abandon('not complete in time') };
  if (!missing || history.mayHaveStarted) return { state: 'gathering', action: WAIT };
  return { state: 'gathering', action: { kind: 'replace', attempt: first.attempt } };
}

function hasStarted(members: readonly GangMember[], history: GangHistory): boolean {
  return members.some(
    ({ phase, attempt }) => phase === 'running' || phase === 'saving' || history.started === attempt,
  );
}

function stopping(members: readonly GangMember[], grace: number): GangDecision {
  const someGoOn = members.some((member) => member.stop === null);
  const action: GangAction = someGoOn ? { kind: 'stop', grace, reason: 'one of its tasks is stopped' } : WAIT;
  return { state: 'stopping', action };
}

function waitedTooLong({ now, members, waitLimit }: GangFacts): boolean {
  return members.some(
    ({ waitingForGangSince }) =>
      waitingForGangSince !== null && now - waitingForGangSince > waitLimit * INCOMPLETE_SHARE,
  );
}
