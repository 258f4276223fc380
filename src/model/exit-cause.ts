/** Why a task ended on its machine, as the worker reported it. */
export type ExitCause = 'done' | 'stopped' | 'error' | 'no-room' | 'busy' | 'unknown';
