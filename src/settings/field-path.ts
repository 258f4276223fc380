/** Where in a file of nested tables a check has failed. */
import type { BaseIssue } from 'valibot';

/** The path of the field at fault, like `facts.teams[0].name`; empty for the whole file. */
export function fieldPath(issue: BaseIssue<unknown>): string {
  return (issue.path ?? [])
    .map((step) => (typeof step.key === 'number' ? `[${step.key}]` : `.${String(step.key)}`))
    .join('')
    .slice(1);
}
