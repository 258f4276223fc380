/** What reading settings has in common: the error of a wrong one, and the file itself. */
import { readFileSync } from 'node:fs';

/** A setting that ends the start: one line naming file, field and what was expected. */
export class SettingsError extends Error {}

/** The text of a file. Throws SettingsError if it cannot be read. */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(
      `${file}: expected a readable file (${(error as NodeJS.ErrnoException).code ?? 'error'})`,
    );
  }
}
