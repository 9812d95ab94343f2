import { expect, test } from "vitest";
import { UnreadableLog } from "./unreadable_log.ts";

test("an unchanged odd record was reported with each read: it is reported once, and again when it changes", () => {
  const lines: unknown[] = [];
  const log = UnreadableLog.create((kind, fields) =>
    lines.push([kind, fields.key, fields.detail, fields.next])
  );
  for (const next of [1, 2, 3]) {
    log.report({ source: "keyed.servers", key: "e1", detail: "port", next });
  }
  log.report({ source: "keyed.servers", key: "e1", detail: "zone", next: 4 });
  log.report({ source: "keyed.servers", key: "e2", detail: "x".repeat(1e5) });
  expect(lines).toEqual([
    ["entry_unreadable", "e1", "port", 1],
    ["entry_unreadable", "e1", "zone", 4],
    ["entry_unreadable", "e2", "x".repeat(200), undefined],
  ]);
});
