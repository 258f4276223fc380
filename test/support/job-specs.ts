/** Builders for teams and job specifications; the default is a simple array job of the team red. */
import type { JobSpec } from '../../src/jobs/spec.js';
import { UNLIMITED, ZERO } from '../../src/model/resources.js';
import type { Team } from '../../src/settings/settings.js';
import type { TeamId } from '../../src/model/units.js';

/** Builds a team, by default `red`; an omitted guarantee is zero and an omitted quota is unlimited. */
export function buildTeam(
  options: { name?: string; cpus?: number; cpusMax?: number; gpus?: number; gpusMax?: number } = {},
): Team {
  return {
    name: (options.name ?? 'red') as TeamId,
    guaranteed: { ...ZERO, cpus: options.cpus ?? 0, gpus: options.gpus ?? 0 },
    quota: { ...UNLIMITED, cpus: options.cpusMax ?? Infinity, gpus: options.gpusMax ?? Infinity },
  };
}

export const buildJobSpec = (changes: Partial<Record<keyof JobSpec, unknown>> = {}): JobSpec =>
  ({
    id: 'req-1',
    jobClass: 'l',
    team: 'red',
    kind: 'array',
    priority: 2,
    tasks: 1,
    cpus: 2,
    gpus: 0,
    memoryGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    image: 'i',
    imageGb: 1,
    estimateS: 30,
    checkpointIntervalS: 0,
    checkpointDurationS: 0,
    deadlineS: null,
    ...changes,
  }) as unknown as JobSpec;
