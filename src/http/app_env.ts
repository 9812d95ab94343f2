import type { HttpBindings } from "@hono/node-server";

/** Hono environment with the Node.js request and response. */
export type AppEnv = { Bindings: HttpBindings };
