import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { COUNTERS } from "../src/core/counters.ts";
import { REFUSALS, RetrySchema } from "../src/core/reason.ts";

const PAGE = readFileSync("docs/OPERATORS.md", "utf8");

function firstColumn(heading: string): readonly string[] {
  const section = PAGE.split(`## ${heading}\n`)[1]?.split("\n## ")[0] ?? "";
  return [...section.matchAll(/^\| `([a-z_]+)`/gm)].map((match) => match[1]!)
    .sort();
}

test("the operators' page names every refusal with its status", () => {
  const rows = [...PAGE.matchAll(/^\| `([a-z_]+)` +\| (\d{3}) /gm)]
    .map(([, name, status]) => `${name} ${status}`);
  const wanted = Object.entries(REFUSALS).map(([name, one]) =>
    `${name} ${one.status}`
  );
  expect(rows.sort()).toEqual(wanted.sort());
});

test("the operators' page names every retry reason and every counter", () => {
  expect(firstColumn("Retries")).toEqual([...RetrySchema.options].sort());
  expect(firstColumn("Other counters")).toEqual([...COUNTERS].sort());
});
