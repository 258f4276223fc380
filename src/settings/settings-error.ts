/** Shared by the settings parsers: the error for an invalid setting, and reading the file. */
import { readFileSync } from 'node:fs';

/** An invalid setting, which prevents the start. The message is one line with file, field and expected value. */
export class SettingsError extends Error {}

/** Returns the text of a file. Throws SettingsError if it cannot be read. */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(
      `${file}: expected a readable file (${(error as NodeJS.ErrnoException).code ?? 'error'})`,
    );
  }
}
