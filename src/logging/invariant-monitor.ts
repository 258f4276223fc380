/**
 * Reports violations of invariants. A violation means that an earlier decision was wrong: the action is not taken,
 * the process continues, and the log line contains what an engineer needs to find that decision.
 */
import { CounterSet } from './counter-set.js';
import type { Log } from './log.js';

/** Violations of the conditions that must hold whenever a task is started. The texts are logged and counted. */
export type Invariant =
  | 'task is already allocated'
  | 'task has finished'
  | 'task is not assigned to the shard'
  | 'job record is not confirmed'
  | 'machine record is not confirmed'
  | 'shard is led by another controller';

/** Logs violations as errors, and counts them since the start of the process. */
export class InvariantMonitor {
  readonly violations = new CounterSet<Invariant>();

  constructor(private readonly log: Pick<Log, 'error'>) {}

  /** Logs and counts a violation; `details` are logged fields with everything that the decision was based on. */
  report(invariant: Invariant, details: Readonly<Record<string, unknown>>): void {
    this.violations.increment(invariant);
    this.log.error({ invariant, ...details }, 'invariant violated');
  }
}
