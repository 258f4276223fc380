/**
 * Entry point of the command: runs the command line and keeps the process alive after uncaught errors. A controller
 * never exits by itself: an error in one request or connection must not end the others.
 */
import { main } from './cli/cli.js';

/** Writes a line in the format of the log, which may not be open yet. */
function reportUncaught(message: string, error: unknown): void {
  const text = error instanceof Error ? String(error.stack) : String(error);
  process.stderr.write(`${JSON.stringify({ level: 'error', msg: message, err: text })}\n`);
}

process.on('uncaughtException', (error) => reportUncaught('uncaught exception', error));
process.on('unhandledRejection', (error) => reportUncaught('unhandled rejection', error));

process.exitCode = await main(process.argv);
