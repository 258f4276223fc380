/** Structured logs to standard error, one JSON object a line. */
import { pino, type Logger } from 'pino';
import type { LogLevel } from '../settings/log-level.js';
import type { ControllerId } from '../model/units.js';

const STANDARD_ERROR = 2;

/** The logger that every module takes. */
export type Log = Logger;

/** A controller's log on standard error; each line carries its name as `node`. */
export function openLog(level: LogLevel, node: ControllerId): Log {
  // Synchronous: a controller is killed without a signal, and its last lines are the ones that matter.
  return pino({ level, base: { node } }, pino.destination({ fd: STANDARD_ERROR, sync: true }));
}

/** A log that writes nothing. */
export const silentLog = (): Log => pino({ level: 'silent' });
