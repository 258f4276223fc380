/** The commands `simulate run` and `simulate fuzz`. Loaded only when they are asked for. */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Command } from 'commander';
import { InvalidArgumentError, Option } from 'commander';
import { logLevelOf, type LogLevel } from '../settings/settings.js';
import { fuzz } from '../simulation/fuzz.js';
import type { FuzzOutcome } from '../simulation/fuzz-run.js';
import { RULES, type Rule } from '../simulation/judge.js';
import { parseScenario, ScenarioError, type Scenario } from '../simulation/scenario.js';
import { Simulation, type SimulationResult } from '../simulation/simulation.js';
import { CommandFailed } from './command-failed.js';

const RULE_BROKEN = 1;
const BAD_SCENARIO = 2;

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

function wholeNumber(text: string): number {
  const n = Number(text);
  if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError('expected a whole number');
  return n;
}

function seconds(text: string): number {
  const n = Number(text);
  if (!(n > 0)) throw new InvalidArgumentError('expected seconds, more than 0');
  return n;
}

function rulesIn(text: string): Rule[] {
  return text.split(',').map((name) => {
    const rule = RULES.find((r) => r === name.trim());
    if (!rule) throw new InvalidArgumentError(`expected some of ${RULES.join(', ')}`);
    return rule;
  });
}

function load(file: string): Scenario {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (e) {
    const code = (e as NodeJS.ErrnoException).code ?? 'error';
    throw new CommandFailed(`${file}: expected a readable file (${code})`, BAD_SCENARIO);
  }
  try {
    return parseScenario(text, file);
  } catch (e) {
    if (e instanceof ScenarioError) throw new CommandFailed(e.message, BAD_SCENARIO);
    throw e;
  }
}

const print = (line: string): void => void process.stdout.write(`${line}\n`);

function printResult(result: SimulationResult, elapsedS: number): void {
  print(`${result.scenario}: seed ${result.seed}, ${result.simulatedS.toFixed(1)} s simulated`);
  print(`  ${result.events} events, ${(result.simulatedS / elapsedS).toFixed(0)} simulated seconds a second`);
  for (const [name, value] of Object.entries(result.figures)) print(`  ${name.padEnd(18)} ${value}`);
  print(`  trace ${result.hash}`);
  for (const v of result.violations)
    print(`BROKEN ${v.rule} at ${v.atS.toFixed(3)} s (event ${v.event}): ${v.detail}`);
  if (result.violations.length === 0) print('no rule broken');
}

async function runScenario(file: string, options: RunOptions): Promise<void> {
  const scenario = load(file);
  const began = performance.now();
  const result = await new Simulation(scenario, {
    seed: options.seed ?? scenario.seed,
    keepTrace: options.trace !== undefined,
    ...(options.until === undefined ? {} : { untilS: options.until }),
    ...(options.log === undefined ? {} : { logLevel: options.log }),
  }).run();
  const { trace, ...summary } = result;
  if (options.trace !== undefined) writeFileSync(options.trace, `${trace.join('\n')}\n`);
  if (options.json) print(JSON.stringify(summary));
  else printResult(result, (performance.now() - began) / 1000);
  const first = result.violations[0];
  if (first) throw new CommandFailed(`rule broken: ${first.rule}`, RULE_BROKEN);
}

/** Writes what was found, and says where; `--json` prints one line a schedule in place of text. */
function reportOutcome(outcome: FuzzOutcome, options: FuzzCommandOptions): void {
  const { finding, seed, error } = outcome;
  let file: string | null = null;
  if (finding) {
    mkdirSync(options.out, { recursive: true });
    file = join(options.out, `${finding.violation.rule}-${seed}.toml`);
    writeFileSync(file, finding.file);
  }
  if (options.json) return print(JSON.stringify({ ...outcome, finding: finding && { ...finding, file } }));
  if (error) print(`seed ${seed}: the run failed: ${error}`);
  if (!finding) return;
  const faults = finding.faults.length === 0 ? 'no fault' : finding.faults.join(', ');
  print(`seed ${seed}: ${finding.violation.rule}: ${finding.violation.detail}`);
  print(`  shrunk to ${faults}: ${file}`);
}

async function runFuzz(file: string | undefined, options: FuzzCommandOptions): Promise<void> {
  const base = file === undefined ? null : load(file);
  const began = performance.now();
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
  const elapsedS = (performance.now() - began) / 1000;
  const broken = outcomes.filter((o) => o.finding !== null).length;
  const failed = outcomes.filter((o) => o.error !== null).length;
  const simulatedS = outcomes.reduce((sum, o) => sum + o.simulatedS, 0);
  const summary = { runs: outcomes.length, broken, failed, simulatedS, elapsedS };
  if (options.json) print(JSON.stringify(summary));
  else
    print(
      `${summary.runs} schedules, ${broken} broke a rule, ${failed} failed to run; ` +
        `${simulatedS.toFixed(0)} simulated seconds in ${elapsedS.toFixed(1)} s`,
    );
  if (broken + failed > 0) throw new CommandFailed(`${broken} broke a rule, ${failed} failed`, RULE_BROKEN);
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

export function addSimulateCommands(cli: Command): void {
  const simulate = cli
    .command('simulate')
    .description('simulate a deployment with load and faults')
    .exitOverride();
  simulate
    .command('run <file>')
    .description('run one scenario and judge every rule')
    .option('--seed <number>', "in place of the file's", wholeNumber)
    .option('--until <seconds>', 'end earlier', seconds)
    .addOption(new Option('--log <level>', "controllers' logs, to standard error").argParser(logLevelOf))
    .option('--trace <file>', 'write the history')
    .option('--json', 'print the result as JSON')
    .addHelpText('after', RUN_EXAMPLES)
    .exitOverride()
    .action(runScenario);
  simulate
    .command('fuzz [file]')
    .description('run random schedules of faults; shrink and keep those that break a rule')
    .option('--runs <number>', 'how many schedules', wholeNumber, 100)
    .option('--jobs <number>', 'processes at once', wholeNumber, 3)
    .option('--seed <number>', 'the first seed', wholeNumber, 1)
    .option('--rules <list>', 'only these rules count, separated by commas', rulesIn, [...RULES])
    .option('--out <directory>', 'where shrunk scenarios are written', 'fuzz-findings')
    .option('--json', 'print one JSON line a schedule')
    .addHelpText('after', FUZZ_EXAMPLES)
    .exitOverride()
    .action(runFuzz);
}
