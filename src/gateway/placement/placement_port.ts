import type { Result } from "neverthrow";
import type { Problem } from "../../core/problem.ts";
import type { PoolGrant } from "../../scheduling/pool/pool_job.ts";

/** The grant for a request, or the problem that prevents its placement. */
export type PlacementResult = Result<PoolGrant, Problem>;
