/** Replays shrunk schedules that once broke a rule: each must break none. Those that still do are listed in KNOWN-RED.txt. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { parseScenario } from '../../src/simulation/scenario.js';
import { Simulation } from '../../src/simulation/simulation.js';

const SCHEDULES = fileURLToPath(new URL('../../../test/schedules/', import.meta.url));

for (const file of readdirSync(SCHEDULES).filter((name) => name.endsWith('.toml')))
  test(`schedule ${file} breaks no rule`, async () => {
    const scenario = parseScenario(readFileSync(`${SCHEDULES}${file}`, 'utf8'), file);
    const { violations } = await new Simulation(scenario, { seed: scenario.seed }).run();
    assert.deepEqual(violations, []);
  });
