import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { servingWithRoutes } from "../../testing/fake_gateway_port.ts";
import { decodeServing, encodeServing } from "./serving_json.ts";

const SERVING = servingWithRoutes();
const JSON_SERVING = { ...SERVING, services: [] };

test.each([
  ["null as a service", { services: [null] }],
  ["routes that are no list", { routes: 5 }],
  ["null as a route", { routes: [null] }],
  ["no limits", { limits: undefined }],
  ["a negative idle time", { limits: { ...SERVING.limits, idleMs: -5_000 } }],
  ["teams that are no list", { teams: {} }],
  ["a team without keys", { teams: [{ id: "t" }] }],
  ["a time-out as text", {
    routes: [{ ...SERVING.routes[0], timeoutMs: "1" }],
  }],
  ["no backends", { routes: [{ ...SERVING.routes[0], backends: [] }] }],
  ["version 1e300", { version: 1e300 }],
])(
  "a peer's configuration with %s ended the process that applied it",
  (_name, fields) => {
    const text = JSON.stringify({ ...JSON_SERVING, ...fields });
    expect(decodeServing(Buffer.from(text)).isErr()).toBe(true);
  },
);

test("a service without a limit of connections survives the way through JSON", () => {
  const services = new Map([["s", { id: "s", maxConnections: Infinity }]]);
  const serving = { ...SERVING, services } as unknown as typeof SERVING;
  const read = decodeServing(encodeServing(serving))._unsafeUnwrap();
  expect(read).toEqual(serving);
});
