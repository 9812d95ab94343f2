import { z } from "zod";

/** Silence of an upstream during one job. */
export const SilenceSchema = z.enum([
  /** The upstream has reached its silence limit; the job goes on. */
  "begun",
  /** The upstream was heard again; the job goes on. */
  "ended",
  /** The job ended during the silence, which has been reported before. */
  "lasting",
]);
/** Silence of an upstream during one job. */
export type Silence = z.infer<typeof SilenceSchema>;
