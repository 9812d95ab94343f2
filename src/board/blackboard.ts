import { Counters } from "../core/counters.ts";
import { type ClaimsSection, createClaimsSection } from "./claims_section.ts";
import { type ConfigSection, createConfigSection } from "./config_section.ts";
import {
  createMembersSection,
  type MembersSection,
} from "./members_section.ts";
import {
  createRecordsSection,
  type RecordsSection,
} from "./records_section.ts";
import { createOrdersSection, type OrdersSection } from "./orders_section.ts";
import {
  createPlacementSection,
  type PlacementSection,
} from "./placement_section.ts";
import { createPlansSection, type PlansSection } from "./plans_section.ts";
import {
  createQuarantineSection,
  type QuarantineSection,
} from "./quarantine_section.ts";
import {
  createRequestsSection,
  type RequestsSection,
} from "./requests_section.ts";
import { createKeysSection, type KeysSection } from "./keys_section.ts";
import type { Self } from "./self.ts";
import {
  createUpstreamsSection,
  type UpstreamsSection,
} from "./upstreams_section.ts";

/** Shared state of a daemon's controllers; each section is written by exactly one of them. */
export type Blackboard = Readonly<{
  self: Self;
  config: ConfigSection;
  keys: KeysSection;
  members: MembersSection;
  upstreams: UpstreamsSection;
  requests: RequestsSection;
  placement: PlacementSection;
  plans: PlansSection;
  claims: ClaimsSection;
  orders: OrdersSection;
  records: RecordsSection;
  quarantine: QuarantineSection;
  counters: Counters;
}>;

/** Creates the board of a daemon that has just started. */
export function createBlackboard(self: Self): Blackboard {
  return {
    self,
    config: createConfigSection(),
    keys: createKeysSection(),
    members: createMembersSection(self.id),
    upstreams: createUpstreamsSection(),
    requests: createRequestsSection(),
    placement: createPlacementSection(),
    plans: createPlansSection(),
    claims: createClaimsSection(),
    orders: createOrdersSection(),
    records: createRecordsSection(),
    quarantine: createQuarantineSection(),
    counters: Counters.create(),
  };
}
