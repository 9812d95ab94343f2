import { EngineOrderSchema } from "../../src/wire/engine.ts";
import { readJson } from "../common/body.ts";
import type { HostContext } from "../common/http_host.ts";
import type { EngineRoutes } from "./engine_routes.ts";
import type { EngineRuntime } from "./engine_runtime.ts";
import { refuse, refuseBody } from "./refusals.ts";

/** Load, state, cache events and orders. */
export function addReportRoutes(
  routes: EngineRoutes,
  engine: EngineRuntime,
): void {
  routes.on("GET /v1/load", "load", (c) => c.json(engine.load()));
  routes.on("GET /v1/state", "state", (c) => c.json(engine.state()));
  routes.on(
    "GET /v1/cache_events",
    "cache_events",
    (c) => cacheEvents(engine, c),
  );
  routes.on("POST /v1/orders", "orders", (c) => order(engine, c));
}

function cacheEvents(engine: EngineRuntime, c: HostContext): Response {
  engine.pump();
  const { incarnation } = engine.model;
  const isSameRun = c.req.query("incarnation") === incarnation;
  const after = isSameRun ? Number(c.req.query("after") ?? 0) : 0;
  const events = engine.reports.cacheEvents(engine.clock.now(), after);
  return c.json({ incarnation, events });
}

async function order(
  engine: EngineRuntime,
  c: HostContext,
): Promise<Response> {
  const body = await readJson(c, EngineOrderSchema);
  if (body.isErr()) return refuseBody(c);
  const higher = engine.order(body.value);
  engine.pump();
  if (higher === undefined) return c.json({ ok: true });
  const detail = `Order ${body.value.fencing} comes after ${higher}`;
  return refuse(c, { code: "stale_fencing", detail });
}
