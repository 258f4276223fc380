/**
 * Reports actions that must never be due. A violation means that a decision before it was wrong: the action is not taken,
 * the process goes on, and the line has what an engineer needs to find the decision.
 */
import { CounterSet } from './counter-set.js';
import type { Log } from './log.js';

/** What must hold whenever a task is started. */
export type Invariant =
  | 'task is already allocated'
  | 'task has finished'
  | 'task is not assigned to the shard'
  | 'job record is not confirmed'
  | 'machine record is not confirmed'
  | 'shard is led by another controller';

/** Logs violations as errors, and counts them since the process began. */
export class InvariantMonitor {
  readonly violations = new CounterSet<Invariant>();

  constructor(private readonly log: Pick<Log, 'error'>) {}

  /** `facts`: all that the decision was based on. */
  report(invariant: Invariant, facts: Readonly<Record<string, unknown>>): void {
    this.violations.increment(invariant);
    this.log.error({ invariant, ...facts }, 'invariant violated');
  }
}
