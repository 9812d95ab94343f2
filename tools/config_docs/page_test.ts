import { readFile } from "node:fs/promises";
import { expect, test } from "vitest";
import { DAEMON_SECTIONS } from "../../src/config/daemon_settings.ts";
import { keySchemas } from "../../src/config/sections.ts";
import { SERVING_SECTIONS } from "../../src/config/serving_sections.ts";
import { renewPage } from "./page.ts";

const PAGE = new URL("../../docs/CONFIGURATION.md", import.meta.url);

test("docs/CONFIGURATION.md has every key as the declarations have it", async () => {
  const page = await readFile(PAGE, "utf8");
  expect(renewPage(page)).toBe(page);
  const specs = [SERVING_SECTIONS, DAEMON_SECTIONS].flatMap((specs) =>
    Object.values(specs)
  );
  const keys = specs.flatMap((spec) => [...keySchemas(spec).keys()]);
  expect(keys.filter((key) => !page.includes(`| \`${key}\``))).toEqual([]);
});
