/** Ends a command with a one-line message and its own exit code. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
  }
}
