/** Checks answers to users: `forgotten`, `invented`, `went_back`, `not_done`, and that cancelled tasks end in time. */
import type { EventQueue } from './clock.js';
import type { UserResponse } from './observer.js';
import {
  CANCEL_SLACK_MS,
  type JobObservation,
  type ObservationCounts,
  type ReportViolation,
} from './rules.js';

const UNANSWERED_WHILE_OTHERS_SERVED_MS = 90_000;
const UNANSWERED_WITHOUT_FAULTS_MS = 75_000;

// HTTP statuses of answers; defined here because the checker shares no code with the controllers.
const OK_STATUS = 200;
const CREATED_STATUS = 201;
const NOT_FOUND_STATUS = 404;
const REJECTED_STATUSES: readonly (number | null)[] = [400, 422];

/** State and options shared with the invariant checker. */
export interface UserResponseContext {
  readonly jobs: ReadonlyMap<string, JobObservation>;
  readonly counts: ObservationCounts;
  readonly cancelS: number;
  readonly report: ReportViolation;
}

/** Checks each answer that a user receives against the observed state of the job. */
export class UserResponseChecker {
  private readonly jobs: ReadonlyMap<string, JobObservation>;
  private readonly counts: ObservationCounts;
  private readonly cancelS: number;
  private readonly report: ReportViolation;
  private recentPolls: { readonly at: number; readonly answered: boolean }[] = [];

  constructor(
    private readonly queue: EventQueue,
    context: UserResponseContext,
  ) {
    this.jobs = context.jobs;
    this.counts = context.counts;
    this.cancelS = context.cancelS;
    this.report = context.report;
  }

  /** Reports unfinished jobs whose status requests stay unanswered for too long. */
  review(unfinished: readonly JobObservation[], faultFreeSince: number | null): void {
    const { now } = this.queue;
    this.recentPolls = this.recentPolls.filter((p) => p.at > now - UNANSWERED_WHILE_OTHERS_SERVED_MS);
    const answered = this.recentPolls.filter((p) => p.answered).length;
    const othersServed = answered * 2 > this.recentPolls.length;
    for (const record of unfinished) this.checkForgotten(record, now, othersServed, faultFreeSince);
  }

  /** Checks one request's outcome; `status` is null if the request was not answered. */
  receive(response: UserResponse): void {
    const record = this.jobs.get(response.job);
    if (response.kind === 'ask' && record) this.recordPoll(record, response);
    if (response.status === null) return;
    const accepted = response.status === OK_STATUS || response.status === CREATED_STATUS;
    if (!record) {
      if (accepted && !response.irregular)
        this.report(
          'invented',
          response.job,
          `${response.job} was never submitted and gets ${response.status}`,
        );
      if (accepted && response.irregular && response.kind === 'submit') this.counts.acceptedOdd += 1;
      else if (accepted && response.irregular)
        this.report(
          'invented',
          response.job,
          `${response.job} was never accepted and gets ${response.status}`,
        );
      return;
    }
    if (accepted) this.checkReportedState(record, response);
    else this.checkRejection(record, response);
  }

  private recordPoll(record: JobObservation, response: UserResponse): void {
    const answered = response.status === OK_STATUS || response.status === NOT_FOUND_STATUS;
    this.recentPolls.push({ at: response.answeredAt, answered });
    if (answered) {
      record.lastAnswerAt = response.answeredAt;
      record.unansweredSince = null;
    } else record.unansweredSince ??= response.sentAt;
  }

  private checkRejection(record: JobObservation, response: UserResponse): void {
    const wasAccepted = record.acceptedAt !== null && response.sentAt >= record.acceptedAt;
    if (wasAccepted && response.status === NOT_FOUND_STATUS)
      this.report('forgotten', response.job, `${response.job} was accepted and gets 404`);
    if (response.kind !== 'submit' || !REJECTED_STATUSES.includes(response.status)) return;
    if (wasAccepted)
      this.report(
        'forgotten',
        response.job,
        `${response.job} was accepted, and submitted again it gets ${response.status}`,
      );
    else record.rejected = true;
  }

  private checkReportedState(record: JobObservation, response: UserResponse): void {
    if (record.acceptedAt === null) this.counts.accepted += 1;
    record.acceptedAt ??= response.answeredAt;
    const { finalState: final } = record;
    const contradictsFinalState = final !== null && response.state !== final.state;
    const isFinalState = response.state === 'done' || response.state === 'cancelled';
    if (contradictsFinalState && (isFinalState || response.sentAt >= final.at))
      this.report(
        'went_back',
        response.job,
        `${response.job} was called ${final.state} and then ${response.state}`,
      );
    if (response.state === 'done' && record.completed.size < record.job.tasks) {
      const incompleteTasks = record.job.tasks - record.completed.size;
      this.report(
        'not_done',
        response.job,
        `${response.job} is called done while ${incompleteTasks} of its tasks are not`,
      );
    }
    if (response.state === 'cancelled' && !record.cancelRequested)
      this.report('went_back', response.job, `${response.job} is called cancelled and nobody cancelled it`);
    if (final === null && (response.state === 'done' || response.state === 'cancelled'))
      this.recordFinalState(record, response.state, response);
  }

  private recordFinalState(
    record: JobObservation,
    state: 'done' | 'cancelled',
    response: UserResponse,
  ): void {
    record.finalState = { state, at: response.answeredAt };
    this.counts[state] += 1;
    if (state !== 'cancelled') return;
    this.queue.after(this.cancelS * 1000 + 2 * CANCEL_SLACK_MS, () => {
      for (const [task, machine] of record.machineByTask)
        this.report('ran_cancelled', task, `${task} is still on ${machine.id} ${this.cancelS} s after`);
    });
  }

  private checkForgotten(
    record: JobObservation,
    now: number,
    othersServed: boolean,
    faultFreeSince: number | null,
  ): void {
    const { unansweredSince, job } = record;
    if (unansweredSince === null) return;
    if (othersServed && now - unansweredSince > UNANSWERED_WHILE_OTHERS_SERVED_MS)
      this.report('forgotten', job.id, `no question about ${job.id} is answered for 90 s, others are`);
    const unansweredWithoutFaultsSince =
      faultFreeSince === null ? null : Math.max(faultFreeSince, unansweredSince);
    if (
      unansweredWithoutFaultsSince !== null &&
      now - unansweredWithoutFaultsSince > UNANSWERED_WITHOUT_FAULTS_MS
    )
      this.report('forgotten', job.id, `no question about ${job.id} is answered for 75 s after the faults`);
  }
}
