/** Scenario files (TOML): a deployment, a load and a schedule of faults, checked with errors that name the field. */
import { parse, stringify, TomlError } from 'smol-toml';
import * as v from 'valibot';

/** A scenario that cannot be run: one line naming file, field and what was expected. */
export class ScenarioError extends Error {}

const amount = v.pipe(v.number('a number'), v.finite('a finite number'), v.minValue(0, 'at least 0'));
const positive = v.pipe(v.number('a number'), v.finite('a finite number'), v.gtValue(0, 'more than 0'));
const whole = v.pipe(v.number('a whole number'), v.integer('a whole number'), v.minValue(0, 'at least 0'));
const count = v.pipe(v.number('a whole number'), v.integer('a whole number'), v.minValue(1, 'at least 1'));
const share = v.pipe(v.number('a share'), v.minValue(0, 'at least 0'), v.maxValue(1, 'at most 1'));
const name = v.pipe(v.string('a text'), v.nonEmpty('a text that is not empty'));
const flag = v.optional(v.boolean('true or false'), false);
const range = v.tuple([amount, amount], 'two numbers: least and most');

const deployment = v.strictObject({
  zones: v.pipe(v.array(name, 'a list of zones'), v.minLength(1, 'at least one zone')),
  /** The zone of each controller. */
  controllers: v.pipe(v.array(name, 'a list of zones'), v.minLength(1, 'at least one controller')),
  restart_s: v.optional(amount, 4),
  report_s: v.optional(positive, 2),
  lease_s: v.optional(positive, 14),
  cancel_s: v.optional(positive, 34),
  /** How long a gang's task waits for the others, and within which time it notices that one is gone. */
  gang_wait_s: v.optional(positive, 20),
  gang_peer_s: v.optional(positive, 5),
  max_connections: v.optional(count, 1500),
  /** Operators' properties, one a line. */
  properties: v.optional(v.string('a text'), ''),
  state: v.optional(
    v.strictObject({
      rps: v.optional(positive, 150),
      write_rps: v.optional(positive, 25),
      value_kb: v.optional(positive, 8),
      txn_ops: v.optional(count, 16),
    }),
    {},
  ),
  cloud: v.optional(
    v.strictObject({
      rps: v.optional(positive, 6),
      list_lag_s: v.optional(amount, 4),
      /** Machines to be had of each type, zone and kind. */
      capacity: v.optional(whole, 20),
    }),
    {},
  ),
  network: v.optional(
    v.strictObject({
      same_zone_ms: v.optional(positive, 0.4),
      cross_zone_ms: v.optional(positive, 1.1),
      jitter: v.optional(amount, 0.5),
      loss: v.optional(share, 0.0005),
    }),
    {},
  ),
  types: v.pipe(
    v.array(
      v.strictObject({
        name,
        cpus: positive,
        gpus: v.optional(amount, 0),
        memory_gb: positive,
        cache_gb: v.optional(positive, 60),
        fetch_gb_per_s: v.optional(positive, 1),
        price: v.optional(positive, 1),
        spot_price: v.optional(positive, 0.4),
        boot_s: v.optional(positive, 15),
        zones: v.optional(v.array(name)),
      }),
    ),
    v.minLength(1, 'at least one type'),
  ),
  teams: v.array(
    v.strictObject({
      name,
      cpus: v.optional(amount, 0),
      cpus_max: v.optional(amount, 0),
      gpus: v.optional(amount, 0),
      gpus_max: v.optional(amount, 0),
    }),
  ),
  /** Machines that are up at the start. */
  machines: v.optional(v.array(v.strictObject({ type: name, zone: name, spot: flag, count })), []),
});

const load = v.strictObject({
  class: name,
  team: name,
  shape: v.optional(v.picklist(['array', 'gang', 'service'], 'array, gang or service'), 'array'),
  priority: v.optional(v.picklist(['critical', 'urgent', 'standard', 'best_effort']), 'standard'),
  tasks: v.optional(range, [1, 1]),
  cpus: v.optional(positive, 1),
  gpus: v.optional(amount, 0),
  memory_gb: v.optional(amount, 1),
  run_s: v.optional(range, [5, 20]),
  images: v.optional(count, 3),
  image_gb: v.optional(positive, 1),
  per_minute: v.optional(amount, 0),
  at_start: v.optional(whole, 0),
  until_s: v.optional(positive, 1e9),
  /** Share of the jobs that their users cancel, and when, counted from their acceptance. */
  cancel_share: v.optional(share, 0),
  cancel_after_s: v.optional(range, [1, 30]),
  types: v.optional(v.array(name)),
  zone: v.optional(name),
  same_zone: flag,
  spread: flag,
  spot: flag,
  checkpoint_s: v.optional(amount, 0),
  save_s: v.optional(amount, 0),
});

/** What may set off a fault; `nth` counts from the time `at_s`. */
export const EVENTS = [
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
  at_s: v.optional(amount, 0),
  on: v.optional(v.picklist(EVENTS, `one of ${EVENTS.join(', ')}`)),
  /** With `on = "commit"`: the key, or what it begins with. */
  key: v.optional(name),
  nth: v.optional(count, 1),
  after_ms: v.optional(amount, 0),
};
const lasting = { ...timing, for_s: v.optional(amount, 10) };
/** A controller by its number, or the one of the event; none: any. */
const oneNode = { node: v.optional(v.union([whole, v.literal('event')], 'a number or "event"')) };
/** Machines by number, share or zone, or the one that the event concerns; none: one. */
const some = {
  count: v.optional(count),
  share: v.optional(share),
  zone: v.optional(name),
  machine: v.optional(v.literal('event', '"event"')),
};
const mode = { mode: v.optional(v.picklist(['drop', 'hold', 'refuse'], 'drop, hold or refuse'), 'hold') };

const kind = <K extends string, T extends v.ObjectEntries>(k: K, entries: T) =>
  v.strictObject({ kind: v.literal(k), ...entries });

const fault = v.variant('kind', [
  kind('controller_end', { ...timing, ...oneNode, restart_s: v.optional(amount) }),
  kind('all_controllers_end', { ...timing, restart_s: v.optional(amount) }),
  kind('controllers_restart', { ...timing, gap_s: v.optional(positive, 8) }),
  kind('controller_pause', { ...lasting, ...oneNode }),
  kind('node_cut', {
    ...lasting,
    ...oneNode,
    ...mode,
    from_state: flag,
    from_peers: flag,
    from_workers: flag,
    from_users: flag,
  }),
  kind('peers_refused', lasting),
  kind('zone_cut', { ...lasting, ...mode, zone: name }),
  kind('zones_cut', { ...lasting, ...mode, zone: name, other_zone: name }),
  kind('state_outage', lasting),
  kind('state_refuses', { ...lasting, ...oneNode }),
  kind('state_slow', { ...lasting, slow_ms: v.optional(positive, 400) }),
  kind('late_writes', { ...lasting, share: v.optional(share, 0.3), at_once: flag }),
  kind('late_reports', { ...lasting, share: v.optional(share, 0.3), for_next: flag }),
  kind('late_commands', { ...lasting, share: v.optional(share, 0.3) }),
  kind('cloud_outage', lasting),
  kind('cloud_empty', lasting),
  kind('late_rentals', { ...lasting, share: v.optional(share, 0.5) }),
  kind('fast_boots', lasting),
  kind('machine_deaf', { ...lasting, ...some }),
  kind('machine_mute', { ...lasting, ...some }),
  kind('machine_cut', { ...lasting, ...mode, ...some }),
  kind('machine_hang', { ...lasting, ...some }),
  kind('machine_sick', { ...lasting, ...some }),
  kind('machine_slow', { ...lasting, ...some, times: v.optional(positive, 3) }),
  kind('machine_end', { ...timing, ...some }),
  kind('spot_wave', { ...timing, ...some, notice_s: v.optional(amount, 10) }),
  kind('cancel_now', { ...timing, count: v.optional(count, 1), hang_s: v.optional(amount, 0) }),
  kind('cancel_at_end', { ...lasting, share: v.optional(share, 0.3) }),
  kind('odd_requests', lasting),
  kind('close_looks', lasting),
  kind('surge', { ...lasting, class: name, times: v.optional(positive, 4) }),
]);

const schema = v.strictObject({
  name,
  seed: v.optional(whole, 1),
  duration_s: v.optional(positive, 180),
  deployment,
  load: v.pipe(v.array(load), v.minLength(1, 'at least one load')),
  faults: v.optional(v.array(fault), []),
});

export type Scenario = v.InferOutput<typeof schema>;
/** A scenario as a file gives it, with defaults left out. */
export type ScenarioInput = v.InferInput<typeof schema>;
export type Deployment = Scenario['deployment'];
export type Load = Scenario['load'][number];
export type Fault = Scenario['faults'][number];
export type FaultInput = NonNullable<ScenarioInput['faults']>[number];
export type EventName = (typeof EVENTS)[number];

function fieldOf(issue: v.BaseIssue<unknown>): string {
  return (issue.path ?? [])
    .map((p) => (typeof p.key === 'number' ? `[${p.key}]` : `.${String(p.key)}`))
    .join('')
    .slice(1);
}

/** Names that the scenario uses must be those that it defines. */
function checkNames(s: Scenario, file: string): void {
  const { zones, types, teams, machines, controllers, lease_s, cancel_s } = s.deployment;
  if (cancel_s <= lease_s)
    throw new ScenarioError(`${file}: deployment.cancel_s: expected more than lease_s (${lease_s})`);
  const typeNames = types.map((t) => t.name);
  const expect = (field: string, known: readonly string[], used: string | undefined): void => {
    if (used !== undefined && !known.includes(used))
      throw new ScenarioError(`${file}: ${field}: expected one of ${known.join(', ')}, got "${used}"`);
  };
  controllers.forEach((zone, i) => expect(`deployment.controllers[${i}]`, zones, zone));
  types.forEach((t, i) =>
    t.zones?.forEach((zone, j) => expect(`deployment.types[${i}].zones[${j}]`, zones, zone)),
  );
  machines.forEach((m, i) => {
    expect(`deployment.machines[${i}].type`, typeNames, m.type);
    expect(`deployment.machines[${i}].zone`, zones, m.zone);
  });
  s.load.forEach((l, i) => {
    expect(
      `load[${i}].team`,
      teams.map((t) => t.name),
      l.team,
    );
    expect(`load[${i}].zone`, zones, l.zone);
    l.types?.forEach((t, j) => expect(`load[${i}].types[${j}]`, typeNames, t));
  });
  s.faults.forEach((f, i) => {
    if ('zone' in f) expect(`faults[${i}].zone`, zones, f.zone);
    if ('other_zone' in f) expect(`faults[${i}].other_zone`, zones, f.other_zone);
    if ('class' in f)
      expect(
        `faults[${i}].class`,
        s.load.map((l) => l.class),
        f.class,
      );
    if ('node' in f && typeof f.node === 'number' && f.node >= controllers.length)
      throw new ScenarioError(`${file}: faults[${i}].node: expected less than ${controllers.length}`);
    if (f.key !== undefined && f.on !== 'commit')
      throw new ScenarioError(`${file}: faults[${i}].key: expected only with on = "commit"`);
  });
}

/** Fills in the defaults and checks everything. */
export function checkScenario(input: unknown, file: string): Scenario {
  const result = v.safeParse(schema, input, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    if (issue.received === 'undefined')
      throw new ScenarioError(`${file}: ${fieldOf(issue)}: expected a value, got nothing`);
    const expected = issue.kind === 'schema' && issue.expected ? issue.expected : issue.message;
    const wanted = issue.message.startsWith('Invalid') ? expected : issue.message;
    const what = wanted === 'never' ? 'no such field' : wanted;
    throw new ScenarioError(`${file}: ${fieldOf(issue) || '(top)'}: expected ${what}, got ${issue.received}`);
  }
  checkNames(result.output, file);
  return result.output;
}

export function parseScenario(text: string, file: string): Scenario {
  let data: unknown;
  try {
    data = parse(text);
  } catch (e) {
    const where = e instanceof TomlError ? `${file}:${e.line}:${e.column}` : file;
    const [why] = (e as Error).message.split('\n');
    throw new ScenarioError(`${where}: expected valid TOML: ${why}`);
  }
  return checkScenario(data, file);
}

export const formatScenario = (s: Scenario): string => stringify(s);
