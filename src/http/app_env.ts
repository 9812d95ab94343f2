import type { HttpBindings } from "@hono/node-server";

/** What a handler sees of Node.js beside the request. */
export type AppEnv = { Bindings: HttpBindings };
