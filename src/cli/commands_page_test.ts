import { dryRun } from "cmd-ts";
import { readFile } from "node:fs/promises";
import { expect, test } from "vitest";
import { createApp, createVerbs } from "./app.ts";
import { EXIT_CODES } from "./exit_code.ts";

const PAGE = new URL("../../docs/COMMANDS.md", import.meta.url);

test("docs/COMMANDS.md has every verb, exit code and environment variable", async () => {
  const page = await readFile(PAGE, "utf8");
  const verbs = Object.keys(createVerbs(() => Promise.resolve(0)));
  expect(verbs.filter((verb) => !page.includes(`### \`${verb}`))).toEqual([]);
  const names = await environmentNames();
  expect(names.filter((name) => !page.includes(`\`${name}\``))).toEqual([]);
  for (const code of Object.values(EXIT_CODES)) {
    expect(page).toContain(`| ${code}    |`);
  }
});

/** Finds the environment variables in every verb's help. */
async function environmentNames(): Promise<readonly string[]> {
  const names = new Set<string>();
  const app = createApp(() => Promise.resolve(0));
  for (const verb of Object.keys(createVerbs(() => Promise.resolve(0)))) {
    const help = await dryRun(app, [verb, "--help"]);
    const text = help._tag === "error" ? help.error : "";
    for (const [, name = ""] of text.matchAll(/\[env: (\w+)/g)) names.add(name);
  }
  return [...names];
}
