/** One fuzz run: generates a schedule, runs it, and shrinks it if it breaks a rule. */
import { randomScenario } from './scenario-generator.js';
import { RULES, type Rule, type Violation } from './invariant-checker.js';
import { formatScenario, type Scenario } from './scenario.js';
import { shrink, trialForRule } from './shrink.js';
import { Simulation } from './simulation.js';

/** A violation found by fuzzing, with a shrunk scenario that breaks the same rule. */
export interface FuzzFinding {
  readonly violation: Violation;
  /** Text of the shrunk scenario's file, which replays exactly. */
  readonly file: string;
  readonly faults: readonly string[];
}

/** The result of one schedule. */
export interface FuzzOutcome {
  readonly seed: number;
  readonly simulatedS: number;
  readonly events: number;
  readonly hash: string;
  readonly finding: FuzzFinding | null;
  /** Set if the run itself failed, by an error of the simulator or an exception of a controller. */
  readonly error: string | null;
}

const HEADER = '# Shrunk by "simulate fuzz"; replay: simulate run FILE\n';

async function buildFinding(scenario: Scenario, violation: Violation): Promise<FuzzFinding> {
  const shrunk = await shrink(scenario, trialForRule(violation.rule));
  const description = `# Breaks ${violation.rule}; before it was shrunk: ${violation.detail}\n`;
  return {
    violation,
    file: `${HEADER}${description}${formatScenario(shrunk)}`,
    faults: shrunk.faults.map((f) => f.kind),
  };
}

/** Runs the schedule of a seed; only violations of `rules` count, and the first one ends the run. */
export async function fuzzOne(
  seed: number,
  base: Scenario | null,
  rules: readonly Rule[] = RULES,
): Promise<FuzzOutcome> {
  try {
    const scenario = randomScenario(seed, base);
    const result = await new Simulation(scenario, { seed, stopOnRules: rules }).run();
    const { simulatedS, events, hash } = result;
    const violation = result.violations.find((v) => rules.includes(v.rule));
    const finding = violation ? await buildFinding(scenario, violation) : null;
    return { seed, simulatedS, events, hash, finding, error: null };
  } catch (error) {
    return { seed, simulatedS: 0, events: 0, hash: '', finding: null, error: String((error as Error).stack) };
  }
}
