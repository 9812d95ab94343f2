import type { ServingConfig } from "../config/serving.ts";
import { NO_REVISION, type Offset, type Revision } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** The configuration in force; written by `ConfigController`. */
export type ConfigSection = {
  revision: Revision;
  serving: ServingConfig | undefined;
  /** Published text of the configuration in force, sent to peers. */
  text: string;
  /** One past the offset of the newest record that the configuration was folded from. */
  offset: Offset;
  /** When the configuration stream was last read to its end. */
  readAt: Timestamp | undefined;
  /** When the log or enough peers last confirmed the revision. */
  confirmedAt: Timestamp | undefined;
  /** Whether admission is stopped because the revision has not been confirmed for too long. */
  stale: boolean;
};

/** State before any configuration has been read. */
export function createConfigSection(): ConfigSection {
  return {
    revision: NO_REVISION,
    serving: undefined,
    text: "",
    offset: 0 as Offset,
    readAt: undefined,
    confirmedAt: undefined,
    stale: false,
  };
}
