import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { command, flag, runSafely } from "cmd-ts";
import { measureAdapters } from "./adapter_costs.ts";
import { measureCore } from "./core_costs.ts";
import { measurePollRates } from "./poll_rates.ts";
import { CELL_SIZES, tables } from "./tables.ts";
import { measureWire } from "./wire_costs.ts";

const PAGE = "docs/CAPACITY.md";
const BEGIN = "<!-- measured: begin -->";
const END = "<!-- measured: end -->";

const app = command({
  name: "capacity",
  description: "Measures what control costs one daemon, by size.",
  args: {
    json: flag({ long: "json", description: "print one JSON object" }),
    write: flag({ long: "write", description: `put the tables into ${PAGE}` }),
  },
  handler: async ({ json, write }) => {
    const measured = {
      wire: await measureWire(),
      rates: await measurePollRates(CELL_SIZES),
      adapters: await measureAdapters(),
      core: await measureCore(),
    };
    const text = tables(measured);
    console.log(json ? JSON.stringify(measured) : text);
    if (write) writePage(text);
  },
});

function writePage(text: string): void {
  const page = readFileSync(PAGE, "utf8");
  const head = page.slice(0, page.indexOf(BEGIN) + BEGIN.length);
  const tail = page.slice(page.indexOf(END));
  writeFileSync(PAGE, `${head}\n\n${text}\n\n${tail}`);
}

const result = await runSafely(app, process.argv.slice(2));
if (result._tag === "error") result.error.run();
