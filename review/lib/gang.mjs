/** Gangs on the stand-in workers; losses, stops and restarts of running gangs are not modelled. */
import { setTimeout } from 'node:timers';

/** The tasks of a gang run when all of the attempt are on machines, and complete together. */
export function gather(worker, task) {
  task.status = 'gathering';
  task.worker = worker;
  worker.onTask('start', worker, task, '');
  const { job, sailing } = task;
  job.gathering = [...(job.gathering ?? []), task].filter(
    (other) => other.sailing === sailing && other.status === 'gathering' && !other.worker.stopped,
  );
  if (job.gathering.length < job.legs) return;
  const members = job.gathering;
  for (const member of members) {
    member.status = 'running';
    member.worker.change();
  }
  task.timer = setTimeout(() => {
    for (const member of members) {
      member.worker.results.add(member.leg);
      member.worker.exit(member, 'done');
    }
  }, job.runS * 1000);
}
