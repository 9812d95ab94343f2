import type { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { deflateJson, inflateJson } from "../peers/deflated.ts";
import type { ServingConfig } from "./serving_config.ts";

/** Largest configuration of another daemon: ten thousand routes. */
const MAX_CONFIG_BYTES = 16 << 20;

const encodedConfigs = new WeakMap<ServingConfig, Buffer>();

/**
 * Writes a configuration for another daemon of the same release; each once, as many fetch it at the same moment.
 * Load pattern: a configuration of thousands of routes that changes every second. All daemons of a failure domain
 * fetch each version from two readers, whose links carry their requests too.
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

/** Reads a configuration that another daemon has written. */
export function decodeServing(bytes: Buffer): Result<ServingConfig, string> {
  return inflateJson(bytes, { maxBytes: MAX_CONFIG_BYTES }).andThen((json) => {
    const value = json as Omit<ServingConfig, "services"> & {
      services: unknown;
    };
    const { services } = value ?? {};
    if (!Number.isInteger(value?.version) || !Array.isArray(services)) {
      return err("The configuration has no version or no services");
    }
    const byId = new Map(services.map((service) => [service.id, service]));
    return ok({ ...value, services: byId });
  });
}
