import { runStandIn } from "../common/run.ts";
import { VmList } from "./vm_list.ts";

await runStandIn("vm_list", () => VmList.create());
