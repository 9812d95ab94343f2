import { expect, test } from "vitest";
import { unexpectedFields } from "./unexpected_error.ts";

test.each([
  [new TypeError("No such field"), "No such field"],
  ["a text", "a text"],
  [undefined, ""],
])(
  "a thrown value of any type becomes a message and a stack",
  (thrown, message) => {
    const fields = unexpectedFields(thrown);
    expect(fields.cause).toBe(message);
    expect(fields.stack).toContain(message);
  },
);
