/** Runs one seed in a process of its own, so that one run does not stall another. Sends the result to its parent. */
import type { Defect } from '../../src/simulation/defects.js';
import { soak } from './soak-run.js';

const [seed = '', folder = '', ...defects] = process.argv.slice(2);

// With the parent, or at a signal, the run ends; its controllers are ended with the process.
process.on('disconnect', () => process.exit(0));
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(0));

const result = await soak(Number(seed), folder, defects as Defect[]);
process.send?.(result, () => process.exit(0));
