/** Parses the header fields of a message, with strict names and values and a limited number of fields. */
import { HttpError, malformed } from './http-error.js';
import { HTTP_STATUS } from './status.js';

const MAX_HEADERS = 100;
const NAME_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
// Printable ASCII, tab and Latin-1.
const VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;
/** Repeating one of these fields would make the end or the addressee of the message ambiguous. */
const UNREPEATABLE_NAMES: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding', 'host']);

/** Returns the fields by lower-case name; values of repeated fields are joined by commas. Throws HttpError. */
export function parseHeaderFields(lines: readonly string[]): ReadonlyMap<string, string> {
  if (lines.length > MAX_HEADERS) throw new HttpError(HTTP_STATUS.headerFieldsTooLarge, 'too many headers');
  const fields = new Map<string, string>();
  for (const line of lines) {
    const colon = line.indexOf(':');
    const name = line.slice(0, colon).toLowerCase();
    const value = line.slice(colon + 1).trim();
    if (colon <= 0 || !NAME_PATTERN.test(name) || !VALUE_PATTERN.test(value)) throw malformed('bad header');
    const previous = fields.get(name);
    if (previous !== undefined && UNREPEATABLE_NAMES.has(name)) throw malformed(`repeated ${name}`);
    fields.set(name, previous === undefined ? value : `${previous}, ${value}`);
  }
  return fields;
}
