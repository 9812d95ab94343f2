import { HOST, KEY } from "./client.mjs";

/** Names of the services and the paths of their routes. */
export const ENGINES = "dele69a";
export const ORDERS = "xano55b";
export const PATHS = {
  stream: "/lohu930/2f",
  order: "/puxa403/2f",
  lookup: "/qiro118/2f",
};
export const ZONES = ["mvd-a", "mvd-b", "mvd-c"];
/** Time-outs of the routes, and how long their clients wait. */
export const STREAM_TIMEOUT_MS = 10_000;
export const CALL_TIMEOUT_MS = 1_500;
export const STREAM_DEADLINE_MS = 10_010;
export const CALL_DEADLINE_MS = 3_002;

const ENGINE_SLOTS = 16;
const ORDER_SLOTS = 6;

/** A configuration like that of a small installation. */
export function configuration({ version = 3, ...change } = {}) {
  const route = (name, fields) => ({
    name,
    hostname: HOST,
    pathPrefix: `/${name}/`,
    priority: 1,
    ...fields,
  });
  return {
    version,
    routes: [
      route("lohu930", {
        routeType: "streaming",
        service: ENGINES,
        timeoutMs: STREAM_TIMEOUT_MS,
        targetLatencyMs: 300,
        gapAimMs: 250,
        maxAttempts: 2,
        resumeStreams: true,
        stickySessions: true,
      }),
      route("puxa403", {
        routeType: "non_idempotent",
        service: ORDERS,
        timeoutMs: CALL_TIMEOUT_MS,
        targetLatencyMs: 300,
        maxAttempts: 1,
      }),
      route("qiro118", {
        routeType: "idempotent",
        service: ORDERS,
        timeoutMs: CALL_TIMEOUT_MS,
        targetLatencyMs: 300,
        maxAttempts: 2,
      }),
    ],
    services: [
      {
        name: ENGINES,
        maxConnections: 388,
        healthPath: "/health",
        engine: {
          slots: ENGINE_SLOTS,
          kvCapacityTokens: 315_000,
          stride: 51,
          step_ms: 0.85,
          per_seq_ms: 0.00425,
          context_per_k: 0.00285,
          read_per_s: 177_000,
          pairs_per_m: 0.184,
          chunk: 2_048,
          usual: { prompt: 13_000, answer: 1_500 },
          report_lag_ms: 200,
        },
      },
      { name: ORDERS, maxConnections: 96, healthPath: "/health" },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "hule930", apiKeys: [KEY] }],
    ...change,
  };
}

/** Starts the workers of both services, spread over the zones; returns those of the first. */
export async function startWorkers(fleet, { engines, orders }) {
  const start = (service, slots, i) =>
    fleet.startWorker({ service, slots, zone: ZONES[i % ZONES.length] });
  const started = [];
  for (let i = 0; i < engines; i += 1) {
    started.push(await start(ENGINES, ENGINE_SLOTS, i));
  }
  for (let i = 0; i < orders; i += 1) await start(ORDERS, ORDER_SLOTS, i);
  return started;
}

/** Headers of a short prompt. */
export function promptHeaders(request) {
  return {
    "X-Model": "m",
    "X-Token-Usage": "1460,80",
    "X-Prompt-Prefix": `5c1e07a2:40,${request}:1420`,
  };
}
