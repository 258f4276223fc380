/** Which machines are requested for tasks that find no capacity. */
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

const spec = (changes: Partial<JobSpec> = {}): JobSpec => buildJobSpec({ tasks: 4, ...changes });

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

test('scale-out requests the cheapest allowed type, skips types in backoff and counts machines that boot', () => {
  const backedOff = new Set<string>();
  const baseContext: ScaleOutContext = {
    types: [instanceType('small', 4, 0.4, 0.1), instanceType('large', 8, 0.7, 0.3)],
    zones: [],
    homeZone: 'east' as never,
    pendingMachines: [],
    runningTasks: 0,
    runtimeCorrection: () => 1,
    isBackedOff: (kind) => backedOff.has(`${kind.type}${kind.spot}`),
  };
  const plan = (demanded: CapacityDemand, context: ScaleOutContext = baseContext): string =>
    planScaleOut([demanded], context)
      .map((decision) => `${decision.count} ${decision.type}${decision.spot ? ' spot' : ''}`)
      .join(', ');
  assert.equal(plan(demand({}, 8)), '2 large');
  assert.equal(plan(demand({ spot: true }, 8)), '4 small spot');
  backedOff.add('smalltrue');
  assert.equal(plan(demand({ spot: true }, 8)), '2 large spot');
  assert.equal(
    plan(demand({}, 8, 100)),
    '',
    'the tasks have waited too briefly: they may still overflow to a peer',
  );
  const pendingMachine = { type: 'large' as never, zone: 'east' as never, spot: false };
  assert.equal(plan(demand({}, 8), { ...baseContext, pendingMachines: [pendingMachine] }), '1 large');
  assert.equal(
    plan(demand({}, 8), { ...baseContext, pendingMachines: [pendingMachine, pendingMachine] }),
    '',
  );
});
