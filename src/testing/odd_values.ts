import fc from "fast-check";

/** Values that another writer may put in place of any field. */
const ODD_VALUES: readonly unknown[] = [
  null,
  true,
  "",
  "1",
  "__proto__",
  "x".repeat(300),
  "10.0.0.1:99999",
  "10.0.0.1:65536",
  "\u0000\ud800\n",
  0,
  -1,
  0.5,
  99_999,
  2 ** 31,
  9e15,
  1e300,
  1e308,
  -1e308,
  1e-300,
  [],
  {},
  [null],
  JSON.parse('{"__proto__":1,"constructor":1}'),
];

/** Any JSON value, most often one that is odd. */
export function oddValue(): fc.Arbitrary<unknown> {
  return fc.oneof(fc.constantFrom(...ODD_VALUES), fc.jsonValue());
}

/** A JSON value with one field, at any depth, that is replaced by an odd value or removed. */
export function mutated(valid: unknown): fc.Arbitrary<unknown> {
  const paths = pathsOf(valid);
  return fc.tuple(
    fc.constantFrom(...paths),
    oddValue(),
    fc.integer({ min: 0, max: 9 }),
  ).map(([path, odd, dice]) => {
    const copy = structuredClone(valid) as Record<string, unknown>;
    let parent = copy;
    for (const key of path.slice(0, -1)) {
      parent = parent[key] as Record<string, unknown>;
    }
    const last = path.at(-1)!;
    if (dice === 0) delete parent[last];
    else parent[last] = odd;
    return copy;
  });
}

function pathsOf(value: unknown): readonly (readonly string[])[] {
  if (typeof value !== "object" || value === null) return [];
  return Object.entries(value).flatMap(([key, child]) => [
    [key],
    ...pathsOf(child).map((path) => [key, ...path]),
  ]);
}
