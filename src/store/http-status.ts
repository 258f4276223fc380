/** The HTTP statuses that the store and the cloud answer with and that their clients tell apart. */
export const HttpStatus = {
  ok: 200,
  badRequest: 400,
  notFound: 404,
  conflict: 409,
  gone: 410,
  tooManyRequests: 429,
  serviceUnavailable: 503,
} as const;
