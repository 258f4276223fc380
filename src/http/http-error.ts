/** Errors for messages that violate HTTP or the limits of the parser. */
import { HTTP_STATUS } from './status.js';

/** A message that cannot be read; `status` is the status that the server answers with. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** Creates the error for a message that is not valid HTTP/1.1. */
export const malformed = (message: string): HttpError => new HttpError(HTTP_STATUS.badRequest, message);
