import type { ServingConfig } from "../serving_config.ts";

/** What is checked, and what it is checked against. */
export type CheckInput = Readonly<{
  serving: ServingConfig;
  /** Entries that can't be read, and why. */
  leftOut: readonly string[];
  /** The version in force. */
  current?: ServingConfig | undefined;
  /** Memory of the smallest daemon, in bytes. */
  memoryBytes?: number | undefined;
}>;

/** An entry that a check objects to, and what it found there. */
export type Objection = Readonly<{ entry: string; detail: string }>;

/** One check of a configuration: errors keep it from doing what it says, warnings are likely to be mistakes. */
export type Check = Readonly<{
  code: string;
  severity: "error" | "warning";
  sentence: string;
  find: (input: CheckInput) => readonly Objection[];
}>;

/** An objection of one check. */
export type Finding = Omit<Check, "find"> & Objection;
