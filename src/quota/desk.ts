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
    const ordinary = this.ordinaryNeed(part, team);
    const gathers = part.gathering.get(team);
    if (!gathers) return ordinary;
    return { cpus: Math.max(ordinary.cpus, gathers.cpus), gpus: Math.max(ordinary.gpus, gathers.gpus) };
  }

  private ordinaryNeed(part: Part, team: TeamId): Share {
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

  /** Of two parts that gather for the same team the one with the lower number goes first. */
  private needBeside(part: Part, ask: Ask): Share {
    if (!ask.gathering) return this.need(part, ask.team);
    const first = ask.from < part.id ? undefined : part.gathering.get(ask.team);
    return first ?? { cpus: 0, gpus: 0 };
  }

  private usable(part: Part, team: TeamId, asked: Share, need = this.need(part, team)): Share {
    const usage = usageOf(part);
    const used = usage.teams.get(team) ?? { cpus: 0, gpus: 0 };
    const all = { cpus: used.cpus + usage.cpusAnybody, gpus: used.gpus + usage.gpusAnybody };
    return gift(this.share(part.id, team), all, need, asked);
  }

  /** Unused shares by team, for the announcements. */
  spare(part: Part): Map<TeamId, number> {
    const out = new Map<TeamId, number>();
    for (const team of this.core.settings.teams.keys()) {
      const cpus = this.usable(part, team, { cpus: Infinity, gpus: Infinity }).cpus;
      if (cpus > 0) out.set(team, Math.floor(cpus));
    }
    return out;
  }

  /** Tasks of the team wait for its limit here: asks the part that announced most to spare. */
  request(part: Part, team: TeamId, amount: Share): void {
    const now = this.core.clock.now();
    const key = `${part.id}/${team}`;
    if (now - (this.asked.get(key) ?? -1e12) < ASK_GAP) return;
    const gathers = part.gathering.get(team);
    if (gathers) this.gather(part, team, gathers, now);
    let best: { part: PartId; spare: number } | null = null;
    for (const { part: other } of this.core.settings.parts) {
      if (other === part.id) continue;
      const spare = this.spareOf(other, team, now);
      if (spare > 0 && (!best || spare > best.spare)) best = { part: other, spare };
    }
    if (!best) return;
    this.asked.set(key, now);
    this.send({ kind: 'ask', from: part.id, to: best.part, team, ...amount, gathering: false });
  }

  private send(ask: Ask): void {
    if (this.core.parts.has(ask.to)) void this.answer(ask);
    else {
      const owner = this.core.partRecord(ask.to)?.owner;
      if (owner) this.core.mesh.send(owner, ask);
    }
  }

  /** What is missing for one task, asked of every other part: each may have a piece that is too small for any task. */
  private gather(part: Part, team: TeamId, needed: Share, now: SteadyMs): void {
    const share = this.share(part.id, team);
    const used = part.sums.teams.get(team) ?? { cpus: 0, gpus: 0 };
    const cpus = Math.max(0, needed.cpus - (share.cpus - used.cpus));
    const gpus = Math.max(0, needed.gpus - (share.gpus - used.gpus));
    if (cpus <= 0 && gpus <= 0) return;
    this.asked.set(`${part.id}/${team}`, now);
    for (const { part: other } of this.core.settings.parts)
      if (other !== part.id)
        this.send({ kind: 'ask', from: part.id, to: other, team, cpus, gpus, gathering: true });
  }

  private spareOf(part: PartId, team: TeamId, now: SteadyMs): number {
    const own = this.core.parts.get(part);
    if (own) return this.usable(own, team, { cpus: Infinity, gpus: Infinity }).cpus;
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
    const amount = this.usable(part, ask.team, ask, this.needBeside(part, ask));
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
      { team: ask.team, from: ask.to, to: ask.from, cpus: amount.cpus, result: result.kind },
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
