import type { Result } from "neverthrow";
import type { Problem } from "../../core/problem.ts";
import type { PoolGrant } from "../../scheduling/pool/pool_job.ts";

/** A place for a request, or why there is none. */
export type PlacementResult = Result<PoolGrant, Problem>;
