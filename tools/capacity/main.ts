import { measureCore } from "./core_costs.ts";
import { measureAdapters } from "./adapter_costs.ts";
import { measurePollRates } from "./poll_rates.ts";
const show = (k: string, v: unknown) => k === "points" ? (v as {x:number,y:number}[]).map((p) => `${p.x}: ${Math.round(p.y)}`).join(", ") : v;
console.log(JSON.stringify(await measurePollRates([1,3,15,40]), show));
console.log(JSON.stringify(await measureAdapters(), show, 1));
console.log(JSON.stringify(await measureCore(), show, 1));
