import { evictOldest } from "../../../core/evict_oldest.ts";
import type { ServiceId } from "../../../core/id.ts";
import { ServiceAdmission } from "./service_admission.ts";

/** Services that are known; the oldest goes first, and begins as in calm if it is asked for again. */
const MAX_SERVICES = 256;

/** What is known of the demand, by service. */
export class ServiceAdmissions {
  readonly #services = new Map<ServiceId, ServiceAdmission>();

  static create(): ServiceAdmissions {
    return new ServiceAdmissions();
  }

  /** The demand for a service, created if there was none yet. */
  of(service: ServiceId): ServiceAdmission {
    let admission = this.#services.get(service);
    if (admission === undefined) {
      admission = ServiceAdmission.create();
      this.#services.set(service, admission);
      evictOldest(this.#services, MAX_SERVICES);
    }
    return admission;
  }
}
