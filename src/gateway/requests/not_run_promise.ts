/** Statuses by which a response promises that its request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Whether a status promises that the request has not run. Clients then send it again, so it may reach them only as a
 * response of our own to a request that no upstream may have run.
 */
export function promisesNotRun(status: number): boolean {
  return PROMISES.has(status);
}
