import type { Buffer } from "node:buffer";
import { err, type Result } from "neverthrow";
import { z } from "zod";
import { parseWith } from "../../wire/parse.ts";
import { deflateJson, inflateJson } from "../peers/deflated.ts";
import { type ServingConfig, ServingListSchema } from "./serving_config.ts";

/** Size limit of a decoded configuration: fits ten thousand routes. */
const MAX_CONFIG_BYTES = 16 << 20;

const HeadSchema = ServingListSchema.unwrap().pick({ version: true })
  .extend({ services: z.array(z.unknown()) });

const encodedConfigs = new WeakMap<ServingConfig, Buffer>();

/**
 * Encodes a configuration as deflated JSON for daemons of the same release. The bytes are cached per configuration,
 * since many daemons fetch it at the same time.
 * Load pattern: a configuration of thousands of routes that changes every second. All daemons of a failure domain
 * fetch each version from its two readers, over the links that also carry the readers' requests.
 */
export function encodeServing(config: ServingConfig): Buffer {
  let bytes = encodedConfigs.get(config);
  if (bytes === undefined) {
    const services = [...config.services.values()];
    bytes = deflateJson({ ...config, services }, { fromBytes: 0 });
    encodedConfigs.set(config, bytes);
  }
  return bytes;
}

/** Decodes a configuration that `encodeServing` wrote; the error says why it is invalid. */
export function decodeServing(bytes: Buffer): Result<ServingConfig, string> {
  return inflateJson(bytes, { maxBytes: MAX_CONFIG_BYTES })
    .andThen(parseServing);
}

/** Decodes a configuration from JSON; the error says why it is invalid. */
export function parseServing(json: unknown): Result<ServingConfig, string> {
  const head = HeadSchema.safeParse(json);
  if (!head.success) {
    return err("The configuration has no version or no services");
  }
  return parseWith(ServingListSchema, json).map(({ services, ...serving }) => ({
    ...serving,
    services: new Map(services.map((service) => [service.id, service])),
  }));
}
