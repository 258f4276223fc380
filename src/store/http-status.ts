/** HTTP statuses of the store and the cloud that their clients distinguish. */
export const HttpStatus = {
  ok: 200,
  badRequest: 400,
  notFound: 404,
  conflict: 409,
  gone: 410,
  tooManyRequests: 429,
  serviceUnavailable: 503,
} as const;
