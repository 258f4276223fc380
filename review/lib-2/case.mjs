/** Runs one case: 0 the rule held, 1 it was broken, 2 the case could not run. `TROUBLE=0` leaves the disruption out. */
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { Cluster } from './cluster.mjs';

const MAX_MS = 118_000;

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
    process.exit(2);
  }, MAX_MS);
  let code = 2;
  try {
    cluster = await Cluster.open(site);
    cluster.log.add('run', { trouble });
    const findings = await play(cluster, trouble);
    for (const finding of findings) cluster.log.add('rule broken', { finding });
    if (findings.length === 0) cluster.log.add('rule held');
    process.stdout.write(findings.length === 0 ? 'the rule held\n' : `${findings.join('\n')}\n`);
    code = findings.length === 0 ? 0 : 1;
  } catch (error) {
    cluster?.log.add('could not run', { why: String(error.stack) });
    process.stderr.write(`could not run: ${error.stack}\n`);
  }
  clearTimeout(timer);
  await cluster?.close(recordFile);
  process.exit(code);
}
