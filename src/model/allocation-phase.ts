/**
 * Phase of a task that is allocated to a machine. `ordered`: its launch has been decided, and no report of the worker
 * has listed it yet. `fetching`: the worker fetches the image. `gathering`: the task waits on its machine for the other
 * tasks of its gang. `saving`: the task was told to stop and writes a checkpoint. Workers report all phases except
 * `ordered`.
 */
export type AllocationPhase = 'ordered' | 'fetching' | 'gathering' | 'running' | 'saving';
