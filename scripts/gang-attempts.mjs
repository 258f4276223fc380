/**
 * Counts the start attempts of gangs and how they ended. Reads the controllers' debug logs from standard input: each line
 * ends with one JSON object and may begin with the simulated time in seconds. Prints one line for each statistic.
 *
 *     node scripts/gang-attempts.mjs < logs.txt
 */
import process from 'node:process';
import { createInterface } from 'node:readline';

const PER_CENT = 100;

/** The state of a gang according to the logs; times in seconds. `running` has the time when each task began to run. */
function newGang(tasks, acceptedAt) {
  return { tasks, acceptedAt, running: new Map(), allRunningAt: null };
}

/**
 * Attempts by job and number. `alone`: a task exited because its gang was not complete in time; `peers`: a task exited
 * because another task of the gang was lost.
 */
const attempts = new Map();
const gangs = new Map();

const jobOf = (task) => task.slice(0, task.lastIndexOf('/'));

/** Returns the time of a line in seconds: the simulated time at its beginning, or else a field of the entry. */
function timeOf(line, entry) {
  const simulatedS = Number.parseFloat(line);
  return Number.isFinite(simulatedS) ? simulatedS : (entry.atS ?? entry.time / 1000);
}

function recordAccepted(entry, at) {
  if (entry.kind === 'gang' && !gangs.has(entry.job)) gangs.set(entry.job, newGang(entry.tasks, at));
}

function recordStart(entry) {
  if (!gangs.has(jobOf(entry.task))) return;
  const key = `${jobOf(entry.task)}#${entry.attempt}`;
  if (!attempts.has(key)) attempts.set(key, { job: jobOf(entry.task), alone: false, peers: false });
}

function recordRunning(entry, at) {
  const gang = gangs.get(jobOf(entry.task));
  if (!gang || gang.allRunningAt !== null) return;
  gang.running.set(entry.task, at);
  if (gang.running.size === gang.tasks) gang.allRunningAt = at;
}

function recordExit(entry) {
  const attempt = attempts.get(`${jobOf(entry.task)}#${entry.attempt}`);
  if (!attempt) return;
  if (entry.cause === 'alone') attempt.alone = true;
  if (entry.cause === 'peers') attempt.peers = true;
}

function processLine(line) {
  const jsonStart = line.indexOf('{');
  if (jsonStart < 0) return;
  let entry;
  try {
    entry = JSON.parse(line.slice(jsonStart));
  } catch {
    return;
  }
  const at = timeOf(line, entry);
  if (entry.msg === 'job accepted') recordAccepted(entry, at);
  else if (entry.msg === 'start') recordStart(entry);
  else if (entry.msg === 'task state changed' && entry.state === 'running') recordRunning(entry, at);
  else if (entry.msg === 'exited') recordExit(entry);
}

function formatShare(count, total) {
  return total === 0 ? 'none' : `${count} of ${total} (${((PER_CENT * count) / total).toFixed(1)}%)`;
}

function formatQuantile(sorted, share) {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]?.toFixed(1) ?? 'none';
}

function report() {
  const allAttempts = [...attempts.values()];
  const waitsS = [...gangs.values()]
    .filter((gang) => gang.allRunningAt !== null)
    .map((gang) => gang.allRunningAt - gang.acceptedAt);
  waitsS.sort((a, b) => a - b);
  const lines = [
    `gangs accepted: ${gangs.size}, seen to run whole: ${waitsS.length}`,
    `attempts: ${allAttempts.length}`,
    `attempts ended with alone: ${formatShare(allAttempts.filter((attempt) => attempt.alone).length, allAttempts.length)}`,
    `attempts ended with peers: ${formatShare(allAttempts.filter((attempt) => attempt.peers).length, allAttempts.length)}`,
    `seconds from acceptance until all ran: median ${formatQuantile(waitsS, 0.5)}, 95% ${formatQuantile(waitsS, 0.95)}, most ${formatQuantile(waitsS, 1)}`,
  ];
  process.stdout.write(`${lines.join('\n')}\n`);
}

for await (const line of createInterface({ input: process.stdin })) processLine(line);
report();
