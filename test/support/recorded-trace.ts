/** Recorded traces: the readable event history of a scenario. UPDATE_TRACES=1 rewrites them. */
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { SimulatedCluster } from './simulated-cluster.js';

/** Returns the path of a trace in the source tree; the test itself runs from the build directory. */
const tracePath = (name: string): string =>
  fileURLToPath(new URL(`../../../test/traces/${name}.txt`, import.meta.url));

export function assertTraceMatches(cluster: SimulatedCluster, name: string): void {
  assert.deepEqual(cluster.violations, [], `rules violated:\n${cluster.traceLines.join('\n')}`);
  const text = `${cluster.traceLines.join('\n')}\n`;
  if (process.env['UPDATE_TRACES'] === '1') writeFileSync(tracePath(name), text);
  assert.equal(text, readFileSync(tracePath(name), 'utf8'), `the trace ${name} differs`);
}
