import process from "node:process";
import { binary, command, number, option, run, string } from "cmd-ts";
import { goodputAt, rowOf, SHAPES } from "./overload.ts";
import { play } from "./play.ts";
import { POLICIES } from "./policies.ts";
import { creditOf } from "./summary.ts";
import { drawArrivals, WAVES } from "./workload.ts";

const app = command({
  name: "pool",
  description: "Plays placement policies side by side on the same drawn loads.",
  args: {
    seeds: option({
      type: number,
      long: "seeds",
      description: "number of drawn loads",
      defaultValue: () => 10,
    }),
    policy: option({
      type: string,
      long: "policy",
      description: `policies to play: ${Object.keys(POLICIES).join(",")}`,
      defaultValue: () => Object.keys(POLICIES).join(","),
    }),
    multiples: option({
      type: string,
      long: "multiples",
      description: "plays the pools under these multiples of their capacity",
      defaultValue: () => "",
    }),
  },
  handler: ({ seeds, policy, multiples }) => {
    if (multiples !== "") {
      const numbers = Array.from({ length: seeds }, (_, i) => i + 1);
      for (const [name, shape] of Object.entries(SHAPES)) {
        for (const multiple of multiples.split(",").map(Number)) {
          const goodput = goodputAt(shape, multiple, { seeds: numbers });
          process.stdout.write(
            `${name.padEnd(9)} ${rowOf(multiple, goodput)}\n`,
          );
        }
      }
      return;
    }
    for (const name of policy.split(",")) {
      const create = POLICIES[name as keyof typeof POLICIES];
      if (create === undefined) {
        process.stderr.write(`There is no policy ${name}\n`);
        process.exitCode = 2;
        return;
      }
      const credits = Array.from(
        { length: seeds },
        (_, seed) => creditOf(play(drawArrivals(WAVES, seed + 1), create)),
      );
      const columns = {
        whole: credits.map((one) => one.whole),
        window: credits.map((one) => one.worstWindow),
        short: credits.map((one) => one.kinds.short!),
        middle: credits.map((one) => one.kinds.middle!),
        long: credits.map((one) => one.kinds.long!),
        largest: credits.map((one) => one.largest),
      };
      const cells = Object.entries(columns).map(([title, values]) =>
        `${title} ${spread(values)}`
      );
      process.stdout.write(`${name.padEnd(12)} ${cells.join("  ")}\n`);
    }
  },
});

/** Mean and the half width of its 95% interval. */
function spread(values: readonly number[]): string {
  const mean = values.reduce((a, b) => a + b, 0) / values.length;
  const variance = values.reduce((sum, one) => sum + (one - mean) ** 2, 0) /
    Math.max(1, values.length - 1);
  const half = 1.96 * Math.sqrt(variance / values.length);
  return `${mean.toFixed(3)} ±${half.toFixed(3)}`;
}

await run(binary(app), process.argv);
