/** A sample job in the form in which users of the simulator submit it. */
import type { UserJob } from '../../src/simulation/user-jobs.js';

export const SAMPLE_USER_JOB: UserJob = {
  id: 'req-1',
  class: 'batch',
  team: 'atlas',
  shape: 'array',
  priority: 'standard',
  tasks: 2,
  cpus: 2,
  gpus: 0,
  memoryGb: 1,
  types: null,
  zone: null,
  sameZone: false,
  spread: false,
  spot: false,
  image: 'i',
  imageGb: 1,
  estimateS: 10,
  checkpointIntervalS: 0,
  checkpointDurationS: 0,
  runS: 10,
};
