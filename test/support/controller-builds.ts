/** The builds of the service that a simulated cluster can run: the working sources and the version in production. */
import { Controller } from '../../src/controller/controller.js';
import { silentLog } from '../../src/logging/log.js';
import type { Resources } from '../../src/model/resources.js';
import type { JobRecord } from '../../src/jobs/record.js';
import type { RangeSet } from '../../src/model/ranges.js';
import { parseSettings, parseTuning, type Team } from '../../src/settings/settings.js';

/** The exports of a build that a simulated cluster needs to start a controller. */
export interface ControllerBuild {
  readonly Controller: typeof Controller;
  readonly parseSettings: typeof parseSettings;
  readonly parseTuning: typeof parseTuning;
  readonly silentLog: typeof silentLog;
}

export const WORKING_BUILD: ControllerBuild = { Controller, parseSettings, parseTuning, silentLog };

/** Written by `scripts/build-production.mjs` before the tests run; relative to the compiled version of this file. */
const PRODUCTION_URL = new URL('../../production/src/', import.meta.url);

/** Loads the version in production. Both builds use the same `Ports`, so the types of the working sources apply. */
export async function loadProductionBuild(): Promise<ControllerBuild> {
  const load = async <T>(file: string): Promise<T> => (await import(new URL(file, PRODUCTION_URL).href)) as T;
  const controller = await load<Pick<ControllerBuild, 'Controller'>>('controller.js');
  const settings = await load<Pick<ControllerBuild, 'parseSettings' | 'parseTuning'>>('settings/settings.js');
  const log = await load<Pick<ControllerBuild, 'silentLog'>>('log.js');
  return {
    Controller: controller.Controller,
    parseSettings: settings.parseSettings,
    parseTuning: settings.parseTuning,
    silentLog: log.silentLog,
  };
}

/** Loads a module of the version in production; the caller supplies its type. */
export const loadProductionModule = async <T>(file: string): Promise<T> =>
  (await import(new URL(file, PRODUCTION_URL).href)) as T;

/** A job's record in memory, with the member names of the version in production. */
export interface ProductionRecord {
  readonly spec: Readonly<Record<string, unknown>>;
  readonly home: number;
  readonly born: number;
  readonly accepted: number | null;
  readonly assignments: readonly {
    readonly from: number;
    readonly to: number;
    readonly part: number;
    readonly zone: string | null;
  }[];
  readonly done: RangeSet;
}

/** `jobs/record.ts` of the version in production. */
export interface ProductionRecords {
  encodeRecord(record: ProductionRecord): unknown;
  decodeRecord(value: unknown): ProductionRecord | null;
  encodeFinal(state: string): unknown;
  decodeFinal(value: unknown): string | null;
}

/** `parts/records.ts` of the version in production: it decodes the records of shards and machines in the store. */
export interface ProductionShardRecords {
  decodePart(value: unknown): unknown;
  decodeMachine(value: unknown): unknown;
}

/** `quota/shares.ts` of the version in production. */
export interface ProductionQuotas {
  evenShares(team: ProductionTeam, shards: number): unknown;
  encodeShares(team: ProductionTeam, shares: unknown): unknown;
}

/** A team's settings, with the member names of the version in production. */
export interface ProductionTeam {
  readonly name: string;
  readonly guarantee: Resources;
  readonly limit: Resources;
}

/** Converts a team of the working sources to the version in production's form in memory. */
export const toProductionTeam = (team: Team): ProductionTeam => ({
  name: team.name,
  guarantee: team.guaranteed,
  limit: team.quota,
});

/** Converts a job record of the working sources to the version in production's form in memory. */
export function toProductionRecord(record: JobRecord): ProductionRecord {
  const { spec } = record;
  return {
    spec: {
      id: spec.id,
      lane: spec.jobClass,
      team: spec.team,
      shape: spec.kind,
      priority: spec.priority,
      tasks: spec.tasks,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memoryGb: spec.memoryGb,
      types: spec.types,
      zone: spec.zone,
      oneZone: spec.oneZone,
      spread: spec.spread,
      spot: spec.spot,
      image: spec.image,
      imageGb: spec.imageGb,
      estimateS: spec.estimateS,
      checkpointS: spec.checkpointIntervalS,
      saveS: spec.checkpointDurationS,
      deadlineS: spec.deadlineS,
    },
    home: record.homeShard,
    born: record.acceptedRevision,
    accepted: record.acceptedAt,
    assignments: record.assignments.map(({ from, to, shard: part, zone }) => ({ from, to, part, zone })),
    done: record.done,
  };
}
