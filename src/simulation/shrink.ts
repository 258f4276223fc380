/** Shrinks a scenario that breaks a rule to a smaller one that still breaks the same rule. */
import type { Rule } from './invariant-checker.js';
import type { Fault, Scenario } from './scenario.js';
import { Simulation } from './simulation.js';

/** Maximum number of simulation runs per shrink. */
const MAX_RUNS = 80;
const AFTER_VIOLATION_S = 0.5;
const MIN_FAULT_DURATION_S = 0.5;
/** Shrunk durations are rounded up to tenths of a second. */
const STEPS_PER_S = 10;

/** Returns when the scenario first breaks the rule, in simulated seconds, or null. */
export type Trial = (scenario: Scenario) => Promise<number | null>;

/** Returns a trial that runs a scenario with its own seed up to the first violation of the rule. */
export const trialForRule =
  (rule: Rule): Trial =>
  async (scenario) => {
    const result = await new Simulation(scenario, { seed: scenario.seed, stopOnRules: [rule] }).run();
    return result.violations.find((v) => v.rule === rule)?.atS ?? null;
  };

class Shrinker {
  private runs = 0;

  constructor(
    private smallest: Scenario,
    private readonly trial: Trial,
  ) {}

  private async accept(candidate: Scenario): Promise<boolean> {
    if (this.runs >= MAX_RUNS) return false;
    this.runs += 1;
    const violatedAtS = await this.trial(candidate);
    if (violatedAtS === null) return false;
    const endS = Math.ceil((violatedAtS + AFTER_VIOLATION_S) * STEPS_PER_S) / STEPS_PER_S;
    this.smallest = { ...candidate, duration_s: Math.min(candidate.duration_s, endS) };
    return true;
  }

  /** Tries to remove each item, the last first; returns whether any could be removed. */
  private async removeItems<T>(
    itemsOf: (scenario: Scenario) => readonly T[],
    replace: (scenario: Scenario, items: T[]) => Scenario,
    minItems: number,
  ): Promise<boolean> {
    let changed = false;
    for (let i = itemsOf(this.smallest).length - 1; i >= 0; i -= 1) {
      const remaining = itemsOf(this.smallest).filter((_, at) => at !== i);
      if (remaining.length < minItems) continue;
      if (await this.accept(replace(this.smallest, remaining))) changed = true;
    }
    return changed;
  }

  private async shortenFaults(): Promise<boolean> {
    let changed = false;
    for (let i = 0; i < this.smallest.faults.length; i += 1) {
      const fault = this.smallest.faults[i] as Fault;
      if (!('for_s' in fault) || fault.for_s / 2 < MIN_FAULT_DURATION_S) continue;
      const shorter = { ...fault, for_s: fault.for_s / 2 };
      const faults = this.smallest.faults.map((f, at) => (at === i ? shorter : f));
      if (await this.accept({ ...this.smallest, faults })) changed = true;
    }
    return changed;
  }

  async run(): Promise<Scenario> {
    // Accepting the unchanged scenario cuts its duration to just after the violation, for all later trials too.
    if (!(await this.accept(this.smallest))) return this.smallest;
    for (let changed = true; changed;) {
      changed = await this.removeItems(
        (scenario) => scenario.faults,
        (scenario, faults) => ({ ...scenario, faults }),
        0,
      );
      if (
        await this.removeItems(
          (scenario) => scenario.load,
          (scenario, load) => ({ ...scenario, load }),
          1,
        )
      )
        changed = true;
      if (await this.shortenFaults()) changed = true;
    }
    return this.smallest;
  }
}

/** Returns a smaller scenario that breaks the rule of `trial`, or the scenario itself; takes at most `MAX_RUNS` runs. */
export const shrink = (scenario: Scenario, trial: Trial): Promise<Scenario> =>
  new Shrinker(scenario, trial).run();
