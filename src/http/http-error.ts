/** The error of a message that breaks HTTP's rules or our limits. */
import { HTTP_STATUS } from './status.js';

/** A message that cannot be read; `status` is what a server answers. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** The error of a message that is no valid HTTP/1.1. */
export const malformed = (message: string): HttpError => new HttpError(HTTP_STATUS.badRequest, message);
