import fc from "fast-check";
import { expect, test } from "vitest";
import { canonicalText } from "./canonical.ts";
import { checkFolder } from "./check_folder.ts";
import { diffConfig } from "./diff.ts";
import { ServingConfigSchema } from "./serving.ts";

const PROPERTY_OPTIONS = { seed: 20261204, numRuns: 300 };
const CLASS = "[class.c]\nurgency = 0\ndeadline_ms = 1\nmax_deadline_ms = 2\n";

const anyLine = fc.oneof(
  fc.string({ maxLength: 40 }),
  fc.constantFrom(
    "[team.t]",
    "[limits]",
    "[model.m]",
    "[__proto__]",
    "[team.constructor]",
    "share = 3",
    "__proto__ = 4",
    "toString = 5",
    "share[] = 3",
    'versions = "1", 2',
    "version = 1",
    "= 4",
    "[",
  ),
);

test("any text gives a valid configuration, or errors with a line number of the text", () => {
  fc.assert(
    fc.property(fc.array(anyLine, { maxLength: 30 }), (lines) => {
      const text = CLASS + lines.join("\n");
      const lineCount = text.split(/\r\n|\n|\r/).length;
      const result = checkFolder([{ name: "a.ini", text }]);
      if (result.isOk()) return;
      expect(result.error.length).toBeGreaterThan(0);
      for (const { file, line, allowed } of result.error) {
        expect(file).toBe("a.ini");
        expect(line).toBeGreaterThan(0);
        expect(line).toBeLessThanOrEqual(lineCount);
        expect(allowed).not.toBe("");
      }
    }),
    PROPERTY_OPTIONS,
  );
});

const name = fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9._-]{0,8}$/);
const team = fc.record({ name, share: fc.integer({ min: 1, max: 1_000_000 }) });
const teams = fc.uniqueArray(team, {
  maxLength: 8,
  selector: ({ name }) => name,
});

test("a configuration is the same for any order of sections and number of files, and survives a JSON round trip", () => {
  fc.assert(
    fc.property(teams, fc.integer({ min: 1, max: 4 }), (teams, files) => {
      const sections = teams.map(({ name, share }) =>
        `[team.${name}]\nshare = ${share}\n`
      );
      const one = checkFolder([{
        name: "a.ini",
        text: CLASS + sections.join(""),
      }])._unsafeUnwrap();
      const teamFiles = Array.from({ length: files }, (_, index) => ({
        name: `${index}.ini`,
        text: sections.toReversed().filter((_, at) => at % files === index)
          .join(""),
      }));
      const many = checkFolder([{ name: "z.ini", text: CLASS }, ...teamFiles])
        ._unsafeUnwrap();
      expect(canonicalText(many)).toBe(canonicalText(one));
      expect(diffConfig(one, many)).toEqual([]);
      const shares = new Map(teams.map(({ name, share }) => [name, share]));
      expect(one.teams.length).toBe(shares.size);
      for (const { id, share } of one.teams) expect(share).toBe(shares.get(id));
      const reparsed = ServingConfigSchema.parse(
        JSON.parse(canonicalText(one)),
      );
      expect(reparsed).toEqual(one);
    }),
    PROPERTY_OPTIONS,
  );
});
