/**
 * Why a task is not on its machine any more, as the worker reports it. `done`: it has completed. `stopped`: it was told
 * to. `error`: it failed. `no-room`, `busy`, `unknown`: the launch was refused, since the machine has not enough free, has
 * the task under another attempt, or has no such task to run. `peers`: another task of its gang is gone. `alone`: its gang
 * was not complete in time.
 */
export type ExitCause = 'done' | 'stopped' | 'error' | 'no-room' | 'busy' | 'unknown' | 'peers' | 'alone';
