import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { renewPage } from "./page.ts";

const PAGE = "docs/CONFIGURATION.md";

/** Writes the tables of the configuration page anew; run from the root of the repository. */
async function main(): Promise<void> {
  const page = await readFile(PAGE, "utf8");
  await writeFile(PAGE, renewPage(page));
  process.stdout.write(`${PAGE} written\n`);
}

await main();
