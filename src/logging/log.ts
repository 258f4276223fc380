/** Structured logs on standard error, one JSON object per line. */
import { pino, type Logger } from 'pino';
import type { LogLevel } from '../settings/log-level.js';
import type { ControllerId } from '../model/units.js';

const STANDARD_ERROR = 2;

/** Logger whose methods take fields and a message; an error is passed in the field `err`. */
export type Log = Logger;

/** Creates the logger of a controller process; each line has the name of the controller in the field `node`. */
export function openLog(level: LogLevel, node: ControllerId): Log {
  // Synchronous, since a controller may be killed without a chance to flush, and its last lines matter most.
  return pino({ level, base: { node } }, pino.destination({ fd: STANDARD_ERROR, sync: true }));
}

/** Creates a logger that writes nothing. */
export const silentLog = (): Log => pino({ level: 'silent' });
