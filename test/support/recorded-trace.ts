/** Kept traces: what a scenario did, as text that people read. UPDATE_TRACES=1 writes them anew. */
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { SimulatedCluster } from './simulated-cluster.js';

/** Traces are kept beside the sources, not in what was built. */
const tracePath = (name: string): string =>
  fileURLToPath(new URL(`../../../test/traces/${name}.txt`, import.meta.url));

export function assertTraceMatches(cluster: SimulatedCluster, name: string): void {
  assert.deepEqual(cluster.violations, [], `rules broken:\n${cluster.traceLines.join('\n')}`);
  const text = `${cluster.traceLines.join('\n')}\n`;
  if (process.env['UPDATE_TRACES'] === '1') writeFileSync(tracePath(name), text);
  assert.equal(text, readFileSync(tracePath(name), 'utf8'), `the trace ${name} differs`);
}
