import { expect, test } from "vitest";
import { canonicalText, configDigest } from "./canonical.ts";
import { checkFolder } from "./check_folder.ts";
import { diffConfig } from "./diff.ts";
import { type ServingConfig, ServingConfigSchema } from "./serving.ts";

const CLASS = "[class.c]\nurgency = 0\ndeadline_ms = 1\nmax_deadline_ms = 2\n";

function config(text: string): ServingConfig {
  return checkFolder([{ name: "a.ini", text: CLASS + text }])._unsafeUnwrap();
}

test("the canonical text is independent of section order and parses to the same configuration", () => {
  const a = config("[team.a]\nshare = 1\n[team.b]\nshare = 2\n");
  const b = config("[team.b]\nshare = 2\n[team.a]\nshare = 1\n");
  expect(canonicalText(a)).toBe(canonicalText(b));
  expect(canonicalText(a)).toMatch(/^\{"classes":\[\{"deadlineMs":1,"id":"c"/);
  expect(configDigest(a)).toMatch(/^[0-9a-f]{64}$/);
  expect(ServingConfigSchema.parse(JSON.parse(canonicalText(a)))).toEqual(a);
});

test("a change is reported with its section and key", () => {
  const a = config("[team.a]\nshare = 1\n[team.b]\nshare = 2\n");
  const b = config(
    "[team.a]\nshare = 3\n[team.c]\nshare = 2\n[limits]\nmax_attempts = 4\n",
  );
  expect(diffConfig(a, a)).toEqual([]);
  expect(diffConfig(a, b)).toMatchInlineSnapshot(`
    [
      {
        "from": 1,
        "key": "share",
        "section": "team.a",
        "to": 3,
        "type": "changed",
      },
      {
        "section": "team.b",
        "type": "removed",
      },
      {
        "section": "team.c",
        "type": "added",
      },
      {
        "from": 3,
        "key": "max_attempts",
        "section": "limits",
        "to": 4,
        "type": "changed",
      },
    ]
  `);
});
