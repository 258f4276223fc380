/** Moves unused shares of teams' limits to the parts where the teams' tasks wait. */
import type { Core } from '../core.js';
import type { Ask } from '../flock/news.js';
import { usageOf, type Part } from '../parts/model.js';
import { Rank } from '../state/budget.js';
import type { PartId, Revision, SteadyMs, TeamId } from '../units.js';
import { decodeShares, encodeShares, gift, moveShare, quotaKey, type Share, type Shares } from './shares.js';

const ASK_GAP = 250;
/** Of what a team uses on a part, or of an even share: what may find room there before some could be asked back. */
const SOON = 0.1;

export class QuotaDesk {
  /** What we gave in a write whose outcome is open: subtracted before it is sent. */
  private readonly pending = new Map<string, Share>();
  private readonly asked = new Map<string, SteadyMs>();
  private readonly decoded = new Map<TeamId, { shares: Shares; version: Revision }>();

  constructor(private readonly core: Core) {}

  private shares(team: TeamId): { shares: Shares; version: Revision } | null {
    const settings = this.core.settings.teams.get(team);
    if (!settings) return null;
    const key = quotaKey(team);
    const version = this.core.view.version(key);
    const known = this.decoded.get(team);
    if (known?.version === version) return known;
    const shares = decodeShares(this.core.view.get(key)?.value, settings, this.core.settings.parts.length);
    const fresh = { shares, version };
    this.decoded.set(team, fresh);
    return fresh;
  }

  /** What a part of ours may use: its share less what it is giving away. */
  share(part: PartId, team: TeamId): Share {
    const share = this.shares(team)?.shares[part] ?? { cpus: 0, gpus: 0 };
    const given = this.pending.get(`${part}/${team}`);
    return given ? { cpus: share.cpus - given.cpus, gpus: share.gpus - given.gpus } : share;
  }

  /**
   * What the team's tasks that wait here could use soon. Where they wait for room, the share waits with them for
   * nothing, while a peer may have room and no share.
   */
  private need(part: Part, team: TeamId): Share {
    const waits = this.waiting(part, team);
    if (!part.roomless.has(team)) return waits;
    const used = part.sums.teams.get(team) ?? { cpus: 0, gpus: 0 };
    const limit = this.core.settings.teams.get(team);
    const even = 1 / this.core.settings.parts.length;
    const soon = (uses: number, most: number): number => SOON * Math.max(uses, most * even);
    return {
      cpus: Math.min(waits.cpus, Math.ceil(soon(used.cpus, limit?.cpusMax ?? 0))),
      gpus: Math.min(waits.gpus, Math.ceil(soon(used.gpus, limit?.gpusMax ?? 0))),
    };
  }

  private waiting(part: Part, team: TeamId): Share {
    let cpus = 0;
    let gpus = 0;
    for (const job of part.accounted ? part.queue : part.jobs.values()) {
      if (job.spec.team !== team) continue;
      const n = job.waiting.size + job.frozen.size;
      cpus += n * job.spec.cpus;
      gpus += n * job.spec.gpus;
    }
    return { cpus, gpus };
  }

  private usable(part: Part, team: TeamId, asked: Share): Share {
    const usage = usageOf(part);
    const used = usage.teams.get(team) ?? { cpus: 0, gpus: 0 };
    const all = { cpus: used.cpus + usage.cpusAnybody, gpus: used.gpus + usage.gpusAnybody };
    return gift(this.share(part.id, team), all, this.need(part, team), asked);
  }

  /** What could be lent of the team's limit: in CPUs, or in GPUs where only they are limited. */
  private lendable(part: Part, team: TeamId): number {
    const { cpus, gpus } = this.usable(part, team, { cpus: Infinity, gpus: Infinity });
    return this.core.settings.teams.get(team)?.cpusMax === 0 ? gpus : cpus;
  }

  /** Unused shares by team, for the announcements. */
  spare(part: Part): Map<TeamId, number> {
    const out = new Map<TeamId, number>();
    for (const team of this.core.settings.teams.keys()) {
      const amount = this.lendable(part, team);
      if (amount > 0) out.set(team, Math.floor(amount));
    }
    return out;
  }

  /** Tasks of the team wait for its limit here: asks the part that announced most to spare. */
  request(part: Part, team: TeamId, amount: Share): void {
    const now = this.core.clock.now();
    const key = `${part.id}/${team}`;
    if (now - (this.asked.get(key) ?? -1e12) < ASK_GAP) return;
    let best: { part: PartId; spare: number } | null = null;
    for (const { part: other } of this.core.settings.parts) {
      if (other === part.id) continue;
      const spare = this.spareOf(other, team, now);
      if (spare > 0 && (!best || spare > best.spare)) best = { part: other, spare };
    }
    if (!best) return;
    this.asked.set(key, now);
    const ask: Ask = { kind: 'ask', from: part.id, to: best.part, team, ...amount };
    if (this.core.parts.has(best.part)) void this.answer(ask);
    else {
      const owner = this.core.partRecord(best.part)?.owner;
      if (owner) this.core.mesh.send(owner, ask);
    }
  }

  private spareOf(part: PartId, team: TeamId, now: SteadyMs): number {
    const own = this.core.parts.get(part);
    if (own) return this.lendable(own, team);
    const news = this.core.partNews.get(part);
    return news && news.expires > now ? (news.spare.get(team) ?? 0) : 0;
  }

  /** Gives what is unused, in one write on condition that we still own the part. */
  async answer(ask: Ask): Promise<void> {
    const { core } = this;
    const part = core.parts.get(ask.to);
    const team = core.settings.teams.get(ask.team);
    const key = `${ask.to}/${ask.team}`;
    const known = this.shares(ask.team);
    if (!part || !team || !known || this.pending.has(key) || ask.from === ask.to || !known.shares[ask.from])
      return;
    const amount = this.usable(part, ask.team, { cpus: ask.cpus, gpus: ask.gpus });
    if (amount.cpus <= 0 && amount.gpus <= 0) return;
    this.pending.set(key, amount);
    const value = encodeShares(team, moveShare(known.shares, ask.to, ask.from, amount));
    const quota = quotaKey(ask.team);
    const result = await core.settle(
      [{ key: quota, version: known.version }, core.ownerCondition(part)],
      [{ op: 'put', key: quota, value }],
      Rank.handover,
    );
    await core.exclusive(() => {
      if (result.kind === 'done') core.view.learn(quota, value, result.revision);
    });
    // After a conflict the record has moved on; until the feed shows it, what was given stays subtracted.
    if (result.kind === 'conflict') await this.awaitNewer(quota, known.version, part);
    this.pending.delete(key);
    core.log.debug(
      {
        team: ask.team,
        from: ask.to,
        to: ask.from,
        cpus: amount.cpus,
        gpus: amount.gpus,
        result: result.kind,
      },
      'share moved',
    );
    core.wake();
  }

  private async awaitNewer(key: ReturnType<typeof quotaKey>, version: Revision, part: Part): Promise<void> {
    for (let i = 0; i < 300; i += 1) {
      const moved = this.core.view.version(key) !== version || this.core.parts.get(part.id) !== part;
      if (moved || this.core.ownerCondition(part).version !== part.version) return;
      const read = await this.core.state.get(key, Rank.handover);
      if (read.kind === 'found')
        await this.core.exclusive(() => this.core.view.learn(key, read.entry.value, read.entry.version));
      if (read.kind === 'absent' || (read.kind === 'found' && read.entry.version === version)) return;
      await this.core.sleep(100 as never);
    }
  }
}
