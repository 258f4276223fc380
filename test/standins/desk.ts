/** The desk for shares of one team's limit, of a controller that owns some of the parts; each write succeeds at once. */
import type { Core } from '../../src/core.js';
import type { Resources } from '../../src/model/resources.js';
import type { Part } from '../../src/parts/model.js';
import { QuotaDesk } from '../../src/quota/desk.js';
import { encodeShares, quotaKey } from '../../src/quota/shares.js';
import type { Team } from '../../src/settings/settings.js';
import { View } from '../../src/state/view.js';

export function deskOf(
  team: Team,
  parts: readonly Part[],
  partCount: number,
  now: () => number,
  /** Left out: even shares. */
  shares?: readonly Resources[],
): QuotaDesk {
  const view = new View(() => undefined);
  const key = quotaKey(team.name);
  if (shares) view.learn(key, encodeShares(team, shares), 1 as never);
  return new QuotaDesk({
    settings: {
      teams: new Map([[team.name, team]]),
      parts: Array.from({ length: partCount }, (_, part) => ({ part })),
    },
    view,
    parts: new Map(parts.map((part) => [part.id, part])),
    partNews: new Map(),
    clock: { now },
    partRecord: () => null,
    ownerCondition: () => ({}),
    settle: () => Promise.resolve({ kind: 'done', revision: (view.version(key) + 1) as never }),
    exclusive: (work: () => unknown) => Promise.resolve(work()),
    log: { debug: () => undefined },
    wake: () => undefined,
  } as unknown as Core);
}
