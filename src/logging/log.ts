/** Structured logs to standard error, one JSON object a line. */
import { pino, type Logger } from 'pino';
import type { LogLevel } from '../settings/settings.js';
import type { ControllerId } from '../model/units.js';

export type Log = Logger;

export function openLog(level: LogLevel, node: ControllerId): Log {
  // Synchronous: a controller is killed without a signal, and its last lines are the ones that matter.
  return pino({ level, base: { node } }, pino.destination({ fd: 2, sync: true }));
}

export const silentLog = (): Log => pino({ level: 'silent' });
