/** A process of its own that runs the schedules it is sent, one after another. Started by `fuzz.ts`. */
import { fuzzOne } from './fuzz-run.js';
import type { Rule } from './invariant-checker.js';
import { parseScenario } from './scenario.js';

/** What the parent sends: a seed, and a scenario file's text or none. */
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
