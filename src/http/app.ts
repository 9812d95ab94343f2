import { Hono } from "hono";
import { problem } from "../core/problem.ts";
import type { AppEnv } from "./app_env.ts";
import { callRoutes } from "./call_routes.ts";
import { refuse, type RouteDeps } from "./route_deps.ts";
import { operatorRoutes } from "./operator_routes.ts";
import { problemBody, problemHeaders } from "./problem_body.ts";
import { promptRoutes } from "./prompt_routes.ts";
import { requestRoutes } from "./request_routes.ts";

/** Builds the HTTP API for clients and operators. */
export function createApp(deps: RouteDeps): Hono<AppEnv> {
  const app = new Hono<AppEnv>();
  app.route("/", promptRoutes(deps));
  app.route("/", callRoutes(deps));
  app.route("/", requestRoutes(deps));
  app.route("/", operatorRoutes(deps));
  app.notFound((ctx) => {
    const detail = `There is no ${ctx.req.method} ${ctx.req.path}.`;
    return refuse(deps, problem("unknown_path", detail));
  });
  app.onError((cause, ctx) => {
    deps.logError(cause);
    const err = problem("internal", "An internal error was logged.", {
      verdict: "may_have_run",
    });
    return ctx.body(problemBody(err), 500, problemHeaders(err));
  });
  return app;
}
