import { z } from "zod";
import {
  NO_REVISION,
  type Offset,
  type RecordId,
  type Revision,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { countSchema, idSchema } from "../wire/brands.ts";
import {
  CheckpointedFold,
  type Decision,
  type LoggedChange,
} from "./checkpointed_fold.ts";
import type { LogEntry } from "./log_reader.ts";

const revisionSchema = z.number().int().min(NO_REVISION).transform((value) =>
  value as Revision
);
const contentFields = {
  change: z.string().max(128),
  author: z.string().max(256),
  /** When the author published it. */
  at: countSchema<Timestamp>(),
  /** The whole configuration as JSON. */
  text: z.string(),
};

/** Puts a whole configuration in force if `base` is still the revision in force. */
export const ConfigChangeSchema = z.object({
  type: z.literal("config_change"),
  id: idSchema<RecordId>(),
  base: revisionSchema,
  ...contentFields,
}).readonly();
/** A change of the configuration. */
export type ConfigChange = z.infer<typeof ConfigChangeSchema>;

/** The configuration in force after all records below `covers`. */
export const ConfigCheckpointSchema = z.object({
  type: z.literal("config_checkpoint"),
  id: idSchema<RecordId>(),
  covers: countSchema<Offset>(),
  revision: revisionSchema,
  ...contentFields,
  /** When the checkpoint was made. */
  madeAt: countSchema<Timestamp>(),
}).readonly();
/** A checkpoint of the configuration. */
export type ConfigCheckpoint = z.infer<typeof ConfigCheckpointSchema>;

/** Any record of the configuration stream. */
export const ConfigRecordSchema = z.discriminatedUnion("type", [
  ConfigChangeSchema,
  ConfigCheckpointSchema,
]);
/** Any record of the configuration stream. */
export type ConfigRecord = z.infer<typeof ConfigRecordSchema>;

/** The configuration in force; its revision is the offset of the change that set it. */
export type ConfigState = Readonly<{
  revision: Revision;
  change: string;
  author: string;
  at: Timestamp;
  text: string;
}>;

/** Outcome of a configuration change. */
export type ConfigDecision = Decision<ConfigState, ConfigChange>;

const NO_CONFIG: ConfigState = {
  revision: NO_REVISION,
  change: "",
  author: "",
  at: 0 as Timestamp,
  text: "",
};

/** State of the configuration stream; all readers arrive at the same revision. */
export class ConfigFold extends CheckpointedFold<ConfigState, ConfigChange> {
  static create(): ConfigFold {
    return new ConfigFold(NO_CONFIG);
  }

  protected override initial(): ConfigState {
    return NO_CONFIG;
  }

  protected override apply(
    state: ConfigState,
    logged: LoggedChange<ConfigChange>,
  ): ConfigState | undefined {
    const { base, change, author, at, text } = logged.change;
    if (base !== state.revision) return undefined;
    const revision = logged.offset as number as Revision;
    return { revision, change, author, at, text };
  }

  /** Folds one record of the stream; returns the decisions that follow from it. */
  foldRecord(entry: LogEntry): readonly ConfigDecision[] {
    const parsed = ConfigRecordSchema.safeParse(entry.value);
    if (!parsed.success) return [];
    if (parsed.data.type === "config_change") {
      return this.foldChange({
        offset: entry.offset,
        at: entry.at,
        change: parsed.data,
      });
    }
    const { covers, revision, change, author, at, text } = parsed.data;
    if (covers > entry.offset) return [];
    return this.applyCheckpoint({
      covers,
      state: { revision, change, author, at, text },
    });
  }
}
