/**
 * One soak run: real controller processes on loopback use the simulator's store, cloud, workers, users and faults in real
 * time. The simulator's invariant checker judges the run.
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

/** Rules with time limits are not judged if the test harness stalled for longer. */
const MAX_STALL_MS = 400;
const SMALL_PAGE_KEYS = 25;
const SHORT_HISTORY_CHANGES = 150;

/** The result of one run. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly violations: readonly Violation[];
  /** Lines with the message `invariant violated` in the controllers' logs. */
  readonly invariantLines: readonly string[];
  /** Exits of controllers that the run did not cause. */
  readonly unexpectedEnds: number;
  /** Uncaught exceptions and unhandled rejections in the controllers' logs. */
  readonly uncaughtErrors: number;
  /** Failed starts of controllers: without its controllers the run proves nothing. */
  readonly failedStarts: number;
  readonly longestStallMs: number;
  /** Whether the test harness stalled for too long to judge rules with time limits. */
  readonly unjudged: boolean;
  readonly figures: Readonly<Record<string, number>>;
  /** The folder with the settings, logs and history of the run. */
  readonly folder: string;
}

function readLogs(folder: string, nodes: readonly ProcessNode[]): string[] {
  return nodes.flatMap((node) => readFileSync(join(folder, `${node.name}.log`), 'utf8').split('\n'));
}

/**
 * Configures the store with small pages and a short history: a few hundred keys fill many pages, and a controller that is
 * disconnected for a while must list all keys again.
 */
function listInSmallPages({ storeService }: Simulation): void {
  storeService.maxListedKeys = SMALL_PAGE_KEYS;
  storeService.table.minKeptChanges = SHORT_HISTORY_CHANGES;
}

/** Records which controller acquires which fencing token, as committed by the store. */
function recordAcquiredTokens({ storeService }: Simulation, surroundings: SoakSurroundings): void {
  const { onCommit } = storeService;
  storeService.onCommit = (body, from) => {
    for (const change of body.apply ?? []) {
      const token = (change.data as { token?: number } | undefined)?.token;
      if (change.put?.startsWith(SHARDS_PREFIX) && token !== undefined) surroundings.recordToken(token, from);
    }
    onCommit(body, from);
  };
}

/** Runs the schedule of a seed. `defects` make services and workers violate the protocol, to show that a run can fail. */
export async function runSoak(
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
  const simulation = new Simulation(scenario, {
    seed,
    keepTrace: true,
    defects,
    runEnvironment: surroundings,
  });
  if (seed % 2 === 0) listInSmallPages(simulation);
  recordAcquiredTokens(simulation, surroundings);
  await surroundings.openServices(simulation);
  const result = await simulation.run();
  surroundings.close();
  writeFileSync(join(folder, 'history.txt'), `${result.trace.join('\n')}\n`);
  return {
    seed,
    faults: scenario.faults.map((fault) => fault.kind),
    ...collectResult(result, surroundings, folder),
  };
}

/** Collects the result from the simulation and from the logs of the controllers. */
function collectResult(
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
