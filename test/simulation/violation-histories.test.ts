/** The invariant checker reports histories that violate a rule, and no similar ones that do not. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RULES } from '../../src/simulation/invariant-checker.js';
import { ANSWER_HISTORIES } from '../support/answer-histories.js';
import { CheckerFixture } from '../support/checker-fixture.js';
import { START_HISTORIES } from '../support/start-histories.js';

const HISTORIES = [...START_HISTORIES, ...ANSWER_HISTORIES];

test('the invariant checker finds the violation in each broken history, and none in its sound counterpart', async () => {
  for (const { rule, name, broken, sound } of HISTORIES) {
    const bad = new CheckerFixture();
    await broken(bad);
    assert.deepEqual(bad.violatedRules(), [rule], name);
    const good = new CheckerFixture();
    await sound(good);
    assert.deepEqual(good.violatedRules(), [], `sound counterpart of: ${name}`);
  }
  assert.deepEqual(new Set(HISTORIES.map((h) => h.rule)), new Set(RULES), 'every rule has a history');
});
