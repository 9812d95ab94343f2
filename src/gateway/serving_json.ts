import { err, ok, type Result } from "neverthrow";
import type { Serving } from "./serving.ts";

const written = new WeakMap<Serving, string>();

/** Writes a configuration for another daemon of the same release; each once, as many fetch it at the same moment. */
export function servingToJson(serving: Serving): string {
  let text = written.get(serving);
  if (text === undefined) {
    text = write(serving);
    written.set(serving, text);
  }
  return text;
}

function write(serving: Serving): string {
  return JSON.stringify({
    ...serving,
    services: [...serving.services.values()],
  });
}

/** Reads a configuration that another daemon has written. */
export function servingFromJson(text: string): Result<Serving, string> {
  let value: Omit<Serving, "services"> & { services: unknown };
  try {
    value = JSON.parse(text);
  } catch {
    return err("The configuration is not JSON");
  }
  const { services } = value ?? {};
  if (!Number.isInteger(value?.version) || !Array.isArray(services)) {
    return err("The configuration has no version or no services");
  }
  const byId = new Map(services.map((one) => [one.id, one]));
  return ok({ ...value, services: byId });
}
