/** Reads, writes and validates scenario files (TOML); errors name the field. */
import { parse, stringify, TomlError } from 'smol-toml';
import * as v from 'valibot';
import { fieldPath } from '../settings/field-path.js';
import { scenarioSchema, type Deployment, type Scenario } from './scenario-schema.js';

export type { Scenario, ScenarioInput, Deployment, Load, Fault, FaultInput } from './scenario-schema.js';

/** Error of an invalid scenario; the message is one line with the file, the field and the expected value. */
export class ScenarioError extends Error {}

type ExpectKnown = (field: string, known: readonly string[], used: string | undefined) => void;

/** Checks that every name that the scenario refers to is defined in it, and that `cancel_s` is more than `lease_s`. */
function checkConsistency(scenario: Scenario, file: string): void {
  const { lease_s: leaseS, cancel_s: cancelS } = scenario.deployment;
  if (cancelS <= leaseS)
    throw new ScenarioError(`${file}: deployment.cancel_s: expected more than lease_s (${leaseS})`);
  const expectKnown: ExpectKnown = (field, known, used) => {
    if (used !== undefined && !known.includes(used))
      throw new ScenarioError(`${file}: ${field}: expected one of ${known.join(', ')}, got "${used}"`);
  };
  checkDeploymentReferences(scenario.deployment, expectKnown);
  checkLoadReferences(scenario, expectKnown);
  checkFaults(scenario, file, expectKnown);
}

function checkDeploymentReferences(deployment: Deployment, expectKnown: ExpectKnown): void {
  const { zones, types, machines, controllers } = deployment;
  const typeNames = types.map((type) => type.name);
  controllers.forEach((zone, index) => expectKnown(`deployment.controllers[${index}]`, zones, zone));
  types.forEach((type, index) =>
    type.zones?.forEach((zone, zoneIndex) =>
      expectKnown(`deployment.types[${index}].zones[${zoneIndex}]`, zones, zone),
    ),
  );
  machines.forEach((machine, index) => {
    expectKnown(`deployment.machines[${index}].type`, typeNames, machine.type);
    expectKnown(`deployment.machines[${index}].zone`, zones, machine.zone);
  });
}

function checkLoadReferences({ deployment, load: loads }: Scenario, expectKnown: ExpectKnown): void {
  const typeNames = deployment.types.map((type) => type.name);
  const teamNames = deployment.teams.map((team) => team.name);
  loads.forEach((load, index) => {
    expectKnown(`load[${index}].team`, teamNames, load.team);
    expectKnown(`load[${index}].zone`, deployment.zones, load.zone);
    load.types?.forEach((type, typeIndex) =>
      expectKnown(`load[${index}].types[${typeIndex}]`, typeNames, type),
    );
  });
}

function checkFaults(
  { deployment, load: loads, faults }: Scenario,
  file: string,
  expectKnown: ExpectKnown,
): void {
  const { zones, controllers } = deployment;
  const classes = loads.map((load) => load.class);
  faults.forEach((fault, index) => {
    if ('zone' in fault) expectKnown(`faults[${index}].zone`, zones, fault.zone);
    if ('other_zone' in fault) expectKnown(`faults[${index}].other_zone`, zones, fault.other_zone);
    if ('class' in fault) expectKnown(`faults[${index}].class`, classes, fault.class);
    if ('node' in fault && typeof fault.node === 'number' && fault.node >= controllers.length)
      throw new ScenarioError(`${file}: faults[${index}].node: expected less than ${controllers.length}`);
    if (fault.key !== undefined && fault.on !== 'commit')
      throw new ScenarioError(`${file}: faults[${index}].key: expected only with on = "commit"`);
  });
}

/** Fills in defaults and validates the scenario; `file` is the name of its file in errors. Throws ScenarioError. */
export function checkScenario(input: unknown, file: string): Scenario {
  const result = v.safeParse(scenarioSchema, input, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    if (issue.received === 'undefined')
      throw new ScenarioError(`${file}: ${fieldPath(issue)}: expected a value, got nothing`);
    const expected = issue.kind === 'schema' && issue.expected ? issue.expected : issue.message;
    const constraint = issue.message.startsWith('Invalid') ? expected : issue.message;
    const expectedText = constraint === 'never' ? 'no such field' : constraint;
    throw new ScenarioError(
      `${file}: ${fieldPath(issue) || '(top)'}: expected ${expectedText}, got ${issue.received}`,
    );
  }
  checkConsistency(result.output, file);
  return result.output;
}

/** Parses a scenario from TOML; `file` is the name of its file in errors. Throws ScenarioError. */
export function parseScenario(text: string, file: string): Scenario {
  let data: unknown;
  try {
    data = parse(text);
  } catch (error) {
    const location = error instanceof TomlError ? `${file}:${error.line}:${error.column}` : file;
    const [reason] = (error as Error).message.split('\n');
    throw new ScenarioError(`${location}: expected valid TOML: ${reason}`);
  }
  return checkScenario(data, file);
}

/** Formats the scenario as TOML with all defaults written out; `parseScenario` reads it back. */
export const formatScenario = (scenario: Scenario): string => stringify(scenario);
