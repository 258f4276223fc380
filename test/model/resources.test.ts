/** Arithmetic of resource vectors, in particular rounding, missing resources and ties. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  cpuEquivalent,
  dominantKind,
  dominantShare,
  fits,
  freeCpuEquivalent,
  largestPerResource,
  taskSizeInCpus,
  taskSlots,
  ZERO,
} from '../../src/model/resources.js';

const MACHINE = { cpus: 16, gpus: 2, memoryGb: 64 };
const WITHOUT_GPU = { cpus: 16, gpus: 0, memoryGb: 64 };

test('a need fits into the free amount within the rounding tolerance, but not beyond it', () => {
  const free = { ...ZERO, cpus: 0.3 };
  assert.equal(fits({ ...ZERO, cpus: 0.1 + 0.2 }, free), true);
  assert.equal(fits({ ...ZERO, cpus: 0.301 }, free), false);
});

test('the scarcest resource decides how many tasks fit', () => {
  assert.equal(taskSlots(MACHINE, { cpus: 2, gpus: 1, memoryGb: 4 }), 2);
  assert.equal(taskSlots(WITHOUT_GPU, { cpus: 2, gpus: 1, memoryGb: 4 }), 0);
});

test('the dominant resource is the one with the largest share, and CPUs win ties', () => {
  assert.equal(dominantKind({ cpus: 4, gpus: 1, memoryGb: 8 }, MACHINE), 'gpus');
  assert.equal(dominantKind({ cpus: 4, gpus: 0, memoryGb: 16 }, MACHINE), 'cpus');
  assert.equal(dominantShare({ cpus: 4, gpus: 1, memoryGb: 8 }, MACHINE), 0.5);
});

test('resources that a machine does not have are ignored in the dominant share', () => {
  assert.equal(dominantShare({ cpus: 4, gpus: 1, memoryGb: 8 }, WITHOUT_GPU), 0.25);
});

test('the CPU equivalent of an amount is its dominant share times the CPUs of the machine', () => {
  assert.equal(cpuEquivalent({ cpus: 4, gpus: 1, memoryGb: 8 }, MACHINE), 8);
  assert.equal(
    freeCpuEquivalent({ cpus: 12, gpus: 1, memoryGb: 64 }, MACHINE, { cpus: 1, gpus: 1, memoryGb: 1 }),
    8,
  );
  assert.equal(
    freeCpuEquivalent({ cpus: 12, gpus: 1, memoryGb: 64 }, MACHINE, { cpus: 1, gpus: 0, memoryGb: 1 }),
    12,
  );
});

test('the size of a task is measured on the instance type that fits it best, or is its CPUs if it fits none', () => {
  assert.equal(
    taskSizeInCpus({ cpus: 2, gpus: 0, memoryGb: 32 }, [MACHINE, { cpus: 4, gpus: 0, memoryGb: 64 }]),
    2,
  );
  assert.equal(taskSizeInCpus({ cpus: 99, gpus: 0, memoryGb: 1 }, [MACHINE]), 99);
});

test('the largest amounts of different resources may come from different types', () => {
  assert.deepEqual(largestPerResource([WITHOUT_GPU, { cpus: 1, gpus: 8, memoryGb: 1 }]), {
    cpus: 16,
    gpus: 8,
    memoryGb: 64,
  });
});
