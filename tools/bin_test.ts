import { readFile } from "node:fs/promises";
import { expect, test } from "vitest";
import { z } from "zod";

const ROOT = new URL("../", import.meta.url);
const PackageSchema = z.object({ bin: z.record(z.string(), z.string()) });

test("every program of the package says that Node.js runs it", async () => {
  const text = await readFile(new URL("package.json", ROOT), "utf8");
  const { bin } = PackageSchema.parse(JSON.parse(text));
  for (const path of Object.values(bin)) {
    const source = path.replace(/^dist\//, "").replace(/\.js$/, ".ts");
    const [first] = (await readFile(new URL(source, ROOT), "utf8")).split("\n");
    expect({ source, first }).toEqual({ source, first: "#!/usr/bin/env node" });
  }
});
