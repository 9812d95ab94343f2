import { measureCore } from "./core_costs.ts";
const show = (k: string, v: unknown) =>
  k === "points"
    ? (v as { x: number; y: number }[]).map((p) => `${p.x}: ${Math.round(p.y)}`)
      .join(", ")
    : v;
console.log(JSON.stringify(await measureCore(), show, 1));
