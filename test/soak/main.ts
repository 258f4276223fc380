/**
 * The soak command: random faults on real controller processes over loopback, one run for each seed.
 * Exit code 0: every judged run kept all rules; 1: a run broke a rule or failed; 2: the usage was invalid, or a run could
 * not be carried out.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { existsSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Command, CommanderError, InvalidArgumentError } from 'commander';
import { RULES } from '../../src/simulation/invariant-checker.js';
import type { SoakResult } from './soak-run.js';

const RULE_BROKEN_EXIT_CODE = 1;
const USAGE_EXIT_CODE = 2;
const DEFAULT_JOBS = 2;
const MAX_SEED = 1_000_000;
const MAX_JOBS = 16;
/** Rules about the order of events, without time limits: they are judged even if the test harness stalled. */
const UNTIMED_RULES: readonly string[] = [
  'ran_twice',
  'quota',
  'wrong_place',
  'invented',
  'not_done',
  'went_back',
];
const DEFECTS = [
  'state-ignores-conditions',
  'state-watch-loses-deletions',
  'worker-ignores-tokens',
  'worker-ignores-sessions',
  'worker-ignores-its-lease',
  'worker-ignores-stops',
  'worker-claims-done',
];
const RUN_PROGRAM = fileURLToPath(new URL('./soak-process.js', import.meta.url));
const CONTROLLER_PROGRAM = fileURLToPath(new URL('../../src/main.js', import.meta.url));

interface Options {
  readonly seeds: readonly number[];
  readonly jobs: number;
  readonly out: string;
  readonly defect?: string;
}

function parseSeeds(text: string): number[] {
  const [, first = '', last = first] = /^(\d{1,7})(?:-(\d{1,7}))?$/.exec(text) ?? [];
  const [firstSeed, lastSeed] = [Number(first), Number(last)];
  if (first === '' || lastSeed < firstSeed || lastSeed > MAX_SEED)
    throw new InvalidArgumentError(`expected a seed, or a range like 1-50, up to ${MAX_SEED}`);
  return Array.from({ length: lastSeed - firstSeed + 1 }, (_, index) => firstSeed + index);
}

function parseJobs(text: string): number {
  const jobs = Number(text);
  if (!/^\d{1,2}$/.test(text) || jobs < 1 || jobs > MAX_JOBS)
    throw new InvalidArgumentError(`expected a number from 1 to ${MAX_JOBS}`);
  return jobs;
}

function parseDefect(text: string): string {
  if (!DEFECTS.includes(text)) throw new InvalidArgumentError(`expected one of ${DEFECTS.join(', ')}`);
  return text;
}

/** Lists why a run failed: violations of the rules that could be judged, and failures of the controllers. */
function failuresOf(result: SoakResult): string[] {
  const judged = result.violations.filter(({ rule }) => !result.unjudged || UNTIMED_RULES.includes(rule));
  return [
    ...judged.map(({ rule, atS, detail }) => `${rule} at ${atS.toFixed(1)} s: ${detail}`),
    ...result.invariantLines,
    ...(result.unexpectedEnds > 0 ? [`${result.unexpectedEnds} controllers ended by themselves`] : []),
    ...(result.failedStarts > 0 ? [`${result.failedStarts} controllers could not start`] : []),
    ...(result.figures['starts'] === 0 ? ['no task was started'] : []),
    ...(result.uncaughtErrors > 0 ? [`${result.uncaughtErrors} uncaught errors`] : []),
  ];
}

/** Prints the result of a run. Returns whether it had no failures. */
function report(result: SoakResult): boolean {
  const failures = failuresOf(result);
  const { seed, figures, longestStallMs, unjudged, folder } = result;
  const verdict = failures.length > 0 ? 'failed' : unjudged ? 'not judged' : 'passed';
  const { starts = 0, accepted = 0, done = 0, cancelled = 0 } = figures;
  process.stdout.write(
    `seed ${seed}: ${verdict}; ${starts} starts, ${accepted} accepted, ${done} done, ${cancelled} cancelled; ` +
      `longest stall ${longestStallMs} ms; ${result.faults.join(' ')}\n`,
  );
  for (const failure of failures) process.stdout.write(`  ${failure}\n`);
  if (failures.length > 0)
    process.stdout.write(`  logs and history: ${folder}; again: npm run soak -- --seeds ${seed}\n`);
  return failures.length === 0;
}

/** Runs a seed in a child process. Resolves to null if the process exits without a result. */
function runSeed(seed: number, options: Options, children: Set<ChildProcess>): Promise<SoakResult | null> {
  return new Promise((resolve) => {
    const args = [String(seed), options.out, ...(options.defect === undefined ? [] : [options.defect])];
    const child = fork(RUN_PROGRAM, args, { execArgv: [] });
    children.add(child);
    let result: SoakResult | null = null;
    child.on('message', (message) => (result = message as SoakResult));
    child.on('exit', () => {
      children.delete(child);
      resolve(result);
    });
  });
}

async function runAll(options: Options): Promise<number> {
  const children = new Set<ChildProcess>();
  const stopChildren = (): void => {
    for (const child of children) child.kill('SIGTERM');
    process.exitCode = RULE_BROKEN_EXIT_CODE;
  };
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, stopChildren);
  const remainingSeeds = [...options.seeds];
  const counts = { passed: 0, failed: 0, unjudged: 0, notRun: 0 };
  const runRemainingSeeds = async (): Promise<void> => {
    for (let seed = remainingSeeds.shift(); seed !== undefined; seed = remainingSeeds.shift()) {
      const result = await runSeed(seed, options, children);
      if (!result) {
        counts.notRun += 1;
        process.stderr.write(`soak: seed ${seed} could not be run\n`);
      } else if (!report(result)) counts.failed += 1;
      else if (result.unjudged) counts.unjudged += 1;
      else counts.passed += 1;
    }
  };
  await Promise.all(Array.from({ length: options.jobs }, runRemainingSeeds));
  const { passed, failed, unjudged, notRun } = counts;
  process.stdout.write(
    `soak: ${passed} runs passed, ${failed} failed, ${unjudged} not judged, ${notRun} not run\n`,
  );
  if (failed > 0) return RULE_BROKEN_EXIT_CODE;
  return notRun > 0 ? USAGE_EXIT_CODE : 0;
}

function buildProgram(onOptions: (options: Options) => void): Command {
  return new Command('soak')
    .description('Random faults on real controller processes over loopback, judged by every rule')
    .requiredOption('--seeds <range>', 'a seed, or a range like 1-50', parseSeeds)
    .option('--jobs <number>', 'runs at once', parseJobs, DEFAULT_JOBS)
    .option('--out <folder>', 'where schedules, logs and histories go', join('target', 'soak-runs'))
    .option('--defect <name>', `shows that a run can fail: ${DEFECTS.join(', ')}`, parseDefect)
    .addHelpText('after', `\nRules: ${RULES.join(', ')}`)
    .exitOverride()
    .action(onOptions);
}

async function main(): Promise<number> {
  const parsed: Options[] = [];
  try {
    buildProgram((options) => parsed.push(options)).parse(process.argv);
  } catch (error) {
    return error instanceof CommanderError && error.exitCode === 0 ? 0 : USAGE_EXIT_CODE;
  }
  if (!existsSync(CONTROLLER_PROGRAM)) {
    process.stderr.write('soak: the controllers are not built: run npm run build\n');
    return USAGE_EXIT_CODE;
  }
  const [options] = parsed;
  return options ? runAll(options) : 0;
}

process.exitCode = await main();
