import { Hono } from "hono";
import { problem } from "../core/problem.ts";
import type { AppEnv } from "./app_env.ts";
import { callRoutes } from "./call_routes.ts";
import { type Front, refuse } from "./front.ts";
import { operatorRoutes } from "./operator_routes.ts";
import { problemBody, problemHeaders } from "./problem_body.ts";
import { promptRoutes } from "./prompt_routes.ts";
import { requestRoutes } from "./request_routes.ts";

/** Builds the API towards clients and operators. */
export function createApp(front: Front): Hono<AppEnv> {
  const app = new Hono<AppEnv>();
  app.route("/", promptRoutes(front));
  app.route("/", callRoutes(front));
  app.route("/", requestRoutes(front));
  app.route("/", operatorRoutes(front));
  app.notFound((ctx) => {
    const detail = `There is no ${ctx.req.method} ${ctx.req.path}.`;
    return refuse(front, problem("unknown_path", detail));
  });
  app.onError((cause, ctx) => {
    front.report(cause);
    const err = problem("internal", "An internal error was logged.", {
      verdict: "may_have_run",
    });
    return ctx.body(problemBody(err), 500, problemHeaders(err));
  });
  return app;
}
