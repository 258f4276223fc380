/**
 * Schema of scenario files: a deployment, a load and a schedule of faults, with the defaults of all fields. Stored
 * scenarios rely on the names and the defaults.
 */
import * as v from 'valibot';
import { faultSchema } from './fault-schema.js';
import {
  fraction,
  nonEmptyString,
  nonNegativeInteger,
  nonNegativeNumber,
  optionalFlag,
  positiveInteger,
  positiveNumber,
  range,
} from './scenario-values.js';

const deploymentSchema = v.strictObject({
  zones: v.pipe(v.array(nonEmptyString, 'a list of zones'), v.minLength(1, 'at least one zone')),
  /** The zone of each controller. */
  controllers: v.pipe(v.array(nonEmptyString, 'a list of zones'), v.minLength(1, 'at least one controller')),
  restart_s: v.optional(nonNegativeNumber, 4),
  report_s: v.optional(positiveNumber, 2),
  lease_s: v.optional(positiveNumber, 14),
  cancel_s: v.optional(positiveNumber, 34),
  /** How long a gang's task waits for the others to start, and the time within which it detects the loss of another. */
  gang_wait_s: v.optional(positiveNumber, 20),
  gang_peer_s: v.optional(positiveNumber, 5),
  max_connections: v.optional(positiveInteger, 1500),
  /** Operators' properties, one per line. */
  properties: v.optional(v.string('a text'), ''),
  state: v.optional(
    v.strictObject({
      rps: v.optional(positiveNumber, 150),
      write_rps: v.optional(positiveNumber, 25),
      value_kb: v.optional(positiveNumber, 8),
      txn_ops: v.optional(positiveInteger, 16),
    }),
    {},
  ),
  cloud: v.optional(
    v.strictObject({
      rps: v.optional(positiveNumber, 6),
      list_lag_s: v.optional(nonNegativeNumber, 4),
      /** Maximum number of machines per type and zone, spot and on-demand each. */
      capacity: v.optional(nonNegativeInteger, 20),
    }),
    {},
  ),
  network: v.optional(
    v.strictObject({
      same_zone_ms: v.optional(positiveNumber, 0.4),
      cross_zone_ms: v.optional(positiveNumber, 1.1),
      jitter: v.optional(nonNegativeNumber, 0.5),
      loss: v.optional(fraction, 0.0005),
    }),
    {},
  ),
  types: v.pipe(
    v.array(
      v.strictObject({
        name: nonEmptyString,
        cpus: positiveNumber,
        gpus: v.optional(nonNegativeNumber, 0),
        memory_gb: positiveNumber,
        cache_gb: v.optional(positiveNumber, 60),
        fetch_gb_per_s: v.optional(positiveNumber, 1),
        price: v.optional(positiveNumber, 1),
        spot_price: v.optional(positiveNumber, 0.4),
        boot_s: v.optional(positiveNumber, 15),
        zones: v.optional(v.array(nonEmptyString)),
      }),
    ),
    v.minLength(1, 'at least one type'),
  ),
  teams: v.array(
    v.strictObject({
      name: nonEmptyString,
      cpus: v.optional(nonNegativeNumber, 0),
      cpus_max: v.optional(nonNegativeNumber, 0),
      gpus: v.optional(nonNegativeNumber, 0),
      gpus_max: v.optional(nonNegativeNumber, 0),
    }),
  ),
  /** Machines that are running at the start. */
  machines: v.optional(
    v.array(
      v.strictObject({
        type: nonEmptyString,
        zone: nonEmptyString,
        spot: optionalFlag,
        count: positiveInteger,
      }),
    ),
    [],
  ),
});

const loadSchema = v.strictObject({
  class: nonEmptyString,
  team: nonEmptyString,
  shape: v.optional(v.picklist(['array', 'gang', 'service'], 'array, gang or service'), 'array'),
  priority: v.optional(v.picklist(['critical', 'urgent', 'standard', 'best_effort']), 'standard'),
  tasks: v.optional(range, [1, 1]),
  cpus: v.optional(positiveNumber, 1),
  gpus: v.optional(nonNegativeNumber, 0),
  memory_gb: v.optional(nonNegativeNumber, 1),
  run_s: v.optional(range, [5, 20]),
  images: v.optional(positiveInteger, 3),
  image_gb: v.optional(positiveNumber, 1),
  per_minute: v.optional(nonNegativeNumber, 0),
  at_start: v.optional(nonNegativeInteger, 0),
  until_s: v.optional(positiveNumber, 1e9),
  /** Share of jobs that their users cancel, and the time of the cancellation after the job was accepted. */
  cancel_share: v.optional(fraction, 0),
  cancel_after_s: v.optional(range, [1, 30]),
  types: v.optional(v.array(nonEmptyString)),
  zone: v.optional(nonEmptyString),
  same_zone: optionalFlag,
  spread: optionalFlag,
  spot: optionalFlag,
  checkpoint_s: v.optional(nonNegativeNumber, 0),
  save_s: v.optional(nonNegativeNumber, 0),
});

/** Schema of a whole scenario file. */
export const scenarioSchema = v.strictObject({
  name: nonEmptyString,
  seed: v.optional(nonNegativeInteger, 1),
  duration_s: v.optional(positiveNumber, 180),
  deployment: deploymentSchema,
  load: v.pipe(v.array(loadSchema), v.minLength(1, 'at least one load')),
  faults: v.optional(v.array(faultSchema), []),
});

/** A validated scenario with all defaults filled in; its field names are those of the file. */
export type Scenario = v.InferOutput<typeof scenarioSchema>;
/** A scenario as written in a file; fields with defaults may be omitted. */
export type ScenarioInput = v.InferInput<typeof scenarioSchema>;
/** The deployment of a scenario: zones, controllers, limits, teams and machines. */
export type Deployment = Scenario['deployment'];
/** One class of jobs and its arrival rate. */
export type Load = Scenario['load'][number];
/** One fault; `kind` selects its fields. */
export type Fault = Scenario['faults'][number];
/** A fault as written in a file; fields with defaults may be omitted. */
export type FaultInput = NonNullable<ScenarioInput['faults']>[number];
