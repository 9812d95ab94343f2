import process from "node:process";
import { binary, command, number, option, run } from "cmd-ts";
import { compareHeld, type HeldResult } from "./held.ts";

const SHARES = [0, 0.3, 0.6, 0.9];
const LOADS = [0.5, 1, 1.5, 2];

const app = command({
  name: "held",
  description:
    "Prints first events of prompts with common beginnings, placed without and with knowledge of what engines hold.",
  args: {
    seeds: option({
      type: number,
      long: "seeds",
      description: "number of drawn loads",
      defaultValue: () => 5,
    }),
  },
  handler: ({ seeds }) => {
    const header = ["share", "load", "p50 ms", "p99 ms", "in time"];
    printRow(header);
    printRow(header.map(() => "---"));
    for (const share of SHARES) {
      for (const load of LOADS) {
        const { with: held, without } = compareHeld({ share, load }, seeds);
        const pair = (read: (result: HeldResult) => string) =>
          `${read(without)} -> ${read(held)}`;
        printRow([
          String(share),
          String(load),
          pair(({ p50 }) => p50.toFixed(0)),
          pair(({ p99 }) => p99.toFixed(0)),
          pair(({ inTime }) => inTime.toFixed(3)),
        ]);
      }
    }
  },
});

function printRow(cells: readonly string[]): void {
  process.stdout.write(`| ${cells.join(" | ")} |\n`);
}

await run(binary(app), process.argv);
