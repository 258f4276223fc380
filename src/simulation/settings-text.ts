/** The settings file that the platform hands to one controller of a scenario's deployment. */
import { stringify } from 'smol-toml';
import type { Deployment } from './scenario.js';

const host = (node: number): string => `10.0.0.${node + 1}`;

export function settingsText(d: Deployment, node: number): string {
  const known = d.controllers
    .map((zone, n) => ({ label: `n${n}`, domain: zone, peer_addr: `${host(n)}:8081` }))
    .filter((_, n) => n !== node);
  return stringify({
    label: `n${node}`,
    domain: d.controllers[node] ?? '',
    bind: `${host(node)}:8080`,
    mesh_addr: `${host(node)}:8081`,
    known,
    services: { cloud: '10.2.0.2:8443', state: '10.2.0.1:2379' },
    facts: {
      zones: d.zones,
      teams: d.teams,
      workers: {
        report_s: d.report_s,
        lease_s: d.lease_s,
        cancel_s: d.cancel_s,
        gang_wait_s: d.gang_wait_s,
        gang_peer_s: d.gang_peer_s,
      },
      state: d.state,
      cloud: { rps: d.cloud.rps, list_lag_s: d.cloud.list_lag_s },
      quota: { max_connections: d.max_connections },
    },
  });
}
