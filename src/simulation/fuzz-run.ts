/** One schedule of a fuzz: generated, run, and shrunk when it breaks a rule. */
import { randomScenario } from './scenario-generator.js';
import { RULES, type Rule, type Violation } from './invariant-checker.js';
import { formatScenario, type Scenario } from './scenario.js';
import { shrink, trialForRule } from './shrink.js';
import { Simulation } from './simulation.js';

/** A rule that a schedule has broken, with the shrunk scenario that breaks it too. */
export interface FuzzFinding {
  readonly violation: Violation;
  /** The shrunk scenario, as a file that replays exactly. */
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
  /** Set when the run itself failed: a fault of the simulator or an exception of a controller. */
  readonly error: string | null;
}

const HEADER = '# Shrunk by "simulate fuzz"; replay: simulate run FILE\n';

async function findingOf(scenario: Scenario, violation: Violation): Promise<FuzzFinding> {
  const small = await shrink(scenario, trialForRule(violation.rule));
  const about = `# Breaks ${violation.rule}; before it was shrunk: ${violation.detail}\n`;
  return {
    violation,
    file: `${HEADER}${about}${formatScenario(small)}`,
    faults: small.faults.map((f) => f.kind),
  };
}

/** `rules`: those whose break counts and ends the run. */
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
    const finding = violation ? await findingOf(scenario, violation) : null;
    return { seed, simulatedS, events, hash, finding, error: null };
  } catch (error) {
    return { seed, simulatedS: 0, events: 0, hash: '', finding: null, error: String((error as Error).stack) };
  }
}
