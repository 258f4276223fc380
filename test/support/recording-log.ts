/** A log that keeps its lines in memory, so that a test can read what a controller knew when it acted. */
import { pino } from 'pino';
import type { Log } from '../../src/logging/log.js';

/** One line of a log, as it would be written. */
export type LogLine = Readonly<Record<string, unknown>> & { readonly msg: string };

/** Lines of every level, in the order in which they were logged. */
export class RecordedLines {
  readonly lines: LogLine[] = [];

  /** A log whose lines name the node and are kept here. */
  logOf(node: string): Log {
    const destination = { write: (line: string): void => void this.lines.push(JSON.parse(line) as LogLine) };
    return pino({ level: 'debug', base: { node } }, destination);
  }

  /** Lines with this message that have the fields. */
  find(message: string, fields: Readonly<Record<string, unknown>> = {}): LogLine[] {
    return this.lines.filter(
      (line) => line.msg === message && Object.entries(fields).every(([name, value]) => line[name] === value),
    );
  }
}
