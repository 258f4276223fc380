/** Settings file of one controller of a scenario's deployment, as the platform provides it. */
import { stringify } from 'smol-toml';
import type { Deployment } from './scenario.js';

const host = (node: number): string => `10.0.0.${node + 1}`;

/** Formats the settings file (TOML) of the controller with the index `node`. */
export function formatSettings(deployment: Deployment, node: number): string {
  const known = deployment.controllers
    .map((zone, index) => ({ label: `n${index}`, domain: zone, peer_addr: `${host(index)}:8081` }))
    .filter((_, index) => index !== node);
  return stringify({
    label: `n${node}`,
    domain: deployment.controllers[node] ?? '',
    bind: `${host(node)}:8080`,
    mesh_addr: `${host(node)}:8081`,
    known,
    services: { cloud: '10.2.0.2:8443', state: '10.2.0.1:2379' },
    facts: {
      zones: deployment.zones,
      teams: deployment.teams,
      workers: {
        report_s: deployment.report_s,
        lease_s: deployment.lease_s,
        cancel_s: deployment.cancel_s,
        gang_wait_s: deployment.gang_wait_s,
        gang_peer_s: deployment.gang_peer_s,
      },
      state: deployment.state,
      cloud: { rps: deployment.cloud.rps, list_lag_s: deployment.cloud.list_lag_s },
      quota: { max_connections: deployment.max_connections },
    },
  });
}
