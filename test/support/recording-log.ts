/** A log that keeps its lines in memory, so that a test can check what a controller logged when it acted. */
import { pino } from 'pino';
import type { Log } from '../../src/logging/log.js';

/** A parsed log line. */
export type LogLine = Readonly<Record<string, unknown>> & { readonly msg: string };

/** Records the lines of all levels in the order in which they were logged. */
export class RecordedLines {
  readonly lines: LogLine[] = [];

  /** Creates a log that adds the node to each line and records the lines here. */
  logOf(node: string): Log {
    const destination = { write: (line: string): void => void this.lines.push(JSON.parse(line) as LogLine) };
    return pino({ level: 'debug', base: { node } }, destination);
  }

  /** Returns the lines with this message and these field values. */
  find(message: string, fields: Readonly<Record<string, unknown>> = {}): LogLine[] {
    return this.lines.filter(
      (line) => line.msg === message && Object.entries(fields).every(([name, value]) => line[name] === value),
    );
  }
}
