/** Which machines are rented for the demand that has no capacity. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { InstanceType } from '../../src/cloud/wire.js';
import {
  planScaleOut,
  type CapacityDemand,
  type ScaleOutContext,
} from '../../src/autoscaling/scale-out-plan.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import { buildJobSpec } from '../support/job-specs.js';

const spec = (o: Partial<JobSpec> = {}): JobSpec => buildJobSpec({ tasks: 4, ...o });

const instanceType = (name: string, cpus: number, price: number, spotPrice: number): InstanceType =>
  ({
    name,
    cpus,
    gpus: 0,
    memoryGb: 64,
    cacheGb: 50,
    fetchGbPerS: 1,
    price,
    spotPrice,
    bootS: 30,
    zones: ['east'],
  }) as unknown as InstanceType;

const demand = (changes: Partial<JobSpec>, count: number, waitedMs = 2000): CapacityDemand => ({
  spec: spec(changes),
  requiredZone: null,
  count,
  waitedMs,
});

test('scale-out: cheapest allowed instance type first, refused types skipped, booting machines counted', () => {
  const blocked = new Set<string>();
  const ctx: ScaleOutContext = {
    types: [instanceType('small', 4, 0.4, 0.1), instanceType('large', 8, 0.7, 0.3)],
    zones: [],
    homeZone: 'east' as never,
    pendingMachines: [],
    runningTasks: 0,
    runtimeCorrection: () => 1,
    isBackedOff: (k) => blocked.has(`${k.type}${k.spot}`),
  };
  const plan = (demanded: CapacityDemand, context: ScaleOutContext = ctx): string =>
    planScaleOut([demanded], context)
      .map((w) => `${w.count} ${w.type}${w.spot ? ' spot' : ''}`)
      .join(', ');
  assert.equal(plan(demand({}, 8)), '2 large');
  assert.equal(plan(demand({ spot: true }, 8)), '4 small spot');
  blocked.add('smalltrue');
  assert.equal(plan(demand({ spot: true }, 8)), '2 large spot');
  assert.equal(plan(demand({}, 8, 100)), '', 'too young: a peer may have room');
  const coming = { type: 'large' as never, zone: 'east' as never, spot: false };
  assert.equal(plan(demand({}, 8), { ...ctx, pendingMachines: [coming] }), '1 large');
  assert.equal(plan(demand({}, 8), { ...ctx, pendingMachines: [coming, coming] }), '');
});
