/** Selection of the jobs that a team’s guaranteed quota covers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobRecord } from '../../src/jobs/record.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import { selectGuaranteedJobs } from '../../src/quota/guaranteed-jobs.js';
import { RangeSet } from '../../src/model/ranges.js';
import { buildJobSpec, buildTeam } from '../support/job-specs.js';

const spec = (changes: Partial<JobSpec> = {}): JobSpec => buildJobSpec({ tasks: 4, ...changes });

test('jobs that fit into the guarantee together with the earlier unfinished jobs of the team are guaranteed', () => {
  const team = buildTeam({ cpus: 12, cpusMax: 24 });
  const job = (id: string, acceptedRevision: number, tasks: number, done = 0): JobRecord =>
    ({
      spec: spec({ id, tasks } as Partial<JobSpec>),
      acceptedRevision,
      done: RangeSet.of([[0, done]]),
    }) as unknown as JobRecord;
  const jobs = [job('req-c', 3, 1), job('req-a', 1, 4), job('req-b', 2, 3)];
  assert.deepEqual([...selectGuaranteedJobs(jobs, team)], ['req-a']);
  jobs[1] = job('req-a', 1, 4, 3);
  assert.deepEqual([...selectGuaranteedJobs(jobs, team)], ['req-a', 'req-b', 'req-c']);
});
