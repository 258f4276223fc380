/** The operators' own settings (`.properties`): their names, ranges and defaults, read and validated at the start. */
import { parse as parseProperties } from 'dot-properties';
import type { Millis } from '../model/units.js';
import { SettingsError, readTextFile } from './settings-error.js';

const WHOLE_NUMBER_PATTERN = /^\d{1,10}$/;
const MAX_SEED = 2_147_483_647;

/** The operators' own settings with their defaults; durations in milliseconds. */
export interface Tuning {
  readonly announcementInterval: Millis;
  readonly announcementExpiry: Millis;
  readonly membershipTtl: Millis;
  readonly watchTimeout: Millis;
  readonly idleMachineTimeout: Millis;
  readonly silentMachineTimeout: Millis;
  readonly seed: number;
}

/** A property: its name in the file, the field that it sets, its default and its inclusive range. */
interface TuningProperty {
  readonly propertyName: string;
  readonly field: keyof Tuning;
  readonly defaultValue: number;
  readonly min: number;
  readonly max: number;
  readonly description: string;
}

/** All properties that operators can set. Their names, ranges and defaults are part of the public interface. */
export const TUNING_PROPERTIES: readonly TuningProperty[] = [
  {
    propertyName: 'flock.check.interval.ms',
    field: 'announcementInterval',
    defaultValue: 1000,
    min: 100,
    max: 60_000,
    description: 'announce free room and review quotas at least this often',
  },
  {
    propertyName: 'flock.announce.expiry.ms',
    field: 'announcementExpiry',
    defaultValue: 10_000,
    min: 1000,
    max: 120_000,
    description: 'age at which an announcement is worth nothing',
  },
  {
    propertyName: 'parts.alive.ttl.ms',
    field: 'membershipTtl',
    defaultValue: 3000,
    min: 1000,
    max: 60_000,
    description: 'silence after which peers take a part over',
  },
  {
    propertyName: 'state.follow.block.ms',
    field: 'watchTimeout',
    defaultValue: 2000,
    min: 100,
    max: 20_000,
    description: 'how long one watch of the state service may block',
  },
  {
    propertyName: 'fleet.idle.return.ms',
    field: 'idleMachineTimeout',
    defaultValue: 20_000,
    min: 1000,
    max: 3_600_000,
    description: 'idle time after which a rented machine is returned',
  },
  {
    propertyName: 'fleet.silent.return.ms',
    field: 'silentMachineTimeout',
    defaultValue: 75_000,
    min: 5000,
    max: 3_600_000,
    description: 'silence after which a machine is given up',
  },
  {
    propertyName: 'random.seed',
    field: 'seed',
    defaultValue: 1,
    min: 0,
    max: MAX_SEED,
    description: 'seed of the shuffles among equals',
  },
];

function parseValue(property: TuningProperty, value: unknown, file: string): number {
  const text = typeof value === 'string' ? value.trim() : '';
  const parsed = WHOLE_NUMBER_PATTERN.test(text) ? Number(text) : NaN;
  if (parsed >= property.min && parsed <= property.max) return parsed;
  throw new SettingsError(
    `${file}: ${property.propertyName}: expected a whole number from ${property.min} to ${property.max}, got "${text}"`,
  );
}

/**
 * Parses operators' properties; `file` is the name of the file in errors. Throws SettingsError on unknown names and
 * values out of range.
 */
export function parseTuning(text: string, file: string): Tuning {
  const tuning = Object.fromEntries(
    TUNING_PROPERTIES.map((property) => [property.field, property.defaultValue]),
  ) as Record<keyof Tuning, number>;
  for (const [key, value] of Object.entries(parseProperties(text) as Record<string, unknown>)) {
    const property = TUNING_PROPERTIES.find(({ propertyName }) => propertyName === key);
    if (!property) {
      const knownNames = TUNING_PROPERTIES.map(({ propertyName }) => propertyName).join(', ');
      throw new SettingsError(`${file}: ${key}: expected one of ${knownNames}`);
    }
    tuning[property.field] = parseValue(property, value, file);
  }
  return tuning as Tuning;
}

/** Reads the properties file at a path, or returns the defaults if there is none. Throws SettingsError. */
export const loadTuning = (file: string | undefined): Tuning =>
  file === undefined ? parseTuning('', 'defaults') : parseTuning(readTextFile(file), file);
