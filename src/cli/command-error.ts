/** A command that ends with a code of its own and one line about why. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
  }
}
