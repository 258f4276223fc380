/** Tests the simulated repeats of executed requests: commands, writes and rentals. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventQueue, Host } from '../../src/simulation/clock.js';
import { RandomStream } from '../../src/simulation/random.js';
import { RepeatedCommands } from '../../src/simulation/repeated-commands.js';
import { ScenarioError, parseScenario } from '../../src/simulation/scenario.js';
import { Simulation } from '../../src/simulation/simulation.js';
import { StoreService } from '../../src/simulation/store-service.js';
import { millis } from '../../src/model/units.js';

const LEASE_MS = 10_000;

const SCENARIO = `
name = "repeats"
duration_s = 40
[deployment]
zones = ["fjord"]
controllers = ["fjord"]
cloud.capacity = 4
[[deployment.types]]
name = "birch"
cpus = 8
memory_gb = 32
boot_s = 1
[[deployment.teams]]
name = "atlas"
cpus = 40
cpus_max = 40
[[load]]
class = "batch"
team = "atlas"
at_start = 4
`;
const withFault = (fields: string): string => `${SCENARIO}[[faults]]\n${fields}\n`;

test('copies of an answered request arrive later, several times, and none once the fault has ended', async () => {
  const queue = new EventQueue();
  const host = new Host('m-0', null, queue);
  const commands = new RepeatedCommands(LEASE_MS);
  const arrivals: number[] = [];
  const request = { host, execute: () => arrivals.push(queue.now) };
  commands.options = { share: 1, heldUntilControllerEnds: false, random: new RandomStream(1) };
  for (let i = 0; i < 20; i += 1) commands.afterAnswer(request);
  commands.options = null;
  commands.afterAnswer(request);
  await queue.run(3 * LEASE_MS);
  assert.ok(arrivals.length > 20 && arrivals.length <= 60, `${arrivals.length} copies`);
  assert.ok(Math.min(...arrivals) >= 200 && Math.max(...arrivals) > LEASE_MS);
});

test('held copies arrive when a controller ends, and not before', async () => {
  const queue = new EventQueue();
  const host = new Host('m-0', null, queue);
  const commands = new RepeatedCommands(LEASE_MS);
  const arrivals: number[] = [];
  commands.options = { share: 1, heldUntilControllerEnds: true, random: new RandomStream(1) };
  commands.afterAnswer({ host, execute: () => arrivals.push(queue.now) });
  queue.after(5000, () => commands.onControllerEnded());
  await queue.run(LEASE_MS);
  assert.equal(arrivals.length, 1);
  assert.ok((arrivals[0] ?? 0) >= 5000 && (arrivals[0] ?? 0) <= 5050);
});

/** Runs the scenario with the fault; returns the revision of the store at the end and the violations. */
async function runWith(fields: string): Promise<{ revision: number; violations: readonly unknown[] }> {
  const simulation = new Simulation(parseScenario(withFault(fields), 'repeats.toml'), { seed: 3 });
  const { violations } = await simulation.run();
  return { revision: simulation.storeService.table.revision, violations };
}

test('held copies do not reach a machine that has ended', async () => {
  const queue = new EventQueue();
  const host = new Host('m-0', null, queue);
  const commands = new RepeatedCommands(LEASE_MS);
  commands.options = { share: 1, heldUntilControllerEnds: true, random: new RandomStream(1) };
  commands.afterAnswer({ host, execute: () => assert.fail('the machine has ended') });
  host.stop();
  commands.onControllerEnded();
  await queue.run(LEASE_MS);
  assert.equal(host.up, false);
});

test('a repeated transaction is applied again if its conditions hold, and a controller repeats none that do', async () => {
  const queue = new EventQueue();
  const limits = { rps: 10, writeRps: 10, valueKb: 1, txnOps: 1 };
  const store = new StoreService(queue, limits, new RandomStream(1), new Set());
  store.nextTransactionFault = () => ({ kind: 'repeated', delayMs: 1000 });
  let answers = 0;
  const put = (key: string, when: object[]): void =>
    store.serve(
      new Host('n0', null, queue),
      { method: 'POST', path: '/txn', timeout: millis(100), body: { when, apply: [{ put: key, data: 1 }] } },
      () => (answers += 1),
    );
  put('unconditional', []);
  put('conditional', [{ path: 'conditional', entry: 0 }]);
  await queue.run(500);
  assert.deepEqual([answers, store.table.revision], [2, 2]);
  await queue.run(2000);
  assert.deepEqual([answers, store.table.revision], [2, 3]);
  const repeated = await runWith('kind = "repeated_writes"\nshare = 1\nfor_s = 30');
  assert.deepEqual(repeated, await runWith('kind = "repeated_writes"\nshare = 0\nfor_s = 30'));
});

test('a repeated rental rents nothing more, and a repeated deletion deletes nothing else', async () => {
  const simulation = new Simulation(
    parseScenario(withFault('kind = "repeated_requests"\nshare = 1\nfor_s = 30'), 'repeats.toml'),
    { seed: 3, keepTrace: true },
  );
  const { violations, trace } = await simulation.run();
  assert.deepEqual(violations, []);
  assert.ok(trace.filter((line) => line.includes('cloud rents')).length > 0);
  const running = [...simulation.cloud.machines.values()].filter((machine) => machine.removedAt === Infinity);
  assert.ok(running.length <= 4, `${running.length} machines`);
});

test('a malformed fault of repeated requests is rejected with one line that names the field', () => {
  const cases: readonly (readonly [string, RegExp])[] = [
    ['kind = "repeated_commands"\nshare = 1.5', /faults\[0\]\.share: expected at most 1, got 1\.5$/],
    ['kind = "repeated_writes"\nshare = -0.1', /faults\[0\]\.share: expected at least 0, got -0\.1$/],
    ['kind = "repeated_requests"\nfor_s = -1', /faults\[0\]\.for_s: expected at least 0, got -1$/],
    ['kind = "repeated_writes"\nat_failover = true', /faults\[0\]\.at_failover: expected no such field/],
  ];
  for (const [fields, message] of cases)
    assert.throws(
      () => parseScenario(withFault(fields), 'repeats.toml'),
      (error: unknown) => error instanceof ScenarioError && message.test(error.message),
      String(message),
    );
});
