/** A command that ends with a code of its own and one line about why. */
export class CommandFailed extends Error {
  constructor(
    message: string,
    readonly code: number,
  ) {
    super(message);
  }
}
