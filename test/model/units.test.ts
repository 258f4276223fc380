/** Formatting and parsing of task ids. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { splitTaskId, taskId, taskIndex, type JobId } from '../../src/model/units.js';

test('a task id is split into its job and index', () => {
  const job = 'team/req-1' as JobId;
  assert.deepEqual(splitTaskId(taskId(job, taskIndex(12))), { job, index: 12 });
});

test('a text that is not a task id yields null', () => {
  for (const text of ['', 'req-1', '/3', 'req-1/', 'req-1/03', 'req-1/x', 'req-1/-1', 'req-1/1234567'])
    assert.equal(splitTaskId(text), null, text);
});
