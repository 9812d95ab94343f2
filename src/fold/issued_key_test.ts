import { expect, test } from "vitest";
import type { DaemonId, TeamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { parseKey } from "./idempotency_key.ts";
import { isIssuedTo, issueKeyPrefix, parseIssuedKey } from "./issued_key.ts";

const ISSUE = {
  home: "d1" as DaemonId,
  at: 1_800_000_000_000 as Timestamp,
  team: "a" as TeamId,
};
const KEY = `${issueKeyPrefix(ISSUE, "secret")}.order-17`;

test.each([
  ["as issued", KEY, "a", "secret", true],
  ["for another team", KEY, "b", "secret", false],
  ["under another secret", KEY, "a", "other", false],
  ["with another home", KEY.replace(".d1.", ".d2."), "a", "secret", false],
  ["with another time", KEY.replace(/\.d1\.\w/, ".d1.z"), "a", "secret", false],
])("a key %s", (_, key, team, secret, expected) => {
  const issued = parseIssuedKey(key);
  expect(issued && isIssuedTo(issued, team as TeamId, secret)).toBe(expected);
});

test.each([
  ["", undefined],
  [KEY, "issued"],
  [KEY.replace(".order-17", ""), undefined],
  [`${KEY} `, undefined],
  [KEY.replace("pk1", "pk2"), undefined],
  ["0193A0B4-5C6D-7E8F-9ABC-DEF012345678", "client"],
  ["0193a0b4-5c6d-4e8f-9abc-def012345678", undefined],
])("%j is read as %s", (text, expected) => {
  expect(parseKey(text)?.type).toBe(expected);
});

test("an upper-case UUID is the same key", () => {
  const text = "0193a0b4-5c6d-7e8f-9abc-def012345678";
  expect(parseKey(text.toUpperCase())).toEqual(parseKey(text));
});
