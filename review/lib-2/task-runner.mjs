/** The tasks on the machine of a worker stand-in: launches, fetches, runs and ends. */
import { performance } from 'node:perf_hooks';

export class TaskRunner {
  /** Tasks by `leg#sailing`. */
  legs = new Map();
  images = new Set();

  advance(task, now) {
    if (task.status === 'pulling' && now >= task.readyAt) {
      this.images.add(task.job.cargo);
      task.status = task.job.shape === 'gang' ? 'gathering' : 'running';
      task.endsAt = this.jobs.finished.has(task.leg) ? now : now + (this.jobs.runMs(task.leg) ?? Infinity);
      this.changed = true;
      this.log.add('starts', { berth: this.name, leg: task.leg, sailing: task.sailing });
      if (task.job.shape === 'gang') this.jobs.gangs.join(task, this);
    } else if (task.status === 'running' && now >= task.endsAt) {
      this.finish(task);
    }
  }

  finish(task) {
    const isGang = task.job.shape === 'gang';
    this.jobs.finished.add(task.leg);
    if (isGang) for (let i = 0; i < task.job.legs; i += 1) this.jobs.finished.add(`${task.job.uid}/${i}`);
    this.exit(task, 'done');
    if (isGang) this.jobs.gangs.complete(task);
  }

  /** Records that a task is no longer on the machine. */
  leave(task, why, fields = {}) {
    if (!['running', 'gathering'].includes(task.status)) return;
    this.log.add('ends', { berth: this.name, leg: task.leg, sailing: task.sailing, why, ...fields });
    if (task.job.shape === 'gang') this.jobs.gangs.leave(task, why);
  }

  execute(orders, via) {
    for (const { order, leg, sailing, ebbS } of orders) {
      this.log.add('order', { berth: this.name, order, leg, sailing, via });
      const task = this.legs.get(`${leg}#${sailing}`);
      if (order === 'launch') this.launch(leg, sailing);
      else if (order === 'kill' && task && task.status !== 'exited') this.exit(task, 'halted', ebbS);
      else if (order === 'clear' && task?.status === 'exited') this.legs.delete(`${leg}#${sailing}`);
    }
  }

  launch(leg, sailing) {
    if (this.legs.has(`${leg}#${sailing}`)) return;
    const job = this.jobs.get(leg.split('/')[0]);
    const task = { leg, sailing, job, status: 'pulling' };
    this.legs.set(`${leg}#${sailing}`, task);
    const others = [...this.legs.values()].filter((other) => other !== task && other.status !== 'exited');
    const used = (kind) => others.reduce((sum, other) => sum + other.job[kind], 0);
    const lacks = (kind) => used(kind) + job[kind] > this.hull[kind] + 1e-6;
    if (!job || Number(leg.split('/')[1]) >= job.legs) this.exit(task, 'unknown');
    else if (others.some((other) => other.leg === leg)) this.exit(task, 'busy');
    else if (lacks('vcpus') || lacks('memoryGb') || lacks('cards')) this.exit(task, 'full');
    else {
      const fetchMs = this.images.has(job.cargo) ? 0 : (job.sizeGb / this.hull.pullGbPerS) * 1000;
      task.readyAt = performance.now() + fetchMs;
      this.changed = true;
    }
  }
}
