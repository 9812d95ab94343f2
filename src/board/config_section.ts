import type { ServingConfig } from "../config/serving.ts";
import { NO_REVISION, type Offset, type Revision } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";

/** The configuration in force; written by `ConfigController`. */
export type ConfigSection = {
  revision: Revision;
  serving: ServingConfig | undefined;
  /** The published text of the configuration in force, to pass on to peers. */
  text: string;
  /** One past the newest record of the stream that the configuration was folded from. */
  offset: Offset;
  /** When the log's stream was last read to its end. */
  readAt: Timestamp | undefined;
  /** When the log or enough peers last confirmed the revision. */
  confirmedAt: Timestamp | undefined;
  /** Whether admission stops because nothing has confirmed the revision for too long. */
  stale: boolean;
};

/** A daemon's view before it has read any configuration. */
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
