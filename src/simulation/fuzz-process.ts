/** Child process that runs the schedules it receives, one after another. Started by `fuzz.ts`. */
import { fuzzOne } from './fuzz-run.js';
import type { Rule } from './invariant-checker.js';
import { parseScenario } from './scenario.js';

/** Message from the parent process; `base` is the text of a scenario file, or null. */
export interface FuzzRequest {
  readonly seed: number;
  readonly base: string | null;
  readonly rules: readonly Rule[];
}

process.on('message', (message) => {
  const { seed, base, rules } = message as FuzzRequest;
  const scenario = base === null ? null : parseScenario(base, 'base');
  void fuzzOne(seed, scenario, rules).then((outcome) => process.send?.(outcome));
});
