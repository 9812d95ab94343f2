import { z } from "zod";
import type {
  DomainId,
  GroupId,
  Incarnation,
  ServiceId,
  VmId,
} from "../core/id.ts";
import { idSchema } from "./brands.ts";

/** One VM on the platform's list. */
export const VmSchema = z.object({
  id: idSchema<VmId>(),
  role: z.enum(["entry", "engine", "service"]),
  domain: idSchema<DomainId>(),
  /** `host:port` of the peer listener (entry VMs) or of the HTTP listener (upstreams). */
  address: z.string(),
  /** Changes each time the VM is replaced or restarted. */
  incarnation: idSchema<Incarnation>(),
  state: z.enum(["live", "leaving"]),
  group: idSchema<GroupId>().optional(),
  service: idSchema<ServiceId>().optional(),
}).readonly();
/** One VM on the platform's list. */
export type Vm = z.infer<typeof VmSchema>;

/** Response to `GET /vms`. */
export const VmListSchema = z.object({ vms: z.array(VmSchema) });
