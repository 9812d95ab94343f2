/** Names of the installation that the cases play. */
export const HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";
export const ENGINES = "assistant-pool";
export const CALLS = "coop-ledger";
/** Limits of clients, as the pages show them. */
export const MAX_HEADER_BYTES = 16_384;
export const MAX_BODY_BYTES = 4_194_304;

/** Time-out of the route of the lookups. */
export const LOOKUP_TIMEOUT_MS = 3_000;

/** A configuration with the routes, services and limits that the pages show for a small deployment. */
export function configOf(version: number) {
  const route = {
    hostname: HOST,
    priority: 1,
    maxAttempts: 2,
    public: false,
    stickySessions: false,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: "bench-question",
        pathPrefix: "/ask/",
        routeType: "streaming",
        service: ENGINES,
        timeoutMs: 10_000,
        targetLatencyMs: 300,
        gapAimMs: 250,
        stickySessions: true,
        resumeStreams: true,
      },
      {
        ...route,
        name: "stock-reserve",
        pathPrefix: "/reserve/",
        routeType: "non_idempotent",
        service: CALLS,
        timeoutMs: 3_000,
        targetLatencyMs: 386,
        maxAttempts: 1,
      },
      {
        ...route,
        name: "stock-lookup",
        pathPrefix: "/lookup/",
        routeType: "idempotent",
        service: CALLS,
        timeoutMs: LOOKUP_TIMEOUT_MS,
        targetLatencyMs: 386,
      },
    ],
    services: [
      {
        name: ENGINES,
        healthPath: "/health",
        maxConnections: 616,
        engine: {
          slots: 11,
          kvCapacityTokens: 315_000,
          stride: 51,
          step_ms: 0.85,
          per_seq_ms: 0.006,
          context_per_k: 0.00285,
          read_per_s: 177_000,
          pairs_per_m: 0.184,
          chunk: 2_048,
        },
      },
      { name: CALLS, healthPath: "/health", maxConnections: 248 },
    ],
    limits: {
      maxHeaderBytes: MAX_HEADER_BYTES,
      maxBodyBytes: MAX_BODY_BYTES,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "hule930", apiKeys: [KEY], priority: 1 }],
  };
}
