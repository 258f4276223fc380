import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MachineId } from '../../src/model/units.js';
import { RetiredMachines } from '../../src/shards/retired-machines.js';

const machine = (index: number): MachineId => `m-${index}` as MachineId;

const retire = (count: number, registered: number): RetiredMachines => {
  const retired = new RetiredMachines({ size: registered });
  for (let index = 0; index < count; index += 1) retired.add(machine(index));
  return retired;
};

test('a retired machine is remembered, and another machine is not', () => {
  const retired = retire(1, 0);
  assert.deepEqual([retired.has(machine(0)), retired.has(machine(1))], [true, false]);
});

test('in a small cluster the last 5000 retired machines are remembered', () => {
  const retired = retire(5001, 10);
  assert.deepEqual(
    [0, 1, 5000].map((index) => retired.has(machine(index))),
    [false, true, true],
  );
});

test('in a large cluster as many retired machines are remembered as machines are registered', () => {
  const retired = retire(6001, 6000);
  assert.deepEqual(
    [0, 1, 6000].map((index) => retired.has(machine(index))),
    [false, true, true],
  );
});
