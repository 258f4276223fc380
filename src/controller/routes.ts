/** Routes requests to handlers by path and method. */
import type { Handler, HttpRequest, HttpResponse } from '../http/server.js';
import type { JobService } from '../jobs/service.js';
import type { WorkerService } from '../workers/service.js';
import type { HealthCheck } from './health.js';

/** Path to which workers post their heartbeats. */
export const HEARTBEAT_PATH = '/agent/beat';
const HEALTH_PATH = '/up';
const JOBS_PATH = '/v2/runs';
/** Path of a job, and of its cancellation. */
const JOB_PATH_PATTERN = /^\/v2\/runs\/([^/]+)(\/abort)?$/;

const NOT_FOUND: HttpResponse = { status: 404, body: { error: 'no such path' } };
const METHOD_NOT_ALLOWED: HttpResponse = { status: 405, body: { error: 'method not allowed' } };

/** The only method of a path, and its handler. */
interface Route {
  readonly method: 'GET' | 'POST';
  readonly answer: () => HttpResponse | Promise<HttpResponse>;
}

/** The components that handle requests. */
export interface RouteHandlers {
  readonly health: Pick<HealthCheck, 'answer'>;
  readonly workers: Pick<WorkerService, 'handleHeartbeat'>;
  readonly jobs: Pick<JobService, 'submit' | 'cancel' | 'status'>;
}

function findRoute({ health, workers, jobs }: RouteHandlers, request: HttpRequest): Route | null {
  const path = request.path.split('?', 1)[0] ?? '';
  switch (path) {
    case HEALTH_PATH:
      return { method: 'GET', answer: () => health.answer() };
    case HEARTBEAT_PATH:
      return { method: 'POST', answer: () => workers.handleHeartbeat(request.body) };
    case JOBS_PATH:
      return { method: 'POST', answer: () => jobs.submit(request.body) };
  }
  const job = JOB_PATH_PATTERN.exec(path);
  if (!job) return null;
  const id = job[1] ?? '';
  if (job[2]) return { method: 'POST', answer: () => jobs.cancel(id) };
  return { method: 'GET', answer: () => jobs.status(id) };
}

/** Returns the handler of all requests from users and workers. */
export function routeRequests(handlers: RouteHandlers): Handler {
  return (request) => {
    const route = findRoute(handlers, request);
    if (!route) return NOT_FOUND;
    return request.method === route.method ? route.answer() : METHOD_NOT_ALLOWED;
  };
}
