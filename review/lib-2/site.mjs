/** A small deployment of the pages, and the settings file of its controllers. */
/** The limits and times of the small deployment himal-clearing. */
export const SMALL_SITE = {
  zones: ['kathmandu-ekai', 'birgunj-ekai'],
  nodeZones: ['kathmandu-ekai', 'birgunj-ekai', 'kathmandu-ekai'],
  teams: [{ name: 'ghoshana-toli-1', cpus: 40, cpusMax: 120 }],
  state: { rps: 100, writeRps: 20, valueKb: 4, txnOps: 12 },
  workers: { reportS: 1.5, leaseS: 12, cancelS: 32 },
  cloud: { rps: 5, listLagS: 3 },
  hulls: [
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
      harbors: ['kathmandu-ekai', 'birgunj-ekai'],
    },
  ],
  bootMs: 25_000,
  capacity: () => 0,
  extraSettings: '',
};

const quoted = (text) => JSON.stringify(text);
const decimal = (value) => (Number.isInteger(value) ? value.toFixed(1) : String(value));

const knownTables = (peers) =>
  peers
    .map(
      ({ label, domain, address }) =>
        `[[known]]\nlabel = ${quoted(label)}\ndomain = ${quoted(domain)}\npeer_addr = ${quoted(address)}\n`,
    )
    .join('');

const teamTables = (teams) =>
  teams
    .map(
      ({ name, cpus, cpusMax }) =>
        `[[facts.teams]]\nname = ${quoted(name)}\ncpus = ${decimal(cpus)}\ncpus_max = ${decimal(cpusMax)}\ngpus = 0.0\ngpus_max = 0.0\n`,
    )
    .join('');

/** The settings file of one controller. */
export function settingsText(site, node, peers, services) {
  const { workers, state, cloud } = site;
  return `label = ${quoted(node.label)}
domain = ${quoted(node.domain)}
bind = ${quoted(node.address)}
mesh_addr = ${quoted(node.mesh)}
${knownTables(peers)}
[services]
cloud = ${quoted(services.cloud)}
state = ${quoted(services.state)}
[facts]
count = ${peers.length + 1}
zones = [${site.zones.map(quoted).join(', ')}]
clock_error_ms = 25.0
${teamTables(site.teams)}
[facts.workers]
report_s = ${decimal(workers.reportS)}
lease_s = ${decimal(workers.leaseS)}
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = ${decimal(workers.cancelS)}
[facts.state]
rps = ${decimal(state.rps)}
write_rps = ${decimal(state.writeRps)}
value_kb = ${decimal(state.valueKb)}
txn_ops = ${state.txnOps}
[facts.cloud]
rps = ${decimal(cloud.rps)}
list_lag_s = ${decimal(cloud.listLagS)}
[facts.quota]
cpu = 0.34
memory_mb = 178.0
max_connections = 1000
${site.extraSettings}`;
}
