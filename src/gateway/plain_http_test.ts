import { expect, test } from "vitest";
import { sendHttpCall } from "./plain_http.ts";

test.each([
  ["a port out of range", "127.0.0.1:99999", "/"],
  ["the first port out of range", "127.0.0.1:65536", "/"],
  ["a negative port", "127.0.0.1:-1", "/"],
  ["no port", "nowhere", "/"],
  ["no address", "", "/"],
  ["a path with a space", "127.0.0.1:1", "/a b"],
])(
  "a call with %s ended the process: it fails as unreachable",
  async (_name, address, path) => {
    const result = await sendHttpCall({ method: "GET", address, path });
    expect(result._unsafeUnwrapErr().code).toBe("unreachable");
  },
);
