/** The log level, from the environment variable LOG_LEVEL. */
import { SettingsError } from './settings-error.js';

/** `error`: errors only. `info`: also changes of state. `debug`: everything. */
export type LogLevel = 'error' | 'info' | 'debug';

/** Parses the value of LOG_LEVEL; if it is absent or empty, returns `info`. Throws SettingsError. */
export function parseLogLevel(value: string | undefined): LogLevel {
  const level = value === undefined || value === '' ? 'info' : value;
  if (level === 'error' || level === 'info' || level === 'debug') return level;
  throw new SettingsError(`environment: LOG_LEVEL: expected error, info or debug, got "${level}"`);
}
