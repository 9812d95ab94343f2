import { Hono } from "hono";
import { z } from "zod";
import { readJson } from "../common/body.ts";
import { type HostEnv, HttpHost } from "../common/http_host.ts";
import { NewConnectionsSchema, type Relay } from "./relay.ts";

/** Body of `POST /control` of the relay; what is absent stays as it is. */
export const RelayControlSchema = z.object({
  /** What happens to the connections that are open now. */
  open: z.enum(["freeze", "cut"]).optional(),
  /** What happens to connections that are opened from now on. */
  new: NewConnectionsSchema.optional(),
  /** Delay of whatever passes. */
  delay_ms: z.number().int().nonnegative().max(600_000).optional(),
}).strict().readonly();
/** Faults of the relay. */
export type RelayControl = z.infer<typeof RelayControlSchema>;

/** Switches a relay's faults. */
export async function controlRelay(
  relay: Relay,
  change: RelayControl,
): Promise<void> {
  if (change.open === "freeze") relay.freezeOpen();
  if (change.open === "cut") relay.cutOpen();
  if (change.delay_ms !== undefined) relay.setDelay(change.delay_ms);
  if (change.new !== undefined) await relay.setNew(change.new);
}

/** Creates the listener of a relay's control endpoint. */
export function createRelayControl(relay: Relay): HttpHost {
  const app = new Hono<HostEnv>();
  app.get("/control", (c) => c.json(relay.counts()));
  app.post("/control", async (c) => {
    const body = await readJson(c, RelayControlSchema);
    if (body.isErr()) return body.error;
    await controlRelay(relay, body.value);
    return c.json(relay.counts());
  });
  return HttpHost.create(app);
}
