import process from "node:process";
import { fileURLToPath } from "node:url";
import { Fleet } from "./fleet.mjs";

/** Whether the disruption of the case is played. */
export const TROUBLED = process.env.TROUBLE !== "0";

/**
 * Plays a case, given by the URL of its script, and ends the process: with 1 if the rule was broken, 0 if it held, 2 if
 * the case could not be played. `play` returns whether the rule was broken, and the figures that show it.
 */
export async function playCase(script, play) {
  const record = fileURLToPath(new URL("record.txt", script));
  const fleet = new Fleet(record);
  let code = 2;
  try {
    const { isBroken, ...figures } = await play(fleet);
    fleet.line("result", { ...figures, rule: isBroken ? "broken" : "held" });
    code = isBroken ? 1 : 0;
  } catch (err) {
    console.error(err);
  }
  fleet.stop();
  process.exit(code);
}
