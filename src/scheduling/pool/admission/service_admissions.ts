import type { ServiceId } from "../../../core/id.ts";
import { ServiceAdmission } from "./service_admission.ts";

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
    }
    return admission;
  }
}
