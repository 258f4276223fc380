/** Kept traces: what a scenario did, as text that people read. UPDATE_TRACES=1 writes them anew. */
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import type { World } from './world.js';

/** Traces are kept beside the sources, not in what was built. */
const fileOf = (name: string): string =>
  fileURLToPath(new URL(`../../../test/traces/${name}.txt`, import.meta.url));

export function checkTrace(world: World, name: string): void {
  assert.deepEqual(world.broken, [], `rules broken:\n${world.lines.join('\n')}`);
  const text = `${world.lines.join('\n')}\n`;
  if (process.env['UPDATE_TRACES'] === '1') writeFileSync(fileOf(name), text);
  assert.equal(text, readFileSync(fileOf(name), 'utf8'), `the trace ${name} differs`);
}
