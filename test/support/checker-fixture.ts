/** An invariant checker that is given histories directly, without a simulation. */
import { EventQueue } from '../../src/simulation/clock.js';
import { InvariantChecker, type MachineView, type Rule } from '../../src/simulation/invariant-checker.js';
import type { MachineSpec, UserResponse } from '../../src/simulation/observer.js';
import type { UserJob } from '../../src/simulation/user-jobs.js';
import { SAMPLE_USER_JOB } from './user-job.js';

/** An invariant checker with its own event queue, and helpers to build histories. */
export class CheckerFixture {
  readonly queue = new EventQueue();
  machines: MachineView[] = [];
  readonly checker = new InvariantChecker(this.queue, {
    teams: [{ name: 'atlas', cpusMax: 8, gpusMax: 0 }],
    cancelS: 30,
    machines: () => this.machines,
  });

  machine(id: string, facts: Partial<MachineSpec> = {}): MachineSpec {
    return { id, type: 'birch', zone: 'fjord', spot: false, cpus: 8, gpus: 0, memoryGb: 32, ...facts };
  }

  submit(changes: Partial<UserJob> = {}): void {
    this.checker.jobSubmitted({ ...SAMPLE_USER_JOB, ...changes });
  }

  answer(
    kind: UserResponse['kind'],
    status: number | null,
    state: string | null,
    more: Partial<UserResponse> = {},
  ): void {
    const { now } = this.queue;
    this.checker.responseReceived({
      kind,
      job: 'req-1',
      sentAt: now,
      answeredAt: now,
      status,
      state,
      irregular: false,
      ...more,
    });
  }

  violatedRules(): Rule[] {
    return this.checker.violations.map((v) => v.rule);
  }
}

/** Gives events to the checker of a fixture. */
export type History = (fixture: CheckerFixture) => void | Promise<void>;

/** A history that violates a rule, and a similar one that does not. */
export interface HistoryPair {
  readonly rule: Rule;
  readonly name: string;
  readonly broken: History;
  readonly sound: History;
}
