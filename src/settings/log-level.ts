/** The level of logs, from the environment variable LOG_LEVEL. */
import { SettingsError } from './settings-error.js';

/** What is logged: errors only, also changes of state, or everything. */
export type LogLevel = 'error' | 'info' | 'debug';

/** Reads LOG_LEVEL; absent or empty: info. Throws SettingsError. */
export function parseLogLevel(value: string | undefined): LogLevel {
  const level = value === undefined || value === '' ? 'info' : value;
  if (level === 'error' || level === 'info' || level === 'debug') return level;
  throw new SettingsError(`environment: LOG_LEVEL: expected error, info or debug, got "${level}"`);
}
