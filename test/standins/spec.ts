/** A plain array job of the team red; each test says what differs. */
import type { JobSpec } from '../../src/jobs/spec.js';

export const plainSpec = (o: Partial<Record<keyof JobSpec, unknown>> = {}): JobSpec =>
  ({
    id: 'req-1',
    lane: 'l',
    team: 'red',
    shape: 'array',
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
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...o,
  }) as unknown as JobSpec;
