/** The settings of a small deployment, and the settings file of each controller. */
import { HOST } from './wire.mjs';

/** The limits and times of the deployment `himal-clearing`. */
export const HIMAL = {
  workers: { report_s: 1.5, lease_s: 12.0, gang_wait_s: 50.0, gang_peer_s: 8.0, cancel_s: 32.0 },
  state: { rps: 100.0, write_rps: 20.0, value_kb: 4.0, txn_ops: 12 },
  cloud: { rps: 5.0, list_lag_s: 3.0 },
  quota: { cpu: 0.34, memory_mb: 178.0, max_connections: 1000 },
  teams: [{ name: 'ghoshana-toli', cpus: 40.0, cpus_max: 120.0, gpus: 0.0, gpus_max: 0.0 }],
};

export const TYPES = [
  {
    name: 'sano-ghar',
    vcpus: 16,
    cards: 0,
    memoryGb: 32,
    cacheGb: 60,
    pullGbPerS: 0.3,
    rate: 0.86,
    lowPrice: 0.26,
    startupS: 25,
    harbors: ['kathmandu-ekai'],
  },
];

export const ZONE = 'kathmandu-ekai';

const table = (entries) =>
  Object.entries(entries)
    .map(([name, value]) => `${name} = ${tomlValue(value)}`)
    .join('\n');

const tomlValue = (value) => JSON.stringify(value);

/** Returns the text of a controller's settings file. */
export function settingsText(deployment, nodes, node, cloudPort) {
  const { workers, state, cloud, quota, teams } = deployment;
  const { next, ...currentLimits } = state;
  const known = nodes
    .filter((peer) => peer !== node)
    .map(
      (peer) =>
        `[[known]]\n${table({ label: peer.name, domain: ZONE, peer_addr: `${HOST}:${peer.peerPort}` })}\n`,
    );
  return [
    table({
      label: node.name,
      domain: ZONE,
      bind: `${HOST}:${node.port}`,
      mesh_addr: `${HOST}:${node.peerPort}`,
    }),
    ...known,
    `[services]\n${table({ cloud: `${HOST}:${cloudPort}`, state: `${HOST}:${node.statePort}` })}`,
    `[facts]\n${table({ count: nodes.length, zones: [ZONE], clock_error_ms: 25.5 })}`,
    ...teams.map((team) => `[[facts.teams]]\n${table(team)}`),
    `[facts.workers]\n${table(workers)}`,
    `[facts.state]\n${table(currentLimits)}`,
    ...(next ? [`[facts.state.next]\n${table(next)}`] : []),
    `[facts.cloud]\n${table(cloud)}`,
    `[facts.quota]\n${table(quota)}`,
  ].join('\n\n');
}
