import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";
import { HEADER, PATH, TOPIC } from "../platform/wire/words.ts";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
/** Headers that are common to HTTP, not the platform's own. */
const COMMON = new Set<string>([
  HEADER.authorization,
  HEADER.lastEventId,
  HEADER.retryAfter,
  HEADER.leftMs,
  HEADER.requestId,
]);

test("only platform/ knows the platform's words", async () => {
  const words = [
    ...Object.values(HEADER).filter((name) => !COMMON.has(name)),
    ...Object.values(PATH),
    ...Object.values(TOPIC),
  ];
  const found: string[] = [];
  for (const folder of ["src", "stand_ins", "tools"]) {
    const names = await readdir(join(ROOT, folder), { recursive: true });
    for (const name of names) {
      if (!name.endsWith(".ts") || name.endsWith("_test.ts")) continue;
      const text = (await readFile(join(ROOT, folder, name), "utf8"))
        .toLowerCase();
      for (const word of words) {
        if (text.includes(word.toLowerCase())) found.push(`${name}: ${word}`);
      }
    }
  }
  expect(found).toEqual([]);
});
