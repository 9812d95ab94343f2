import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { servingOf } from "../../testing/fake_gateway_port.ts";
import type { ServingConfig } from "./serving_config.ts";
import { decodeServing, encodeServing } from "./serving_json.ts";

/** Routes of the largest configuration that the users have played. */
const ROUTES = 2_200;
/** Daemons of a failure domain that fetch a version from one of its two readers. */
const FETCHES_PER_READER = 19;
/** Bytes that the weakest link, 9.8 Mbit/s, carries in the second that a fetch may take. */
const LINK_BYTES_PER_SECOND = 9.8e6 / 8;

function largeServing(): ServingConfig {
  const serving = servingOf();
  const [first] = serving.routes;
  const routes = Array.from({ length: ROUTES }, (_, i) => {
    const name = `r-${Math.imul(i, 2_654_435_761).toString(36)}`;
    return { ...first!, name, prefix: `/${name}/` };
  });
  return { ...serving, routes };
}

test("a configuration is read as it was written", () => {
  const serving = largeServing();
  const read = decodeServing(encodeServing(serving));
  expect(read._unsafeUnwrap()).toEqual(serving);
});

test("a configuration of thousands of routes passes the weakest link for all daemons of a domain in time", () => {
  const bytes = encodeServing(largeServing()).length;
  expect(bytes * FETCHES_PER_READER).toBeLessThan(LINK_BYTES_PER_SECOND);
});

test("what is no configuration says why", () => {
  const decode = (text: string) =>
    decodeServing(Buffer.from(text))._unsafeUnwrapErr();
  expect(decode("{")).toBe("The bytes are not JSON");
  expect(decode("x")).toBe("The bytes are neither JSON nor deflated");
  expect(decode("{}")).toBe(
    "The configuration has no version or no services",
  );
});
