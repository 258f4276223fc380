/** Structured logs on standard error, one JSON object a line. */
import { pino, type Logger } from 'pino';
import type { LogLevel } from '../settings/log-level.js';
import type { ControllerId } from '../model/units.js';

const STANDARD_ERROR = 2;

/** Writes a line with fields, then a message; an error is the field `err`. */
export type Log = Logger;

/** The log of a controller process: each line names the controller as `node`. */
export function openLog(level: LogLevel, node: ControllerId): Log {
  // Synchronous: a controller is killed without a signal, and its last lines are the ones that matter.
  return pino({ level, base: { node } }, pino.destination({ fd: STANDARD_ERROR, sync: true }));
}

/** A log that writes nothing. */
export const silentLog = (): Log => pino({ level: 'silent' });
