/** Formats the path of an invalid field, for errors of settings and scenario files. */
import type { BaseIssue } from 'valibot';

/** Returns the path of the invalid field, such as `facts.teams[0].name`; empty for the whole file. */
export function fieldPath(issue: BaseIssue<unknown>): string {
  return (issue.path ?? [])
    .map((step) => (typeof step.key === 'number' ? `[${step.key}]` : `.${String(step.key)}`))
    .join('')
    .slice(1);
}
