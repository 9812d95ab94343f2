import { runStandIn } from "../common/run.ts";
import { Service } from "./service.ts";

await runStandIn("service", () => Service.create());
