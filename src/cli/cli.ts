/** The command line: serve, check the settings, simulate, help, version. */
import { readFileSync } from 'node:fs';
import { Command, CommanderError } from 'commander';
import { Controller, networkPorts } from '../controller.js';
import { openLog } from '../log.js';
import { TUNING_OPTIONS, loadSettings, loadTuning, logLevelOf, SettingsError } from '../settings/settings.js';
import { systemClock } from '../model/units.js';
import { CommandFailed } from './command-failed.js';

const BAD_SETTINGS = 2;

interface Options {
  readonly config: string;
  readonly properties?: string;
}

function version(): string {
  for (const up of ['../../package.json', '../../../package.json']) {
    try {
      const text = readFileSync(new URL(up, import.meta.url), 'utf8');
      return (JSON.parse(text) as { version: string }).version;
    } catch {
      // One level further up when built.
    }
  }
  return 'unknown';
}

async function serve(options: Options): Promise<void> {
  const level = logLevelOf(process.env['LOG_LEVEL']);
  const settings = loadSettings(options.config);
  const tuning = loadTuning(options.properties);
  const log = openLog(level, settings.node);
  await new Controller(settings, tuning, systemClock, log, networkPorts(settings, log)).run();
}

function check(options: Options): void {
  logLevelOf(process.env['LOG_LEVEL']);
  const settings = loadSettings(options.config);
  loadTuning(options.properties);
  process.stdout.write(
    `${options.config}: valid (controller ${settings.node}, ${settings.parts.length} parts)\n`,
  );
}

function tuningHelp(): string {
  const lines = TUNING_OPTIONS.map(
    (k) => `  ${k.key.padEnd(26)} ${k.about} (${k.min} to ${k.max}, else ${k.fallback})`,
  );
  return `\nOperators' properties:\n${lines.join('\n')}\n`;
}

/** The simulator is loaded only when it or the help is asked for: `serve` does not pay for it. */
async function addSimulate(cli: Command, command: string | undefined): Promise<void> {
  if (command === 'serve' || command === 'check') return;
  const { addSimulateCommands } = await import('./simulate.js');
  addSimulateCommands(cli);
}

function program(): Command {
  const cli = new Command('cleatport');
  cli.description('Cluster scheduler: a flock of controllers that place tasks on rented machines');
  cli.version(version()).exitOverride().configureHelp({ showGlobalOptions: true });
  cli.addHelpText(
    'after',
    '\nLOG_LEVEL (error, info, debug; else info) sets what is logged to standard error.',
  );
  for (const [name, about, run] of [
    ['serve', 'run a controller until it is killed', serve],
    ['check', 'check the settings and end', check],
  ] as const) {
    cli
      .command(name)
      .description(about)
      .requiredOption('--config <file>', 'the settings file that the platform hands over (TOML)')
      .option('--properties <file>', "operators' own settings (.properties)")
      .addHelpText('after', tuningHelp())
      .exitOverride()
      .action(run);
  }
  return cli;
}

export async function main(argv: readonly string[]): Promise<number> {
  try {
    const cli = program();
    await addSimulate(cli, argv[2]);
    await cli.parseAsync([...argv]);
    return 0;
  } catch (e) {
    if (e instanceof CommanderError) return e.exitCode === 0 ? 0 : BAD_SETTINGS;
    if (e instanceof CommandFailed) {
      process.stderr.write(`cleatport: ${e.message}\n`);
      return e.code;
    }
    const text = e instanceof SettingsError ? e.message : `start failed: ${(e as Error).message}`;
    process.stderr.write(`cleatport: ${text}\n`);
    return e instanceof SettingsError ? BAD_SETTINGS : 1;
  }
}
