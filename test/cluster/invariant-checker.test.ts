/** The invariant checker reports each violation at the event that causes it, and not before. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  InvariantChecker,
  type JobDescription,
  type MachineDescription,
} from '../support/invariant-checker.js';

const CANCEL_MS = 32_000;
const EAST: MachineDescription = { id: 'm-0', type: 'small', zone: 'east', spot: false };
const WEST: MachineDescription = { id: 'm-1', type: 'large', zone: 'west', spot: true };

class CheckerFixture {
  time = 0;
  readonly violations: string[] = [];
  readonly checker = new InvariantChecker(
    () => this.time,
    CANCEL_MS,
    [{ name: 'red', cpusMax: 4, gpusMax: 1 }],
    this.violations,
  );

  /** Describes a job and reports that a user was told of its acceptance. */
  accept(options: Partial<JobDescription> = {}): void {
    this.checker.describeJob({
      id: 'req-1',
      team: 'red',
      tasks: 2,
      cpus: 2,
      gpus: 0,
      spread: false,
      oneZone: false,
      spot: true,
      zone: null,
      types: null,
      ...options,
    });
    this.exchange('POST', '/v2/runs', 201, 'pending', { uid: 'req-1' });
  }

  exchange(method: string, path: string, status: number, state?: string, body?: unknown): void {
    const knowledge = this.checker.requestSent(method, path, body);
    this.checker.responseReceived({ method, path, status, jobState: state }, body, knowledge);
  }

  get(status: number, state?: string): void {
    this.exchange('GET', '/v2/runs/req-1', status, state);
  }

  cancel(): void {
    this.exchange('POST', '/v2/runs/req-1/abort', 200, 'cancelled');
  }

  start(index: number, machine = EAST): void {
    this.checker.taskStarted(machine, `req-1/${index}`);
  }

  end(index: number, done = true, machine = EAST): void {
    this.checker.taskEnded(machine, `req-1/${index}`, done);
  }
}

function assertViolates(
  rule: RegExp,
  action: (fixture: CheckerFixture) => void,
  options: Partial<JobDescription> = {},
): void {
  const fixture = new CheckerFixture();
  fixture.accept(options);
  assert.deepEqual(fixture.violations, []);
  action(fixture);
  assert.equal(fixture.violations.length, 1, `${rule}: ${fixture.violations.join(', ')}`);
  assert.match(fixture.violations[0] ?? '', rule);
}

test('a job that keeps every invariant violates none', () => {
  const fixture = new CheckerFixture();
  fixture.accept({ spread: true });
  fixture.start(0);
  fixture.get(200, 'running');
  fixture.end(0, false);
  fixture.start(0, WEST);
  fixture.start(1);
  fixture.end(0, true, WEST);
  fixture.end(1);
  fixture.get(200, 'done');
  fixture.exchange('POST', '/v2/runs/req-1/abort', 200, 'done');
  fixture.exchange('POST', '/v2/runs', 200, 'done', { uid: 'req-1' });
  fixture.exchange('GET', '/v2/runs/req-2', 404);
  fixture.checker.checkOverdue();
  assert.deepEqual(fixture.violations, []);
});

test('ran_twice: a start while the task is on another machine, reachable or not', () => {
  assertViolates(/^ran_twice req-1\/0 on m-0 and m-1/, (fixture) => {
    fixture.start(0);
    fixture.start(0, WEST);
  });
});

test('quota: CPUs and GPUs, at the start that exceeds the limit', () => {
  assertViolates(/^quota red: 6 CPUs/, (fixture) => [0, 1, 2].forEach((i) => fixture.start(i)), { tasks: 3 });
  assertViolates(/^quota red: 2 GPUs/, (fixture) => [0, 1].forEach((i) => fixture.start(i)), { gpus: 1 });
});

test('wrong_place: zone, machine type, spot machine, spread, single zone', () => {
  assertViolates(/^wrong_place req-1\/0 in west/, (fixture) => fixture.start(0, WEST), { zone: 'east' });
  assertViolates(/^wrong_place req-1\/0 on large/, (fixture) => fixture.start(0, WEST), { types: ['small'] });
  assertViolates(/^wrong_place req-1\/0 on spot/, (fixture) => fixture.start(0, WEST), { spot: false });
  assertViolates(/^wrong_place req-1 not spread/, (fixture) => [0, 1].forEach((i) => fixture.start(i)), {
    spread: true,
  });
  assertViolates(
    /^wrong_place req-1 in several zones/,
    (fixture) => {
      fixture.start(0);
      fixture.start(1, WEST);
    },
    { oneZone: true },
  );
});

test('ran_cancelled: not ended in time, ended late, started late; a start within the limit is only counted', () => {
  assertViolates(/^ran_cancelled req-1\/0$/, (fixture) => {
    fixture.start(0);
    fixture.cancel();
    fixture.time = CANCEL_MS;
    fixture.checker.checkOverdue();
    assert.deepEqual(fixture.violations, []);
    fixture.time += 1;
    fixture.checker.checkOverdue();
  });
  assertViolates(/^ran_cancelled req-1\/0$/, (fixture) => {
    fixture.start(0);
    fixture.cancel();
    fixture.time = CANCEL_MS + 1;
    fixture.end(0, false);
    assert.equal(fixture.checker.minRemainingMs, -1);
  });
  assertViolates(/^ran_cancelled req-1\/0: started/, (fixture) => {
    fixture.cancel();
    fixture.time = CANCEL_MS + 1;
    fixture.start(0);
  });
  const fixture = new CheckerFixture();
  fixture.accept();
  fixture.cancel();
  fixture.time = 1000;
  fixture.start(0);
  fixture.time = 3000;
  fixture.end(0, false);
  assert.deepEqual(fixture.checker.startsAfterCancellation, ['req-1/0']);
  assert.equal(fixture.checker.minRemainingMs, CANCEL_MS - 3000);
  assert.deepEqual(fixture.violations, []);
});

test('forgotten and invented', () => {
  assertViolates(/^forgotten req-1: 404/, (fixture) => fixture.get(404));
  for (const status of [400, 422])
    assertViolates(/^forgotten req-1: a repeated submission/, (fixture) => {
      fixture.exchange('POST', '/v2/runs', status, undefined, { uid: 'req-1' });
    });
  assertViolates(/^invented req-2/, (fixture) => fixture.exchange('GET', '/v2/runs/req-2', 200, 'pending'));
});

test('not_done and went_back', () => {
  assertViolates(/^not_done req-1: 1 of 2/, (fixture) => {
    fixture.start(0);
    fixture.end(0);
    fixture.start(1);
    fixture.end(1, false);
    fixture.get(200, 'done');
  });
  assertViolates(/^went_back req-1: cancelled then running/, (fixture) => {
    fixture.cancel();
    fixture.get(200, 'running');
  });
  assertViolates(/^went_back req-1: cancelled, and its user did not/, (fixture) =>
    fixture.get(200, 'cancelled'),
  );
});

test('an answer overtaken by a newer one may be older; an answer to a later request may not', () => {
  const fixture = new CheckerFixture();
  fixture.accept();
  const path = '/v2/runs/req-1';
  const knowledgeAtRequest = fixture.checker.requestSent('GET', path, undefined);
  fixture.cancel();
  fixture.checker.responseReceived(
    { method: 'GET', path, status: 200, jobState: 'running' },
    undefined,
    knowledgeAtRequest,
  );
  assert.deepEqual(fixture.violations, []);
  fixture.get(200, 'running');
  assert.deepEqual(fixture.violations, ['went_back req-1: cancelled then running']);
});
