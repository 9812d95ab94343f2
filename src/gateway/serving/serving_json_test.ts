import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { servingWithRoutes } from "../../testing/fake_gateway_port.ts";
import type { ServingConfig } from "./serving_config.ts";
import { decodeServing, encodeServing } from "./serving_json.ts";

/** Routes of the largest configuration that users have run. */
const ROUTES = 2_200;
/** Daemons of a failure domain that fetch a version from one of the two readers. */
const FETCHES_PER_READER = 19;
/** Bytes per second of the slowest link, 9.8 Mbit/s; a fetch may take one second. */
const LINK_BYTES_PER_SECOND = 9.8e6 / 8;

function largeServing(): ServingConfig {
  const serving = servingWithRoutes();
  const [first] = serving.routes;
  const routes = Array.from({ length: ROUTES }, (_, i) => {
    const name = `r-${Math.imul(i, 2_654_435_761).toString(36)}`;
    return { ...first!, name, prefix: `/${name}/` };
  });
  return { ...serving, routes };
}

test("a decoded configuration equals the encoded one", () => {
  const serving = largeServing();
  const read = decodeServing(encodeServing(serving));
  expect(read._unsafeUnwrap()).toEqual(serving);
});

test("a configuration of thousands of routes reaches all daemons of a domain over the slowest link within a second", () => {
  const bytes = encodeServing(largeServing()).length;
  expect(bytes * FETCHES_PER_READER).toBeLessThan(LINK_BYTES_PER_SECOND);
});

test("bytes that are not a configuration give an error that says why", () => {
  const decode = (text: string) =>
    decodeServing(Buffer.from(text))._unsafeUnwrapErr();
  expect(decode("{")).toBe("The bytes are not JSON");
  expect(decode("x")).toBe("The bytes are neither JSON nor deflated");
  expect(decode("{}")).toBe(
    "The configuration has no version or no services",
  );
});
