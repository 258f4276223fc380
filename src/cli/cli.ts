/** The command line: `serve`, `check`, `simulate`, help and version. */
import { readFileSync } from 'node:fs';
import { Command, CommanderError } from 'commander';
import { Controller } from '../controller/controller.js';
import { networkPorts } from '../controller/ports.js';
import { openLog } from '../logging/log.js';
import { parseLogLevel } from '../settings/log-level.js';
import { SettingsError } from '../settings/settings-error.js';
import { loadSettings } from '../settings/settings.js';
import { TUNING_PROPERTIES, loadTuning } from '../settings/tuning.js';
import { systemClock } from '../model/units.js';
import { CommandError } from './command-error.js';

const INVALID_USAGE_EXIT_CODE = 2;
/** Width of the column of property names in the help. */
const PROPERTY_NAME_WIDTH = 26;

interface CommandOptions {
  readonly config: string;
  readonly properties?: string;
}

function readVersion(): string {
  for (const relativePath of ['../../package.json', '../../../package.json']) {
    try {
      const text = readFileSync(new URL(relativePath, import.meta.url), 'utf8');
      return (JSON.parse(text) as { version: string }).version;
    } catch {
      // The built file is one level deeper than the source file.
    }
  }
  return 'unknown';
}

async function serve(options: CommandOptions): Promise<void> {
  const level = parseLogLevel(process.env['LOG_LEVEL']);
  const settings = loadSettings(options.config);
  const tuning = loadTuning(options.properties);
  const log = openLog(level, settings.node);
  await new Controller(settings, tuning, systemClock, log, networkPorts(settings, log)).run();
}

function checkSettings(options: CommandOptions): void {
  parseLogLevel(process.env['LOG_LEVEL']);
  const settings = loadSettings(options.config);
  loadTuning(options.properties);
  process.stdout.write(
    `${options.config}: valid (controller ${settings.node}, ${settings.shards.length} parts)\n`,
  );
}

function propertiesHelp(): string {
  const lines = TUNING_PROPERTIES.map(
    (property) =>
      `  ${property.propertyName.padEnd(PROPERTY_NAME_WIDTH)} ${property.description} (${property.min} to ${property.max}, else ${property.defaultValue})`,
  );
  return `\nOperators' properties:\n${lines.join('\n')}\n`;
}

/** Loads the simulator only for its commands and the help, so that `serve` and `check` start without it. */
async function loadSimulateCommands(cli: Command, command: string | undefined): Promise<void> {
  if (command === 'serve' || command === 'check') return;
  const { addSimulateCommands } = await import('./simulate.js');
  addSimulateCommands(cli);
}

function buildProgram(): Command {
  const cli = new Command('cleatport');
  cli.description('Cluster scheduler: a flock of controllers that place tasks on rented machines');
  cli.version(readVersion()).exitOverride().configureHelp({ showGlobalOptions: true });
  cli.addHelpText(
    'after',
    '\nLOG_LEVEL (error, info, debug; else info) sets what is logged to standard error.',
  );
  for (const [name, description, run] of [
    ['serve', 'run a controller until it is killed', serve],
    ['check', 'check the settings and end', checkSettings],
  ] as const) {
    cli
      .command(name)
      .description(description)
      .requiredOption('--config <file>', 'the settings file that the platform hands over (TOML)')
      .option('--properties <file>', "operators' own settings (.properties)")
      .addHelpText('after', propertiesHelp())
      .exitOverride()
      .action(run);
  }
  return cli;
}

/** Runs a command line (`process.argv`) and returns the exit code of the process; errors go to standard error. */
export async function main(argv: readonly string[]): Promise<number> {
  try {
    const cli = buildProgram();
    await loadSimulateCommands(cli, argv[2]);
    await cli.parseAsync([...argv]);
    return 0;
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? 0 : INVALID_USAGE_EXIT_CODE;
    if (error instanceof CommandError) {
      process.stderr.write(`cleatport: ${error.message}\n`);
      return error.exitCode;
    }
    const text = error instanceof SettingsError ? error.message : `start failed: ${(error as Error).message}`;
    process.stderr.write(`cleatport: ${text}\n`);
    return error instanceof SettingsError ? INVALID_USAGE_EXIT_CODE : 1;
  }
}
