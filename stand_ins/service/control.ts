import { z } from "zod";

/** Where a call of the service breaks. */
export const ServiceFaultSchema = z.enum([
  /** 503 with the not-started header. */
  "refuse",
  /** Reset once the head has arrived; the body is not read. */
  "reset_at_head",
  /** Reset once a part of the body has arrived. */
  "reset_in_body",
  "reset_before_effect",
  "reset_after_effect",
  /** The call takes effect, the connection is closed without an answer. */
  "close_after_effect",
  /** 503 without the not-started header, though the call took effect. */
  "error_after_effect",
  /** Head and half of the body of the answer, then a reset. */
  "half_answer",
  /** An answer whose body has neither a length nor chunks, cut in its middle. */
  "unframed_answer",
  "silence_before_effect",
  "silence_after_effect",
  /** An answer that is not HTTP. */
  "garbage",
]);
/** Where a call of the service breaks. */
export type ServiceFault = z.infer<typeof ServiceFaultSchema>;

/** Body of `POST /control` of the plain service; what is absent stays as it is. */
export const ServiceControlSchema = z.object({
  fault: z.union([ServiceFaultSchema, z.literal("none")]).optional(),
  /** Calls that the fault still meets; all when absent. */
  times: z.number().int().positive().optional(),
  /** Delay before each call takes effect. */
  delay_ms: z.number().int().nonnegative().max(600_000).optional(),
  /** Stops listening and resets every connection. */
  crash: z.boolean().optional(),
}).strict().readonly();
/** Faults of the plain service. */
export type ServiceControl = z.infer<typeof ServiceControlSchema>;
