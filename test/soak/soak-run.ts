/**
 * One soak run: real controller processes on loopback, with the simulator's store, cloud, workers, users and faults around
 * them on a real clock, judged by the simulator's invariant checker.
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Defect } from '../../src/simulation/defects.js';
import type { Violation } from '../../src/simulation/invariant-checker.js';
import { formatScenario } from '../../src/simulation/scenario.js';
import { Simulation, type SimulationResult } from '../../src/simulation/simulation.js';
import { SHARDS_PREFIX } from '../../src/shards/codec.js';
import { reserveNetworks } from './loopback-networks.js';
import type { ProcessNode } from './process-node.js';
import { soakScenario } from './soak-scenario.js';
import { SoakSurroundings } from './soak-surroundings.js';

/** Rules with time limits are not judged after a longer stall of the harness. */
const MAX_STALL_MS = 400;
const SMALL_PAGE_KEYS = 25;
const SHORT_HISTORY_CHANGES = 150;

/** What one run has shown. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly violations: readonly Violation[];
  /** Lines `invariant violated` in the controllers' logs. */
  readonly invariantLines: readonly string[];
  /** Controllers that ended by themselves, and uncaught errors in their logs. */
  readonly unexpectedEnds: number;
  readonly uncaughtErrors: number;
  /** Controllers that could not start, and without which the run says nothing. */
  readonly failedStarts: number;
  readonly longestStallMs: number;
  /** The harness stalled too long for rules with time limits. */
  readonly unjudged: boolean;
  readonly figures: Readonly<Record<string, number>>;
  /** Settings, logs and history of the run. */
  readonly folder: string;
}

function readLogs(folder: string, nodes: readonly ProcessNode[]): string[] {
  return nodes.flatMap((node) => readFileSync(join(folder, `${node.name}.log`), 'utf8').split('\n'));
}

/** A few hundred keys make many pages, and a controller that is away for a while must list anew. */
function listInSmallPages({ storeService }: Simulation): void {
  storeService.maxListedKeys = SMALL_PAGE_KEYS;
  storeService.table.minKeptChanges = SHORT_HISTORY_CHANGES;
}

/** Learns from the store which controller acquires which fencing token. */
function followTokens({ storeService }: Simulation, surroundings: SoakSurroundings): void {
  const { onCommit } = storeService;
  storeService.onCommit = (body, from) => {
    for (const change of body.apply ?? []) {
      const token = (change.data as { token?: number } | undefined)?.token;
      if (change.put?.startsWith(SHARDS_PREFIX) && token !== undefined) surroundings.recordToken(token, from);
    }
    onCommit(body, from);
  };
}

/** Runs the schedule of a seed. `defects` make the surroundings break their promises, to show that a run can fail. */
export async function soak(
  seed: number,
  parentFolder: string,
  defects: readonly Defect[] = [],
): Promise<SoakResult> {
  const folder = join(parentFolder, `seed-${seed}`);
  mkdirSync(folder, { recursive: true });
  const scenario = soakScenario(seed);
  writeFileSync(join(folder, 'schedule.toml'), formatScenario(scenario));
  const surroundings = new SoakSurroundings(folder, await reserveNetworks());
  const endProcesses = (): void => surroundings.close();
  process.once('exit', endProcesses);
  const simulation = new Simulation(scenario, { seed, keepTrace: true, defects, surroundings });
  if (seed % 2 === 0) listInSmallPages(simulation);
  followTokens(simulation, surroundings);
  await surroundings.openServices(simulation);
  const result = await simulation.run();
  surroundings.close();
  writeFileSync(join(folder, 'history.txt'), `${result.trace.join('\n')}\n`);
  return { seed, faults: scenario.faults.map((fault) => fault.kind), ...judge(result, surroundings, folder) };
}

/** What the run has shown, in its history and in the logs of its controllers. */
function judge(
  result: SimulationResult,
  { nodes, queue: { longestStallMs } }: SoakSurroundings,
  folder: string,
): Omit<SoakResult, 'seed' | 'faults'> {
  const lines = readLogs(folder, nodes);
  return {
    violations: result.violations,
    invariantLines: lines.filter((line) => line.includes('"invariant violated"')),
    unexpectedEnds: nodes.reduce((sum, node) => sum + node.unexpectedEnds, 0),
    uncaughtErrors: lines.filter((line) => /uncaught exception|unhandled rejection/.test(line)).length,
    failedStarts: lines.filter((line) => line.includes('start failed')).length,
    longestStallMs: Math.round(longestStallMs),
    unjudged: longestStallMs > MAX_STALL_MS,
    figures: result.figures,
    folder,
  };
}
