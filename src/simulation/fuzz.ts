/** Runs many random schedules in several processes. The schedules depend only on the first seed and the base. */
import { fork, type ChildProcess } from 'node:child_process';
import type { FuzzOutcome } from './fuzz-run.js';
import type { FuzzRequest } from './fuzz-process.js';
import type { Rule } from './invariant-checker.js';
import { formatScenario, type Scenario } from './scenario.js';

/** Options of `fuzz`: `jobs` is the number of concurrent processes; deployment and load of `base`, if any, are kept. */
export interface FuzzOptions {
  readonly firstSeed: number;
  readonly runs: number;
  readonly jobs: number;
  readonly base: Scenario | null;
  readonly rules: readonly Rule[];
  readonly onOutcome: (outcome: FuzzOutcome) => void;
}

/** Sends schedules to one child process, one at a time, until none is left. */
function runSchedules(
  child: ChildProcess,
  nextRequest: () => FuzzRequest | null,
  onOutcome: FuzzOptions['onOutcome'],
): Promise<void> {
  return new Promise((resolve, reject) => {
    let finished = false;
    const send = (): void => {
      const request = nextRequest();
      if (request) child.send(request);
      else {
        finished = true;
        child.disconnect();
      }
    };
    child.on('message', (outcome) => {
      onOutcome(outcome as FuzzOutcome);
      send();
    });
    child.on('error', reject);
    child.on('exit', (code) => {
      if (finished) resolve();
      else reject(new Error(`a fuzz process ended early (${code})`));
    });
    send();
  });
}

/** Runs all schedules and returns their outcomes in the order of their seeds. */
export async function fuzz(options: FuzzOptions): Promise<FuzzOutcome[]> {
  const base = options.base === null ? null : formatScenario(options.base);
  const outcomes: FuzzOutcome[] = [];
  let started = 0;
  const nextRequest = (): FuzzRequest | null => {
    if (started >= options.runs) return null;
    started += 1;
    return { seed: options.firstSeed + started - 1, base, rules: options.rules };
  };
  const program = new URL('./fuzz-process.js', import.meta.url);
  const jobs = Math.max(1, Math.min(options.jobs, options.runs));
  const children = Array.from({ length: jobs }, () => fork(program, { execArgv: [] }));
  await Promise.all(
    children.map((child) =>
      runSchedules(child, nextRequest, (outcome) => {
        outcomes.push(outcome);
        options.onOutcome(outcome);
      }),
    ),
  );
  return outcomes.sort((a, b) => a.seed - b.seed);
}
