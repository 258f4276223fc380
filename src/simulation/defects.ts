/**
 * Defects of the simulated services and workers, which break guarantees of PROTOCOL. With a defect, rules are violated
 * although the controllers are correct, and the invariant checker must report it: this shows that the checker detects
 * violations. Only tests and soak runs use defects.
 */

/** A broken guarantee; the first word names the component that breaks it. */
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
