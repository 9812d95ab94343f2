import type { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { deflateJson, inflateJson } from "../peers/deflated.ts";
import type { Serving } from "./serving.ts";

/** Largest configuration of another daemon: ten thousand routes. */
const MAX_BYTES = 16 << 20;

const written = new WeakMap<Serving, Buffer>();

/**
 * Writes a configuration for another daemon of the same release; each once, as many fetch it at the same moment.
 * Load pattern: a configuration of thousands of routes that changes every second. All daemons of a failure domain
 * fetch each version from two readers, whose links carry their requests too.
 */
export function encodeServing(serving: Serving): Buffer {
  let bytes = written.get(serving);
  if (bytes === undefined) {
    const services = [...serving.services.values()];
    bytes = deflateJson({ ...serving, services }, { fromBytes: 0 });
    written.set(serving, bytes);
  }
  return bytes;
}

/** Reads a configuration that another daemon has written. */
export function decodeServing(bytes: Buffer): Result<Serving, string> {
  return inflateJson(bytes, { maxBytes: MAX_BYTES }).andThen((json) => {
    const value = json as Omit<Serving, "services"> & { services: unknown };
    const { services } = value ?? {};
    if (!Number.isInteger(value?.version) || !Array.isArray(services)) {
      return err("The configuration has no version or no services");
    }
    const byId = new Map(services.map((one) => [one.id, one]));
    return ok({ ...value, services: byId });
  });
}
