import type { ResultAsync } from "neverthrow";
import type { Vm } from "../wire/vm_list.ts";

/** Why the VM list could not be read. */
export type VmListError = Readonly<{ code: "unreachable"; detail: string }>;

/** The platform's lagging list of live and leaving VMs. */
export abstract class VmListClient {
  /** Returns the list as the platform sees it. */
  abstract list(): ResultAsync<readonly Vm[], VmListError>;
}
