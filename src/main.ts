import { main } from './cli/cli.js';

process.on('uncaughtException', (error) => {
  // A controller never ends by itself: what went wrong in one request or connection must not end the others.
  process.stderr.write(
    `${JSON.stringify({ level: 'error', msg: 'uncaught exception', err: String(error.stack) })}\n`,
  );
});
process.on('unhandledRejection', (error) => {
  const text = error instanceof Error ? String(error.stack) : String(error);
  process.stderr.write(`${JSON.stringify({ level: 'error', msg: 'unhandled rejection', err: text })}\n`);
});

process.exitCode = await main(process.argv);
