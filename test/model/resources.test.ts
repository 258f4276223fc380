/** Arithmetic of resource vectors where rounding, missing resources and ties matter. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  asCpus,
  dominantKind,
  dominantShare,
  fits,
  freeAsCpus,
  largestOf,
  sizeOf,
  taskSlots,
  ZERO,
} from '../../src/model/resources.js';

const MACHINE = { cpus: 16, gpus: 2, memoryGb: 64 };
const WITHOUT_GPU = { cpus: 16, gpus: 0, memoryGb: 64 };

test('a need fits what is free in spite of the rounding of sums, and not by more', () => {
  const free = { ...ZERO, cpus: 0.3 };
  assert.equal(fits({ ...ZERO, cpus: 0.1 + 0.2 }, free), true);
  assert.equal(fits({ ...ZERO, cpus: 0.301 }, free), false);
});

test('the scarcest resource decides how many tasks fit', () => {
  assert.equal(taskSlots(MACHINE, { cpus: 2, gpus: 1, memoryGb: 4 }), 2);
  assert.equal(taskSlots(WITHOUT_GPU, { cpus: 2, gpus: 1, memoryGb: 4 }), 0);
});

test('the dominant resource is the one of which the largest share is needed, CPUs among equals', () => {
  assert.equal(dominantKind({ cpus: 4, gpus: 1, memoryGb: 8 }, MACHINE), 'gpus');
  assert.equal(dominantKind({ cpus: 4, gpus: 0, memoryGb: 16 }, MACHINE), 'cpus');
  assert.equal(dominantShare({ cpus: 4, gpus: 1, memoryGb: 8 }, MACHINE), 0.5);
});

test('what a machine has nothing of does not count for the dominant share', () => {
  assert.equal(dominantShare({ cpus: 4, gpus: 1, memoryGb: 8 }, WITHOUT_GPU), 0.25);
});

test('a size in CPUs is the dominant share of the machine', () => {
  assert.equal(asCpus({ cpus: 4, gpus: 1, memoryGb: 8 }, MACHINE), 8);
  assert.equal(
    freeAsCpus({ cpus: 12, gpus: 1, memoryGb: 64 }, MACHINE, { cpus: 1, gpus: 1, memoryGb: 1 }),
    8,
  );
  assert.equal(
    freeAsCpus({ cpus: 12, gpus: 1, memoryGb: 64 }, MACHINE, { cpus: 1, gpus: 0, memoryGb: 1 }),
    12,
  );
});

test('the size of a task is that on the instance type that suits it best, or its CPUs if it fits none', () => {
  assert.equal(sizeOf({ cpus: 2, gpus: 0, memoryGb: 32 }, [MACHINE, { cpus: 4, gpus: 0, memoryGb: 64 }]), 2);
  assert.equal(sizeOf({ cpus: 99, gpus: 0, memoryGb: 1 }, [MACHINE]), 99);
});

test('the largest of each resource may come from different types', () => {
  assert.deepEqual(largestOf([WITHOUT_GPU, { cpus: 1, gpus: 8, memoryGb: 1 }]), {
    cpus: 16,
    gpus: 8,
    memoryGb: 64,
  });
});
