/**
 * Defects of the simulated services and workers. With one of them the surroundings of the controllers do not keep what
 * PROTOCOL promises, so that rules are broken although the controllers are correct, and the invariant checker has to
 * find it: evidence that it detects violations. Only tests pass them.
 */

/** One promise that is not kept; the first word names who breaks it. */
export type Defect =
  | 'state-ignores-conditions'
  | 'state-watch-loses-deletions'
  | 'worker-ignores-tokens'
  | 'worker-ignores-sessions'
  | 'worker-ignores-its-lease'
  | 'worker-ignores-stops'
  | 'worker-reports-nothing'
  | 'worker-claims-done';

/** The defects of one simulation. */
export type Defects = ReadonlySet<Defect>;
