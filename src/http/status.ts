/** The HTTP status codes (RFC 9110, RFC 6585) that the project sends or handles. */

/** Status codes by their standard names. */
export const HTTP_STATUS = {
  ok: 200,
  created: 201,
  badRequest: 400,
  notFound: 404,
  methodNotAllowed: 405,
  conflict: 409,
  gone: 410,
  contentTooLarge: 413,
  misdirectedRequest: 421,
  unprocessableContent: 422,
  tooManyRequests: 429,
  headerFieldsTooLarge: 431,
  internalServerError: 500,
  notImplemented: 501,
  serviceUnavailable: 503,
  gatewayTimeout: 504,
} as const;
