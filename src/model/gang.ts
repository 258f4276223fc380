/**
 * Gangs: jobs whose tasks run all at the same time or not at all. The tasks of a gang find each other by their attempt
 * number, and a gang has one attempt at a time. Pure: decides what to do with a gang, from what the leader of a shard
 * knows about it.
 */
import type { AllocationPhase } from './allocation-phase.js';
import type { Attempt, MachineId, Millis, SteadyMs } from './units.js';

/** What is known about the attempts of a gang, in addition to its tasks that are on machines. */
export interface GangHistory {
  /** The latest attempt that is known to have started, from a running task or from the exit cause of a task. */
  lastStartedAttempt: Attempt | null;
  /** The latest attempt in which a task exited because the gang was not complete in time. */
  lastFailedAttempt: Attempt | null;
  /**
   * A task has been lost since the last report that another task still waits. The whole gang may have started in
   * between, and the tasks of an attempt that has started do not wait for a replacement task.
   */
  mayHaveStarted: boolean;
  /** Machines on which a task of the current attempt has exited: no task of this attempt may be started there again. */
  readonly vacatedMachines: Set<MachineId>;
}

/** Returns the history of a gang about which nothing is known yet. */
export const newGangHistory = (): GangHistory => ({
  lastStartedAttempt: null,
  lastFailedAttempt: null,
  mayHaveStarted: false,
  vacatedMachines: new Set(),
});

/** Resets what is known about the current attempt, for a gang that has no task on a machine and starts a new attempt. */
export function resetAttemptHistory(history: GangHistory): void {
  history.mayHaveStarted = false;
  history.vacatedMachines.clear();
}

/** A task of a gang that is, or may be, on a machine. */
export interface GangMember {
  readonly attempt: Attempt;
  readonly phase: AllocationPhase;
  /** Set once the task has been told to stop; `grace` is the grace period in seconds. */
  readonly stop: { readonly grace: number } | null;
  /** When the task was first reported to wait for the other tasks of its gang. */
  readonly waitingForGangSince: SteadyMs | null;
}

/** Input of `decideGang`. */
export interface GangDecisionInput {
  readonly now: SteadyMs;
  /** Some tasks of the gang are certainly on no machine. */
  readonly hasMissingTasks: boolean;
  readonly members: readonly GangMember[];
  readonly history: GangHistory;
  /** The gang's result has been reported: the remaining tasks exit by themselves. */
  readonly isFinished: boolean;
  /** Some tasks of the gang may be on machines that have not sent a message since the failover. */
  readonly hasUnaccountedTasks: boolean;
  /** Returns whether the current leader started the attempt. */
  readonly isIssuedByThisLeader: (attempt: Attempt) => boolean;
  /** How long a task waits for the other tasks of its gang before it exits (`gang_wait_s` in the settings). */
  readonly gangWaitTimeout: Millis;
}

/**
 * `waiting`: no task is on a machine. `gathering`: some tasks are on machines, and the attempt has not started.
 * `running`: the attempt has started. `stopping`: the tasks are being stopped, or exit because another one was lost.
 * `done`: the result of the gang is known.
 */
export type GangState = 'waiting' | 'gathering' | 'running' | 'stopping' | 'done';

/**
 * `start`: start all tasks, in a new attempt. `replace`: start the missing tasks, in the current attempt. `stop`: stop
 * all tasks, with the grace period of the first task that was told to stop. `wait`: do nothing.
 */
export type GangAction =
  | { readonly kind: 'start' | 'wait' }
  | { readonly kind: 'replace'; readonly attempt: Attempt }
  | { readonly kind: 'stop'; readonly grace: number; readonly reason: string };

/** The state of a gang, and the action to take now. */
export interface GangDecision {
  readonly state: GangState;
  readonly action: GangAction;
}

/** An incomplete gang is stopped after this share of `gangWaitTimeout`, well before its tasks exit by themselves. */
const INCOMPLETE_SHARE = 0.7;

const WAIT: GangAction = { kind: 'wait' };
const stopAll = (reason: string): GangAction => ({ kind: 'stop', grace: 0, reason });

/**
 * Decides what to do with a gang: the first row whose condition holds applies.
 *
 * | condition                                           | state     | action                                  |
 * | --------------------------------------------------- | --------- | --------------------------------------- |
 * | its result is known                                 | done      | wait: the tasks exit by themselves      |
 * | no task on a machine, none unaccounted              | waiting   | start all                               |
 * | no task on a machine, some unaccounted              | waiting   | wait                                    |
 * | some task is being stopped, and it had started      | stopping  | stop the others with the same grace     |
 * | all remaining tasks are being stopped               | stopping  | wait until they are gone                |
 * | tasks with different attempts                       | stopping  | stop all                                |
 * | started, no task missing                            | running   | wait                                    |
 * | started, some missing, some unaccounted             | running   | wait                                    |
 * | started, some missing                               | stopping  | stop the others: their work since the   |
 * |                                                     |           | last checkpoint is lost                 |
 * | a task exited because the gang was incomplete       | stopping  | stop the others                         |
 * | some unaccounted                                    | gathering | wait                                    |
 * | some missing, attempt of an earlier leader          | stopping  | stop the others                         |
 * | a task has waited too long                          | stopping  | stop all                                |
 * | some missing, it may have started meanwhile         | gathering | wait for the others' next heartbeats    |
 * | some missing                                        | gathering | replace them                            |
 * | no task missing                                     | gathering | wait                                    |
 */
export function decideGang(facts: GangDecisionInput): GangDecision {
  const { members, history } = facts;
  const [first] = members;
  if (facts.isFinished) return { state: 'done', action: WAIT };
  if (!first) return { state: 'waiting', action: facts.hasUnaccountedTasks ? WAIT : { kind: 'start' } };
  const stoppingMember = members.find((member) => member.stop !== null);
  const started = hasStarted(members, history);
  if (stoppingMember?.stop && started) return stopRemaining(members, stoppingMember.stop.grace);
  if (members.every((member) => member.stop !== null)) return { state: 'stopping', action: WAIT };
  if (members.some((member) => member.attempt !== first.attempt))
    return { state: 'stopping', action: stopAll('attempts differ') };
  const { hasMissingTasks: missing } = facts;
  if (started && (!missing || facts.hasUnaccountedTasks)) return { state: 'running', action: WAIT };
  if (started) return { state: 'stopping', action: stopAll('a task of it is gone') };
  if (history.lastFailedAttempt === first.attempt)
    return { state: 'stopping', action: stopAll('a task gave up waiting') };
  if (facts.hasUnaccountedTasks) return { state: 'gathering', action: WAIT };
  if (missing && !facts.isIssuedByThisLeader(first.attempt))
    return { state: 'stopping', action: stopAll('incomplete after a failover') };
  if (hasWaitedTooLong(facts)) return { state: 'stopping', action: stopAll('not complete in time') };
  if (!missing || history.mayHaveStarted) return { state: 'gathering', action: WAIT };
  return { state: 'gathering', action: { kind: 'replace', attempt: first.attempt } };
}

function hasStarted(members: readonly GangMember[], history: GangHistory): boolean {
  return members.some(
    ({ phase, attempt }) =>
      phase === 'running' || phase === 'saving' || history.lastStartedAttempt === attempt,
  );
}

function stopRemaining(members: readonly GangMember[], grace: number): GangDecision {
  const hasUnstoppedMembers = members.some((member) => member.stop === null);
  const action: GangAction = hasUnstoppedMembers
    ? { kind: 'stop', grace, reason: 'one of its tasks is stopped' }
    : WAIT;
  return { state: 'stopping', action };
}

function hasWaitedTooLong({ now, members, gangWaitTimeout }: GangDecisionInput): boolean {
  return members.some(
    ({ waitingForGangSince }) =>
      waitingForGangSince !== null && now - waitingForGangSince > gangWaitTimeout * INCOMPLETE_SHARE,
  );
}
