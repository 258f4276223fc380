/** Runs one seed in a separate process, so that runs do not stall each other. Sends the result to the parent process. */
import type { Defect } from '../../src/simulation/defects.js';
import { runSoak } from './soak-run.js';

const [seed = '', folder = '', ...defects] = process.argv.slice(2);

// The run ends when the parent exits or at a signal; the exit handler of the run kills its controllers.
process.on('disconnect', () => process.exit(0));
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(0));

const result = await runSoak(Number(seed), folder, defects as Defect[]);
process.send?.(result, () => process.exit(0));
