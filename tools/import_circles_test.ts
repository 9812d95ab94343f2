import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize, relative } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const FOLDERS = ["src", "platform", "stand_ins", "tools"];
const IMPORT = /^\s*(?:import|export)\s[^;]*?from\s+"(\.[^"]+)"/gm;

/** The files that each file imports, types included. */
function readImports(): Map<string, readonly string[]> {
  const imports = new Map<string, readonly string[]>();
  for (const folder of FOLDERS) {
    for (const name of readdirSync(join(ROOT, folder), { recursive: true })) {
      const file = join(ROOT, folder, String(name));
      if (!file.endsWith(".ts")) continue;
      const text = readFileSync(file, "utf8");
      const found = [...text.matchAll(IMPORT)].map(([, path]) =>
        normalize(join(dirname(file), path!))
      );
      imports.set(file, found);
    }
  }
  return imports;
}

/** The first circle that is found, as a list of files. */
function findCircle(imports: Map<string, readonly string[]>): string[] {
  const done = new Set<string>();
  const path: string[] = [];
  const visit = (file: string): string[] => {
    if (done.has(file)) return [];
    const at = path.indexOf(file);
    if (at >= 0) return path.slice(at);
    path.push(file);
    for (const next of imports.get(file) ?? []) {
      const circle = visit(next);
      if (circle.length > 0) return circle;
    }
    path.pop();
    done.add(file);
    return [];
  };
  for (const file of imports.keys()) {
    const circle = visit(file);
    if (circle.length > 0) return circle.map((one) => relative(ROOT, one));
  }
  return [];
}

test("no file imports itself by way of others", () => {
  expect(findCircle(readImports())).toEqual([]);
});

test("a circle is found", () => {
  const circle = new Map([["a", ["b"]], ["b", ["c"]], ["c", ["b"]]]);
  expect(findCircle(circle).map((one) => one.slice(-1))).toEqual(["b", "c"]);
});
