/** Trace of a run as lines of text with a hash: the same scenario and seed give the same hash. */
import { createHash } from 'node:crypto';
import type { EventQueue } from './clock.js';

/** Records the events of one run; keeps the lines only if `keep` is set, the hash always. */
export class Trace {
  readonly lines: string[] = [];
  private readonly hash = createHash('sha256');

  constructor(
    private readonly queue: EventQueue,
    private readonly keep: boolean,
  ) {}

  add(line: string): void {
    const text = `${(this.queue.now / 1000).toFixed(3).padStart(9)}  ${line}`;
    this.hash.update(text).update('\n');
    if (this.keep) this.lines.push(text);
  }

  digest(): string {
    return this.hash.copy().digest('hex');
  }
}
