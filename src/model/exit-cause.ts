/**
 * Why a task has left its machine, as the worker reports it. `done`: it completed. `stopped`: it stopped on request.
 * `error`: it failed. `no-room`, `busy`, `unknown`: the worker refused the launch because the machine has not enough
 * free resources, has the task under another attempt, or does not know the job. `peers`: another task of its gang was
 * lost. `alone`: its gang was not complete in time.
 */
export type ExitCause = 'done' | 'stopped' | 'error' | 'no-room' | 'busy' | 'unknown' | 'peers' | 'alone';
