/**
 * The schema of the platform's settings file: field names, types, ranges and defaults, and the error that names the first
 * invalid field. `settings.ts` checks constraints between fields.
 */
import * as v from 'valibot';
import { fieldPath } from './field-path.js';
import { SettingsError } from './settings-error.js';

const MAX_PORT = 65_535;

const nonNegativeNumber = v.pipe(
  v.number('a number'),
  v.finite('a finite number'),
  v.minValue(0, 'a number of at least 0'),
);
const positiveNumber = v.pipe(
  v.number('a number'),
  v.finite('a finite number'),
  v.gtValue(0, 'a number above 0'),
);
const positiveInteger = v.pipe(
  v.number('a whole number'),
  v.integer('a whole number'),
  v.minValue(1, 'a whole number of at least 1'),
);
const nonEmptyString = v.pipe(v.string('a text'), v.nonEmpty('a text that is not empty'));
const addressString = v.pipe(
  v.string('an address like 10.0.0.1:8080'),
  v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'an address like 10.0.0.1:8080'),
  v.check(
    (address) => Number(address.slice(address.indexOf(':') + 1)) <= MAX_PORT,
    `a port of at most ${MAX_PORT}`,
  ),
);
const table = <T extends v.ObjectEntries>(entries: T) => v.object(entries, 'a table with all its fields');

const objectiveSchema = v.object({
  kind: v.string(),
  class: v.optional(v.nullable(v.string())),
  times: v.optional(v.nullable(v.number())),
});

/** Default of `gang_wait_s`, in seconds: settings files of earlier deployments do not have the field. */
const DEFAULT_GANG_WAIT_S = 30;

const settingsSchema = table({
  label: nonEmptyString,
  domain: nonEmptyString,
  bind: addressString,
  mesh_addr: addressString,
  known: v.optional(
    v.array(
      table({ label: nonEmptyString, domain: nonEmptyString, peer_addr: addressString }),
      'a list of tables',
    ),
    [],
  ),
  services: table({ cloud: addressString, state: addressString }),
  facts: table({
    zones: v.array(nonEmptyString, 'a list of texts'),
    teams: v.array(
      table({
        name: nonEmptyString,
        cpus: v.optional(nonNegativeNumber, 0),
        cpus_max: v.optional(nonNegativeNumber, 0),
        gpus: v.optional(nonNegativeNumber, 0),
        gpus_max: v.optional(nonNegativeNumber, 0),
      }),
      'a list of tables',
    ),
    workers: table({
      report_s: positiveNumber,
      lease_s: positiveNumber,
      cancel_s: positiveNumber,
      gang_wait_s: v.optional(positiveNumber, DEFAULT_GANG_WAIT_S),
    }),
    state: table({
      rps: positiveNumber,
      write_rps: positiveNumber,
      value_kb: positiveNumber,
      txn_ops: positiveInteger,
      // Limits that will apply from some later time on.
      next: v.optional(
        v.object({
          rps: v.optional(positiveNumber),
          write_rps: v.optional(positiveNumber),
          value_kb: v.optional(positiveNumber),
          txn_ops: v.optional(positiveInteger),
        }),
        {},
      ),
    }),
    cloud: table({ rps: positiveNumber, list_lag_s: nonNegativeNumber }),
    quota: table({ max_connections: positiveInteger }),
    // Service-level objectives only help to rank jobs, so malformed ones are ignored and do not prevent the start.
    objectives: v.optional(v.fallback(v.array(objectiveSchema), []), []),
  }),
});

/** The contents of a settings file under its own field names, with defaults filled in. */
export type SettingsFile = v.InferOutput<typeof settingsSchema>;

/** The properties of a valibot schema that are needed to find nested schemas. */
interface AnySchema {
  readonly message?: unknown;
  readonly entries?: Readonly<Record<string, AnySchema>>;
  readonly item?: AnySchema;
  readonly wrapped?: AnySchema;
}

/**
 * Returns the type that is expected for the field of an issue. For a missing field the issue has the message of the
 * enclosing table, so the message is looked up in the schema of the field.
 */
function expectedTypeAt(issue: v.BaseIssue<unknown>): string {
  let schema: AnySchema | undefined = settingsSchema;
  for (const step of issue.path ?? []) {
    schema = schema?.wrapped ?? schema;
    schema = typeof step.key === 'number' ? schema?.item : schema?.entries?.[String(step.key)];
  }
  return typeof schema?.message === 'string' ? schema.message : issue.message;
}

/** Validates the data of a parsed file; `file` is its name in errors. Throws SettingsError. */
export function checkSettingsFile(data: unknown, file: string): SettingsFile {
  const result = v.safeParse(settingsSchema, data, { abortEarly: true });
  if (result.success) return result.output;
  const issue = result.issues[0];
  const actual = issue.received === 'undefined' ? 'nothing' : issue.received;
  const expected = issue.received === 'undefined' ? expectedTypeAt(issue) : issue.message;
  throw new SettingsError(`${file}: ${fieldPath(issue) || '(top)'}: expected ${expected}, got ${actual}`);
}
