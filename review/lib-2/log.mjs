/** The record of a run: what was sent, answered and run, with the time in milliseconds since its start. */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** How many events of such a run are written. */
const SHOWN = 12;

export class RunLog {
  events = [];
  startedAt = performance.now();

  now() {
    return performance.now() - this.startedAt;
  }

  add(kind, fields = {}) {
    const event = { at: Math.round(this.now()), kind, ...fields };
    this.events.push(event);
    return event;
  }

  of(kind) {
    return this.events.filter((event) => event.kind === kind);
  }

  /** The events by time: the end of a lease is noticed late on a machine that hung. */
  inOrder() {
    return [...this.events].sort((first, second) => first.at - second.at);
  }

  /** Tasks that start on a machine while they are on another one. */
  startedTwice() {
    const where = new Map();
    const found = [];
    for (const event of this.inOrder()) {
      if (event.kind === 'starts') {
        const machines = where.get(event.leg) ?? new Set();
        if ([...machines].some((berth) => berth !== event.berth)) found.push(event);
        where.set(event.leg, machines.add(event.berth));
      } else if (event.kind === 'ends') where.get(event.leg)?.delete(event.berth);
    }
    return found;
  }

  /** Writes the events, one a line; of a long run of events that differ in the task alone, the first and the count. */
  write(file) {
    const lines = [];
    let run = { key: '', count: 0 };
    const endRun = () => {
      if (run.count > SHOWN) lines.push(JSON.stringify({ kind: run.kind, alike: run.count - SHOWN }));
    };
    for (const event of this.inOrder()) {
      const key = `${event.kind} ${event.berth} ${event.order} ${event.why}`;
      if (event.leg === undefined || key !== run.key) {
        endRun();
        run = { key, kind: event.kind, count: 0 };
      }
      run.count += 1;
      if (run.count <= SHOWN) lines.push(JSON.stringify(event));
    }
    endRun();
    writeFileSync(file, `${lines.join('\n')}\n`);
  }
}
