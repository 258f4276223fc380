/**
 * Faults of the model itself. With one of them the outside does not keep what PROTOCOL promises, the controllers break
 * rules through no fault of their own, and the judge has to find it: evidence that it sees faults. Only tests pass them.
 */
export type Defect =
  | 'state-ignores-conditions'
  | 'state-watch-loses-deletions'
  | 'worker-ignores-tokens'
  | 'worker-ignores-sessions'
  | 'worker-ignores-its-lease'
  | 'worker-ignores-stops'
  | 'worker-reports-nothing'
  | 'worker-claims-done';

export type Defects = ReadonlySet<Defect>;
