import process from "node:process";
import { measure } from "./run.ts";
import { wasInTime, wasRefused } from "./prompt_record.ts";
import { inSwing } from "./scenario.ts";
const [load, seed, minutes, scenario] = process.argv.slice(2);
const r = measure({
  scenario: (scenario ?? "cooperative") as never,
  policy: "parsleyfield",
  load: Number(load),
  seed: Number(seed),
  minutes: Number(minutes),
  faults: false,
});
const rows = r.records.filter((x) => x.arrival.measured);
const bins: Record<string, number[]> = {};
for (const x of rows) {
  if (wasRefused(x)) continue;
  const n = x.arrival.promptTokens;
  const cls = n <= 2000
    ? "a<=2k"
    : n <= 3000
    ? "b2-3k"
    : n <= 4000
    ? "c3-4k"
    : n <= 20000
    ? (x.arrival.blocks[0]?.startsWith("8") ? "d4-20k unique" : "d4-20k shared")
    : "e";
  const key = cls + (inSwing(x.arrival.at) ? " swing" : " quiet");
  const t = x.firstTokenAt === undefined ? 1e5 : x.firstTokenAt - x.sentAt;
  if (key.startsWith("d4-20k shared") && t > 340 && process.argv[6]) {
    console.log(
      Math.round(x.arrival.at),
      n,
      x.arrival.blocks[0],
      "shared",
      x.arrival.blocks.filter((b) => !b.startsWith("8")).length * 256,
      "cached",
      x.cachedTokens,
      x.engine,
      Math.round(t),
    );
  }
  if (process.argv[6] === "late" && !wasInTime(x)) {
    console.log(
      Math.round(x.arrival.at),
      n,
      "ans",
      x.arrival.answerTokens,
      "tok",
      x.tokens,
      x.engine,
      Math.round(t),
      x.result,
      Math.round(x.endedAt! - x.sentAt),
    );
  }
  const b = (bins[key] ??= [0, 0, 0, 0, 0, 0]);
  b[0]! += 1;
  if (t > 300) b[1]! += 1;
  if (t > 340) b[2]! += 1;
  if (t > 1000) b[3]! += 1;
  if (!wasInTime(x)) b[4]! += 1;
}
for (const k of Object.keys(bins).sort()) {
  console.log(k, "n,>300,>340,>1000,late:", bins[k]!.join(" "));
}
console.log(JSON.stringify(r.summary));
