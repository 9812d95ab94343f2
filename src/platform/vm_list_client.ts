import type { ResultAsync } from "neverthrow";
import type { Vm } from "../wire/vm_list.ts";

/** Why the VM list could not be read. */
export type VmListError = Readonly<{ code: "unreachable"; detail: string }>;

/** The platform's list of live and leaving VMs. */
export abstract class VmListClient {
  /** Returns the list, which may lag behind the VMs' actual state. */
  abstract list(): ResultAsync<readonly Vm[], VmListError>;
}
