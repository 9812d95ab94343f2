import { runStandIn } from "../common/run.ts";
import { WeightStore } from "./weight_store.ts";

await runStandIn("weight_store", () => WeightStore.create());
