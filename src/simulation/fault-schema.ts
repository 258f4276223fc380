/** Schema of the faults in scenario files: kinds, fields and defaults, on which stored scenarios rely. */
import * as v from 'valibot';
import {
  fraction,
  nonEmptyString,
  nonNegativeInteger,
  nonNegativeNumber,
  optionalFlag,
  positiveInteger,
  positiveNumber,
} from './scenario-values.js';

const DEFAULT_DURATION_S = 10;
const DEFAULT_SHARE = 0.3;
const DEFAULT_RENTAL_SHARE = 0.5;
const DEFAULT_RESTART_GAP_S = 8;
const DEFAULT_SLOW_MS = 400;
const DEFAULT_NOTICE_S = 10;
/** Default factors of a slow machine's run times and of a surge's arrivals. */
const DEFAULT_SLOWNESS = 3;
const DEFAULT_SURGE = 4;

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

/** Name of an event that can trigger a fault. */
export type EventName = (typeof EVENTS)[number];

const timing = {
  at_s: v.optional(nonNegativeNumber, 0),
  on: v.optional(v.picklist(EVENTS, `one of ${EVENTS.join(', ')}`)),
  /** With `on = "commit"`: the prefix of a committed key. */
  key: v.optional(nonEmptyString),
  nth: v.optional(positiveInteger, 1),
  after_ms: v.optional(nonNegativeNumber, 0),
};
/** Timing of a fault that lasts for a while. */
const timespan = { ...timing, for_s: v.optional(nonNegativeNumber, DEFAULT_DURATION_S) };
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

/** Schema of one fault; `kind` selects its fields. */
export const faultSchema = v.variant('kind', [
  faultKind('controller_end', { ...timing, ...nodeSelector, restart_s: v.optional(nonNegativeNumber) }),
  faultKind('all_controllers_end', { ...timing, restart_s: v.optional(nonNegativeNumber) }),
  faultKind('controllers_restart', { ...timing, gap_s: v.optional(positiveNumber, DEFAULT_RESTART_GAP_S) }),
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
  faultKind('state_slow', { ...timespan, slow_ms: v.optional(positiveNumber, DEFAULT_SLOW_MS) }),
  faultKind('late_writes', {
    ...timespan,
    share: v.optional(fraction, DEFAULT_SHARE),
    at_once: optionalFlag,
  }),
  faultKind('late_reports', {
    ...timespan,
    share: v.optional(fraction, DEFAULT_SHARE),
    for_next: optionalFlag,
  }),
  faultKind('late_commands', { ...timespan, share: v.optional(fraction, DEFAULT_SHARE) }),
  faultKind('repeated_commands', {
    ...timespan,
    share: v.optional(fraction, DEFAULT_SHARE),
    at_failover: optionalFlag,
  }),
  faultKind('repeated_writes', { ...timespan, share: v.optional(fraction, DEFAULT_SHARE) }),
  faultKind('repeated_requests', { ...timespan, share: v.optional(fraction, DEFAULT_SHARE) }),
  faultKind('cloud_outage', timespan),
  faultKind('cloud_empty', timespan),
  faultKind('late_rentals', { ...timespan, share: v.optional(fraction, DEFAULT_RENTAL_SHARE) }),
  faultKind('fast_boots', timespan),
  faultKind('machine_deaf', { ...timespan, ...machineSelector }),
  faultKind('machine_mute', { ...timespan, ...machineSelector }),
  faultKind('machine_cut', { ...timespan, ...mode, ...machineSelector }),
  faultKind('machine_hang', { ...timespan, ...machineSelector }),
  faultKind('machine_sick', { ...timespan, ...machineSelector }),
  faultKind('machine_slow', {
    ...timespan,
    ...machineSelector,
    times: v.optional(positiveNumber, DEFAULT_SLOWNESS),
  }),
  faultKind('machine_end', { ...timing, ...machineSelector }),
  faultKind('spot_wave', {
    ...timing,
    ...machineSelector,
    notice_s: v.optional(nonNegativeNumber, DEFAULT_NOTICE_S),
  }),
  faultKind('cancel_now', {
    ...timing,
    count: v.optional(positiveInteger, 1),
    hang_s: v.optional(nonNegativeNumber, 0),
  }),
  faultKind('cancel_at_end', { ...timespan, share: v.optional(fraction, DEFAULT_SHARE) }),
  faultKind('odd_requests', timespan),
  faultKind('close_looks', timespan),
  faultKind('surge', {
    ...timespan,
    class: nonEmptyString,
    times: v.optional(positiveNumber, DEFAULT_SURGE),
  }),
]);
