import { runStandIn } from "../common/run.ts";
import { LogService } from "./log_service.ts";

await runStandIn("log_service", () => LogService.create());
