/**
 * Counts the attempts of gangs and how they ended. Reads the controllers' logs at level debug from standard input: each
 * line ends in one JSON object and may begin with the simulated time in seconds. Prints one line for each statistic.
 *
 *     node scripts/gang-attempts.mjs < logs.txt
 */
import process from 'node:process';
import { createInterface } from 'node:readline';

const PER_CENT = 100;

/** One gang as the logs show it; times in seconds. */
function newGang(tasks, acceptedAt) {
  return { tasks, acceptedAt, running: new Map(), begunAt: null };
}

/** By job and attempt: whether a task of it exited as its gang was not complete in time, or as another task was lost. */
const attempts = new Map();
const gangs = new Map();

const jobOf = (task) => task.slice(0, task.lastIndexOf('/'));

function timeOf(prefix, entry) {
  const printed = Number.parseFloat(prefix);
  return Number.isFinite(printed) ? printed : (entry.atS ?? entry.time / 1000);
}

function learnAccepted(entry, at) {
  if (entry.kind === 'gang' && !gangs.has(entry.job)) gangs.set(entry.job, newGang(entry.tasks, at));
}

function learnStart(entry) {
  if (!gangs.has(jobOf(entry.task))) return;
  const key = `${jobOf(entry.task)}#${entry.attempt}`;
  if (!attempts.has(key)) attempts.set(key, { job: jobOf(entry.task), alone: false, peers: false });
}

function learnRunning(entry, at) {
  const gang = gangs.get(jobOf(entry.task));
  if (!gang || gang.begunAt !== null) return;
  gang.running.set(entry.task, at);
  if (gang.running.size === gang.tasks) gang.begunAt = at;
}

function learnExit(entry) {
  const attempt = attempts.get(`${jobOf(entry.task)}#${entry.attempt}`);
  if (!attempt) return;
  if (entry.cause === 'alone') attempt.alone = true;
  if (entry.cause === 'peers') attempt.peers = true;
}

function learn(line) {
  const from = line.indexOf('{');
  if (from < 0) return;
  let entry;
  try {
    entry = JSON.parse(line.slice(from));
  } catch {
    return;
  }
  const at = timeOf(line, entry);
  if (entry.msg === 'job accepted') learnAccepted(entry, at);
  else if (entry.msg === 'start') learnStart(entry);
  else if (entry.msg === 'task state changed' && entry.state === 'running') learnRunning(entry, at);
  else if (entry.msg === 'exited') learnExit(entry);
}

function shareOf(count, all) {
  return all === 0 ? 'none' : `${count} of ${all} (${((PER_CENT * count) / all).toFixed(1)}%)`;
}

function quantile(sorted, share) {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]?.toFixed(1) ?? 'none';
}

function report() {
  const all = [...attempts.values()];
  const waits = [...gangs.values()].filter((g) => g.begunAt !== null).map((g) => g.begunAt - g.acceptedAt);
  waits.sort((a, b) => a - b);
  const lines = [
    `gangs accepted: ${gangs.size}, seen to run whole: ${waits.length}`,
    `attempts: ${all.length}`,
    `attempts ended with alone: ${shareOf(all.filter((a) => a.alone).length, all.length)}`,
    `attempts ended with peers: ${shareOf(all.filter((a) => a.peers).length, all.length)}`,
    `seconds from acceptance until all ran: median ${quantile(waits, 0.5)}, 95% ${quantile(waits, 0.95)}, most ${quantile(waits, 1)}`,
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

for await (const line of createInterface({ input: process.stdin })) learn(line);
report();
