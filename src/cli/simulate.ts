/** The commands `simulate run` and `simulate fuzz`. Loaded on demand. */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Command } from 'commander';
import { InvalidArgumentError, Option } from 'commander';
import { parseLogLevel, type LogLevel } from '../settings/log-level.js';
import { fuzz } from '../simulation/fuzz.js';
import type { FuzzOutcome } from '../simulation/fuzz-run.js';
import { RULES, type Rule } from '../simulation/invariant-checker.js';
import { parseScenario, ScenarioError, type Scenario } from '../simulation/scenario.js';
import { Simulation, type SimulationResult } from '../simulation/simulation.js';
import { CommandError } from './command-error.js';

const RULE_VIOLATED_EXIT_CODE = 1;
const INVALID_SCENARIO_EXIT_CODE = 2;
/** Width of the column of statistic names in the result. */
const STATISTIC_NAME_WIDTH = 18;

interface RunOptions {
  readonly seed?: number;
  readonly until?: number;
  readonly log?: LogLevel;
  readonly trace?: string;
  readonly json?: boolean;
}

interface FuzzCommandOptions {
  readonly runs: number;
  readonly jobs: number;
  readonly seed: number;
  readonly out: string;
  readonly rules: readonly Rule[];
  readonly json?: boolean;
}

function parseWholeNumber(text: string): number {
  const value = Number(text);
  if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError('expected a whole number');
  return value;
}

function parseSeconds(text: string): number {
  const value = Number(text);
  if (!(value > 0)) throw new InvalidArgumentError('expected seconds, more than 0');
  return value;
}

function parseRules(text: string): Rule[] {
  return text.split(',').map((name) => {
    const rule = RULES.find((candidate) => candidate === name.trim());
    if (!rule) throw new InvalidArgumentError(`expected some of ${RULES.join(', ')}`);
    return rule;
  });
}

function loadScenario(file: string): Scenario {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'error';
    throw new CommandError(`${file}: expected a readable file (${code})`, INVALID_SCENARIO_EXIT_CODE);
  }
  try {
    return parseScenario(text, file);
  } catch (error) {
    if (error instanceof ScenarioError) throw new CommandError(error.message, INVALID_SCENARIO_EXIT_CODE);
    throw error;
  }
}

const printLine = (line: string): void => void process.stdout.write(`${line}\n`);

function printResult(result: SimulationResult, elapsedS: number): void {
  printLine(`${result.scenario}: seed ${result.seed}, ${result.simulatedS.toFixed(1)} s simulated`);
  printLine(
    `  ${result.events} events, ${(result.simulatedS / elapsedS).toFixed(0)} simulated seconds a second`,
  );
  for (const [name, value] of Object.entries(result.figures))
    printLine(`  ${name.padEnd(STATISTIC_NAME_WIDTH)} ${value}`);
  printLine(`  trace ${result.hash}`);
  for (const violation of result.violations)
    printLine(
      `BROKEN ${violation.rule} at ${violation.atS.toFixed(3)} s (event ${violation.event}): ${violation.detail}`,
    );
  if (result.violations.length === 0) printLine('no rule broken');
}

async function runScenario(file: string, options: RunOptions): Promise<void> {
  const scenario = loadScenario(file);
  const startedAt = performance.now();
  const result = await new Simulation(scenario, {
    seed: options.seed ?? scenario.seed,
    keepTrace: options.trace !== undefined,
    ...(options.until === undefined ? {} : { untilS: options.until }),
    ...(options.log === undefined ? {} : { logLevel: options.log }),
  }).run();
  const { trace, ...summary } = result;
  if (options.trace !== undefined) writeFileSync(options.trace, `${trace.join('\n')}\n`);
  if (options.json) printLine(JSON.stringify(summary));
  else printResult(result, (performance.now() - startedAt) / 1000);
  const firstViolation = result.violations[0];
  if (firstViolation) throw new CommandError(`rule broken: ${firstViolation.rule}`, RULE_VIOLATED_EXIT_CODE);
}

/** Writes the scenario of a finding to a file and prints the outcome: as text, or as one JSON line with `--json`. */
function reportOutcome(outcome: FuzzOutcome, options: FuzzCommandOptions): void {
  const { finding, seed, error } = outcome;
  let file: string | null = null;
  if (finding) {
    mkdirSync(options.out, { recursive: true });
    file = join(options.out, `${finding.violation.rule}-${seed}.toml`);
    writeFileSync(file, finding.file);
  }
  if (options.json) {
    printLine(JSON.stringify({ ...outcome, finding: finding && { ...finding, file } }));
    return;
  }
  if (error) printLine(`seed ${seed}: the run failed: ${error}`);
  if (!finding) return;
  const faults = finding.faults.length === 0 ? 'no fault' : finding.faults.join(', ');
  printLine(`seed ${seed}: ${finding.violation.rule}: ${finding.violation.detail}`);
  printLine(`  shrunk to ${faults}: ${file}`);
}

async function runFuzz(file: string | undefined, options: FuzzCommandOptions): Promise<void> {
  const base = file === undefined ? null : loadScenario(file);
  const startedAt = performance.now();
  let finished = 0;
  const outcomes = await fuzz({
    firstSeed: options.seed,
    runs: options.runs,
    jobs: options.jobs,
    base,
    rules: options.rules,
    onOutcome: (outcome) => {
      finished += 1;
      if (process.stderr.isTTY) process.stderr.write(`\r${finished}/${options.runs} `);
      reportOutcome(outcome, options);
    },
  });
  const elapsedS = (performance.now() - startedAt) / 1000;
  const broken = outcomes.filter((outcome) => outcome.finding !== null).length;
  const failed = outcomes.filter((outcome) => outcome.error !== null).length;
  const simulatedS = outcomes.reduce((sum, outcome) => sum + outcome.simulatedS, 0);
  const summary = { runs: outcomes.length, broken, failed, simulatedS, elapsedS };
  if (options.json) printLine(JSON.stringify(summary));
  else
    printLine(
      `${summary.runs} schedules, ${broken} broke a rule, ${failed} failed to run; ` +
        `${simulatedS.toFixed(0)} simulated seconds in ${elapsedS.toFixed(1)} s`,
    );
  if (broken + failed > 0)
    throw new CommandError(`${broken} broke a rule, ${failed} failed`, RULE_VIOLATED_EXIT_CODE);
}

const RUN_EXAMPLES = `
Examples:
  cleatport simulate run scenarios/calm.toml
  cleatport simulate run scenarios/handover.toml --seed 7 --trace history.txt --log info 2> logs.txt

Exit code 0: no rule broken, 1: a rule broken, 2: the scenario cannot be read.`;

const FUZZ_EXAMPLES = `
Examples:
  cleatport simulate fuzz --runs 300 --jobs 3
  cleatport simulate fuzz scenarios/handover.toml --runs 100 --seed 5000

With a file its deployment and load are kept, and only the faults are random.`;

/** Adds `simulate run` and `simulate fuzz` to the command line. */
export function addSimulateCommands(cli: Command): void {
  const simulate = cli
    .command('simulate')
    .description('simulate a deployment with load and faults')
    .exitOverride();
  simulate
    .command('run <file>')
    .description('run one scenario and judge every rule')
    .option('--seed <number>', "in place of the file's", parseWholeNumber)
    .option('--until <seconds>', 'end earlier', parseSeconds)
    .addOption(new Option('--log <level>', "controllers' logs, to standard error").argParser(parseLogLevel))
    .option('--trace <file>', 'write the history')
    .option('--json', 'print the result as JSON')
    .addHelpText('after', RUN_EXAMPLES)
    .exitOverride()
    .action(runScenario);
  simulate
    .command('fuzz [file]')
    .description('run random schedules of faults; shrink and keep those that break a rule')
    .option('--runs <number>', 'how many schedules', parseWholeNumber, 100)
    .option('--jobs <number>', 'processes at once', parseWholeNumber, 3)
    .option('--seed <number>', 'the first seed', parseWholeNumber, 1)
    .option('--rules <list>', 'only these rules count, separated by commas', parseRules, [...RULES])
    .option('--out <directory>', 'where shrunk scenarios are written', 'fuzz-findings')
    .option('--json', 'print one JSON line a schedule')
    .addHelpText('after', FUZZ_EXAMPLES)
    .exitOverride()
    .action(runFuzz);
}
