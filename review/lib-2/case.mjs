/**
 * Runs one case. Exit code of the process: 0 the rule held, 10 it was broken, anything else: the case could not run
 * (`run.sh` makes 0, 1 and 2 of these). `TROUBLE=0` leaves the disruption out.
 */
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { Cluster } from './cluster.mjs';

const MAX_MS = 118_000;
const BROKEN = 10;
const COULD_NOT_RUN = 2;

for (const event of ['uncaughtException', 'unhandledRejection'])
  process.on(event, (error) => {
    process.stderr.write(`could not run: ${error?.stack ?? error}\n`);
    process.exit(COULD_NOT_RUN);
  });

/**
 * `play(cluster, trouble)` returns the findings: each is a sentence that says how the rule was broken. It may throw if
 * the case cannot run.
 */
export async function runCase(folder, site, play) {
  const trouble = process.env.TROUBLE !== '0';
  const recordFile = join(folder, 'record.txt');
  let cluster = null;
  const timer = setTimeout(() => {
    cluster?.log.add('out of time');
    cluster?.log.write(recordFile);
    process.exit(COULD_NOT_RUN);
  }, MAX_MS);
  let code = COULD_NOT_RUN;
  try {
    cluster = await Cluster.open(site);
    cluster.log.add('run', { trouble });
    const findings = await play(cluster, trouble);
    for (const finding of findings) cluster.log.add('rule broken', { finding });
    if (findings.length === 0) cluster.log.add('rule held');
    process.stdout.write(findings.length === 0 ? 'the rule held\n' : `${findings.join('\n')}\n`);
    code = findings.length === 0 ? 0 : BROKEN;
  } catch (error) {
    cluster?.log.add('could not run', { why: String(error.stack) });
    process.stderr.write(`could not run: ${error.stack}\n`);
  }
  clearTimeout(timer);
  await cluster?.close(recordFile);
  process.exit(code);
}
