import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { ServerResponse } from "node:http";
import type { PlanId } from "../../src/core/id.ts";
import { KvImportSchema, ReservationSchema } from "../../src/wire/engine.ts";
import { readJson } from "../common/body.ts";
import type { HostContext } from "../common/http_host.ts";
import type { EngineRoutes } from "./engine_routes.ts";
import type { EngineRuntime } from "./engine_runtime.ts";
import { fetchKv } from "./kv_exchange.ts";
import { refuse, refuseBody, refusePlan } from "./refusals.ts";

/** Reservations, and the KV cache of plans. */
export function addPlanRoutes(
  routes: EngineRoutes,
  engine: EngineRuntime,
): void {
  const { app } = routes;
  routes.on(
    "PUT /v1/reservations/:plan",
    "reserve",
    (c) => reserve(engine, c),
  );
  routes.on("DELETE /v1/reservations/:plan", "release", (c) => {
    engine.releasePlan(planOf(c));
    return c.json({ ok: true });
  });
  app.get("/v1/kv/:plan", async (c) => {
    await engine.thawed;
    return kvInfo(engine, c);
  });
  routes.on("GET /v1/kv/:plan/export", "export", (c) => exportKv(engine, c));
  routes.on("POST /v1/kv/:plan/import", "import", (c) => importKv(engine, c));
}

async function reserve(
  engine: EngineRuntime,
  c: HostContext,
): Promise<Response> {
  const body = await readJson(c, ReservationSchema);
  if (body.isErr()) return refuseBody(c);
  const { owner, tokens, ttl_ms } = body.value;
  const ttlMs = engine.clock.scaled(ttl_ms);
  const reserved = engine.model.reserve(engine.clock.now(), planOf(c), {
    owner,
    tokens,
    ttlMs,
  });
  engine.pump();
  return reserved.isErr() ? refuse(c, reserved.error) : c.json({ ok: true });
}

function kvInfo(engine: EngineRuntime, c: HostContext): Response {
  const plan = planOf(c);
  if (c.req.query("renew") === "true") {
    engine.model.renew(engine.clock.now(), plan);
  }
  engine.pump();
  const held = engine.model.held(plan);
  if (!held) return refusePlan(c);
  const { owner, tokens, used, imported, segments } = held;
  const { incarnation } = engine.model;
  return c.json({ incarnation, owner, tokens, used, imported, segments });
}

async function exportKv(
  engine: EngineRuntime,
  c: HostContext,
): Promise<Response> {
  const plan = planOf(c);
  const direction = "export";
  const held = engine.model.held(plan);
  if (!held) return refusePlan(c);
  if (engine.transfers.has(plan, direction)) return refuseBusy(c);
  const tokens = held.segments.reduce(
    (sum, { from, to }) => sum + to - from,
    0,
  );
  const started = engine.model.transfer(engine.clock.now(), plan, {
    direction,
    tokens,
  });
  if (started.isErr()) return refuse(c, started.error);
  const res = c.env.outgoing as ServerResponse;
  res.writeHead(200, { "content-type": "application/x-ndjson" });
  res.write(line({ type: "head", plan, tokens }));
  const ended = engine.transfers.wait(plan, direction);
  engine.pump();
  if (await ended) res.end(line({ type: "end", tokens }));
  else res.destroy();
  return RESPONSE_ALREADY_SENT;
}

async function importKv(
  engine: EngineRuntime,
  c: HostContext,
): Promise<Response> {
  const body = await readJson(c, KvImportSchema);
  if (body.isErr()) return refuseBody(c);
  const plan = planOf(c);
  const direction = "import";
  if (!engine.model.held(plan)) return refusePlan(c);
  const fetched = await fetchKv(body.value.from, plan);
  if (fetched.isErr()) return refuseImport(c, fetched.error);
  const { tokens, finished, abort } = fetched.value;
  const started = engine.transfers.has(plan, direction)
    ? undefined
    : engine.model.transfer(engine.clock.now(), plan, { direction, tokens });
  if (started === undefined || started.isErr()) {
    abort();
    return started ? refuse(c, started.error) : refuseBusy(c);
  }
  const copied = engine.transfers.wait(plan, direction);
  engine.pump();
  const end = await finished;
  if (end.isErr()) {
    breakImport(engine, plan);
    return refuseImport(c, end.error);
  }
  return await copied
    ? c.json({ ok: true })
    : refuseImport(c, "The plan was released");
}

function breakImport(engine: EngineRuntime, plan: PlanId): void {
  engine.model.abortImport(engine.clock.now(), plan);
  engine.transfers.settle((wait) =>
    wait.plan === plan && wait.direction === "import" ? false : undefined
  );
  engine.pump();
}

function planOf(c: HostContext): PlanId {
  return c.req.param("plan") as PlanId;
}

function refuseBusy(c: HostContext): Response {
  return refuse(c, { code: "queue_full", detail: "A copy is under way" });
}

function refuseImport(c: HostContext, detail: string): Response {
  return refuse(c, { code: "import_failed", detail });
}

function line(value: unknown): string {
  return `${JSON.stringify(value)}\n`;
}
