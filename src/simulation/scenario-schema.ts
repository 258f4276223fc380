/**
 * Schema of scenario files: a deployment, a load and a schedule of faults, with the defaults of all fields. Stored
 * scenarios rely on the names and the defaults.
 */
import * as v from 'valibot';

const nonNegativeNumber = v.pipe(
  v.number('a number'),
  v.finite('a finite number'),
  v.minValue(0, 'at least 0'),
);
const positiveNumber = v.pipe(v.number('a number'), v.finite('a finite number'), v.gtValue(0, 'more than 0'));
const nonNegativeInteger = v.pipe(
  v.number('a whole number'),
  v.integer('a whole number'),
  v.minValue(0, 'at least 0'),
);
const positiveInteger = v.pipe(
  v.number('a whole number'),
  v.integer('a whole number'),
  v.minValue(1, 'at least 1'),
);
const fraction = v.pipe(v.number('a share'), v.minValue(0, 'at least 0'), v.maxValue(1, 'at most 1'));
const nonEmptyString = v.pipe(v.string('a text'), v.nonEmpty('a text that is not empty'));
const optionalFlag = v.optional(v.boolean('true or false'), false);
const range = v.tuple([nonNegativeNumber, nonNegativeNumber], 'two numbers: least and most');

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

/** Events that can trigger a fault; `nth` counts the events after `at_s`. */
const EVENTS = [
  'part_claimed',
  'commit',
  'accepted',
  'cancel_confirmed',
  'job_done',
  'task_started',
  'gang_gathers',
  'gang_started',
  'controller_started',
  'controller_ended',
] as const;

const timing = {
  at_s: v.optional(nonNegativeNumber, 0),
  on: v.optional(v.picklist(EVENTS, `one of ${EVENTS.join(', ')}`)),
  /** With `on = "commit"`: the prefix of a committed key. */
  key: v.optional(nonEmptyString),
  nth: v.optional(positiveInteger, 1),
  after_ms: v.optional(nonNegativeNumber, 0),
};
/** Timing of a fault that lasts for a while. */
const timespan = { ...timing, for_s: v.optional(nonNegativeNumber, 10) };
/** A controller by index, or the controller of the event; by default a random one. */
const nodeSelector = {
  node: v.optional(v.union([nonNegativeInteger, v.literal('event')], 'a number or "event"')),
};
/** Machines by count, share or zone, or the machine of the event; by default one random machine. */
const machineSelector = {
  count: v.optional(positiveInteger),
  share: v.optional(fraction),
  zone: v.optional(nonEmptyString),
  machine: v.optional(v.literal('event', '"event"')),
};
const mode = { mode: v.optional(v.picklist(['drop', 'hold', 'refuse'], 'drop, hold or refuse'), 'hold') };

const faultKind = <K extends string, T extends v.ObjectEntries>(kind: K, entries: T) =>
  v.strictObject({ kind: v.literal(kind), ...entries });

const faultSchema = v.variant('kind', [
  faultKind('controller_end', { ...timing, ...nodeSelector, restart_s: v.optional(nonNegativeNumber) }),
  faultKind('all_controllers_end', { ...timing, restart_s: v.optional(nonNegativeNumber) }),
  faultKind('controllers_restart', { ...timing, gap_s: v.optional(positiveNumber, 8) }),
  faultKind('controller_pause', { ...timespan, ...nodeSelector }),
  faultKind('node_cut', {
    ...timespan,
    ...nodeSelector,
    ...mode,
    from_state: optionalFlag,
    from_peers: optionalFlag,
    from_workers: optionalFlag,
    from_users: optionalFlag,
  }),
  faultKind('peers_refused', timespan),
  faultKind('zone_cut', { ...timespan, ...mode, zone: nonEmptyString }),
  faultKind('zones_cut', { ...timespan, ...mode, zone: nonEmptyString, other_zone: nonEmptyString }),
  faultKind('state_outage', timespan),
  faultKind('state_refuses', { ...timespan, ...nodeSelector }),
  faultKind('state_slow', { ...timespan, slow_ms: v.optional(positiveNumber, 400) }),
  faultKind('late_writes', { ...timespan, share: v.optional(fraction, 0.3), at_once: optionalFlag }),
  faultKind('late_reports', { ...timespan, share: v.optional(fraction, 0.3), for_next: optionalFlag }),
  faultKind('late_commands', { ...timespan, share: v.optional(fraction, 0.3) }),
  faultKind('cloud_outage', timespan),
  faultKind('cloud_empty', timespan),
  faultKind('late_rentals', { ...timespan, share: v.optional(fraction, 0.5) }),
  faultKind('fast_boots', timespan),
  faultKind('machine_deaf', { ...timespan, ...machineSelector }),
  faultKind('machine_mute', { ...timespan, ...machineSelector }),
  faultKind('machine_cut', { ...timespan, ...mode, ...machineSelector }),
  faultKind('machine_hang', { ...timespan, ...machineSelector }),
  faultKind('machine_sick', { ...timespan, ...machineSelector }),
  faultKind('machine_slow', { ...timespan, ...machineSelector, times: v.optional(positiveNumber, 3) }),
  faultKind('machine_end', { ...timing, ...machineSelector }),
  faultKind('spot_wave', { ...timing, ...machineSelector, notice_s: v.optional(nonNegativeNumber, 10) }),
  faultKind('cancel_now', {
    ...timing,
    count: v.optional(positiveInteger, 1),
    hang_s: v.optional(nonNegativeNumber, 0),
  }),
  faultKind('cancel_at_end', { ...timespan, share: v.optional(fraction, 0.3) }),
  faultKind('odd_requests', timespan),
  faultKind('close_looks', timespan),
  faultKind('surge', { ...timespan, class: nonEmptyString, times: v.optional(positiveNumber, 4) }),
]);

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
/** Name of an event that can trigger a fault. */
export type EventName = (typeof EVENTS)[number];
