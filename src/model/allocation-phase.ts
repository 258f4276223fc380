/**
 * How far a task on a machine has come. `ordered`: its launch has been decided and the worker has not shown the task yet.
 * `fetching`: the image is on its way. `gathering`: it waits on its machine for the other tasks of its gang. `saving`: it
 * has been told to stop and writes a checkpoint. All but `ordered` are states that the worker reports.
 */
export type AllocationPhase = 'ordered' | 'fetching' | 'gathering' | 'running' | 'saving';
